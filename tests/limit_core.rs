//! Single mechanisms of the shared rates, each with the fault that it is there for.

use std::time::Duration;

use celerylever::limit::wire::{Exchange, Grant, Process};
use celerylever::limit::{
    AccountSettings, Borrower, BorrowerSettings, Bucket, Candidate, HeldShare, Lender, MILLION,
    PlanContext, RateShare, RecordError, SLOT_COUNT, SlotRecord, SlotShare, plan_claim, plan_leave,
    plan_split, slot_from_name, slot_name, to_microtokens,
};
use rstest::rstest;

const SHARE: RateShare = RateShare {
    rate_tokens_per_s: 100,
    burst_tokens: 1_000,
    parts_per_million: MILLION,
};
const FULL: HeldShare = HeldShare {
    share: SHARE,
    since: Duration::ZERO,
    is_first: true,
};
const FOREVER: Option<Duration> = Some(Duration::MAX);

fn at(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

fn process(vm: &str) -> Process {
    Process {
        vm: vm.into(),
        incarnation: 1,
    }
}

fn exchange(sequence: u64, epoch: u64, required: u64) -> Exchange {
    Exchange {
        account_epoch: epoch,
        sequence,
        required: to_microtokens(required),
        desired: to_microtokens(required),
        customer: "depots".into(),
        ..Exchange::default()
    }
}

fn holder() -> Lender {
    Lender::new(AccountSettings::default(), 8)
}

fn ask(holder: &mut Lender, exchange: &Exchange, now: Duration) -> Option<Grant> {
    holder.exchange(&process("b"), exchange, &FULL, FOREVER, now)
}

/// Returns what the holder would still lend, asked for by another VM.
fn left(holder: &mut Lender, now: Duration) -> u64 {
    let probe = exchange(1, 0, 1_000_000);
    let grant = holder.exchange(&process("probe"), &probe, &FULL, FOREVER, now);
    grant.map_or(0, |grant| grant.granted) / u64::from(MILLION)
}

fn borrower() -> Borrower {
    let mut borrower = Borrower::new(BorrowerSettings::default(), "depots".into(), 1);
    borrower.set_holders(&[process("h")], at(0));
    borrower
}

/// Lends `tokens` to a borrower with an exchange that is sent at `sent` and answered at `answered`.
fn lend(borrower: &mut Borrower, epoch: u64, tokens: u64, sent: u64, answered: u64) {
    let outgoing = borrower
        .borrow_exchange(to_microtokens(tokens), &[], at(sent))
        .unwrap();
    let grant = Grant {
        epoch,
        sequence: outgoing.exchange.sequence,
        granted: to_microtokens(tokens),
        valid_ms: 4_000,
        retry_after_ms: 0,
    };
    assert!(borrower.apply_grant(&process("h"), &grant, at(answered)));
}

#[test]
fn outstanding_tokens_leave_no_room_for_a_refill() {
    let mut bucket = Bucket::new(SHARE, u64::MAX, at(0));
    assert_eq!(
        bucket.take(to_microtokens(1_000), at(0)),
        to_microtokens(1_000)
    );
    assert_eq!(bucket.level(at(60_000)), 0);
    bucket.settle(to_microtokens(400), to_microtokens(600), at(60_000));
    assert_eq!(bucket.level(at(60_000)), to_microtokens(600));
    assert_eq!(bucket.level(at(90_000)), to_microtokens(1_000));
}

#[test]
fn lower_burst_counts_what_is_outstanding() {
    let mut bucket = Bucket::new(SHARE, u64::MAX, at(0));
    bucket.take(to_microtokens(300), at(0));
    let lower = RateShare {
        burst_tokens: 500,
        ..SHARE
    };
    bucket.reconfigure(lower, at(0));
    assert_eq!(bucket.level(at(0)), to_microtokens(200));
}

#[rstest]
#[case::no_lease(None)]
#[case::lease_over(Some(at(0)))]
fn holder_without_a_lease_lends_nothing(#[case] valid_until: Option<Duration>) {
    let answer = holder().exchange(
        &process("b"),
        &exchange(1, 0, 10),
        &FULL,
        valid_until,
        at(1),
    );
    assert_eq!(answer, None);
}

#[test]
fn what_is_lent_lapses_with_the_holders_lease() {
    let valid_until = Some(at(700));
    let grant = holder()
        .exchange(
            &process("b"),
            &exchange(1, 0, 10),
            &FULL,
            valid_until,
            at(0),
        )
        .unwrap();
    assert_eq!(grant.valid_ms, 700);
}

#[test]
fn repeated_exchange_gets_the_same_answer_once() {
    let mut holder = holder();
    let first = ask(&mut holder, &exchange(1, 0, 400), at(0)).unwrap();
    let mut report = exchange(2, first.epoch, 0);
    report.returned = to_microtokens(100);
    let second = ask(&mut holder, &report, at(10)).unwrap();
    assert_eq!(ask(&mut holder, &report, at(20)), Some(second));
    assert_eq!(ask(&mut holder, &exchange(1, 0, 400), at(30)), None);
    // The refill of these 30 ms has no room.
    assert_eq!(left(&mut holder, at(30)), 700);
}

#[test]
fn report_of_a_closed_account_changes_nothing() {
    let mut holder = holder();
    let first = ask(&mut holder, &exchange(1, 0, 400), at(0)).unwrap();
    // Closed by its silence, and opened again by the next exchange.
    let second = ask(&mut holder, &exchange(2, 0, 1_000), at(60_000)).unwrap();
    assert_ne!(first.epoch, second.epoch);
    let mut late = exchange(3, first.epoch, 0);
    late.returned = to_microtokens(400);
    ask(&mut holder, &late, at(60_000));
    assert_eq!(left(&mut holder, at(60_000)), 0);
}

#[test]
fn closed_account_is_not_refunded() {
    let mut holder = holder();
    ask(&mut holder, &exchange(1, 0, 1_000), at(0));
    holder.sweep(at(4_500));
    assert_eq!(left(&mut holder, at(5_500)), 100);
}

#[test]
fn part_that_somebody_held_starts_empty() {
    let given = HeldShare {
        since: at(0),
        is_first: false,
        ..FULL
    };
    let mut holder = holder();
    let grant = holder.exchange(
        &process("b"),
        &exchange(1, 0, 900),
        &given,
        FOREVER,
        at(2_000),
    );
    assert_eq!(grant.unwrap().granted, to_microtokens(200));
}

#[test]
fn loan_is_valid_from_before_it_was_asked_for() {
    let mut borrower = borrower();
    lend(&mut borrower, 7, 10, 0, 3_000);
    assert_eq!(borrower.available(at(3_999)), to_microtokens(10));
    assert_eq!(borrower.available(at(4_000)), 0);
}

#[test]
fn repeated_question_is_valid_from_the_first_one() {
    let mut borrower = borrower();
    let first = borrower
        .borrow_exchange(to_microtokens(10), &[], at(0))
        .unwrap();
    borrower.record_no_answer(&process("other"));
    let second = borrower
        .borrow_exchange(to_microtokens(500), &[], at(3_000))
        .unwrap();
    assert_eq!(first, second);
    let grant = Grant {
        epoch: 7,
        sequence: first.exchange.sequence,
        granted: to_microtokens(10),
        valid_ms: 4_000,
        retry_after_ms: 0,
    };
    assert!(borrower.apply_grant(&process("h"), &grant, at(3_500)));
    assert_eq!(borrower.available(at(4_000)), 0);
}

#[test]
fn refund_after_the_account_closed_is_lost() {
    let mut borrower = borrower();
    lend(&mut borrower, 7, 10, 0, 0);
    let hold = borrower.reserve(to_microtokens(10), at(1)).unwrap();
    assert_eq!(borrower.available(at(5_000)), 0);
    lend(&mut borrower, 8, 5, 5_000, 5_000);
    borrower.release(hold, at(5_001));
    assert_eq!(borrower.available(at(5_001)), to_microtokens(5));
}

#[test]
fn stock_made_anew_gets_no_earlier_answer_again() {
    let mut holder = holder();
    let mut tokens = Vec::new();
    for now in [at(0), at(1_000)] {
        let mut borrower = Borrower::new(BorrowerSettings::default(), "depots".into(), 1);
        borrower.set_holders(&[process("h")], now);
        let outgoing = borrower
            .borrow_exchange(to_microtokens(600), &[], now)
            .unwrap();
        tokens.push(ask(&mut holder, &outgoing.exchange, now).map(|grant| grant.granted));
    }
    // What was lent first left no room for a refill.
    assert_eq!(
        tokens,
        [Some(to_microtokens(600)), Some(to_microtokens(400))]
    );
}

#[test]
fn rest_of_a_reservation_comes_back_once() {
    let mut borrower = borrower();
    lend(&mut borrower, 7, 10, 0, 0);
    let mut hold = borrower.reserve(to_microtokens(10), at(1)).unwrap();
    borrower.consume(&mut hold, to_microtokens(4), at(2));
    assert_eq!(borrower.available(at(2)), 0);
    borrower.release(hold, at(3));
    assert_eq!(borrower.available(at(3)), to_microtokens(6));
}

fn candidates(zones: &[&str]) -> Vec<Candidate> {
    let numbered = zones.iter().enumerate();
    let candidate = |(index, zone): (usize, &&str)| Candidate {
        process: process(&format!("v{index}")),
        availability_zone: (*zone).into(),
    };
    numbered.map(candidate).collect()
}

fn planned(record: Option<&SlotRecord>, all: &[Candidate], fenced: &[Process]) -> SlotRecord {
    let plans = all.iter().find_map(|me| {
        let view = PlanContext {
            own_process: &me.process,
            candidates: all,
            fenced,
        };
        plan_claim(5, record, view)
    });
    plans.unwrap()
}

#[test]
fn first_holders_stand_in_different_zones() {
    let all = candidates(&["a", "a", "a", "b", "b", "c"]);
    let record = planned(None, &all, &[]);
    let mut zones: Vec<_> = record
        .shares
        .iter()
        .filter_map(|share| all.iter().find(|other| other.process == share.holder))
        .map(|candidate| candidate.availability_zone.as_str())
        .collect();
    zones.sort_unstable();
    assert_eq!(zones, ["a", "b", "c"]);
    let sum: u32 = record
        .shares
        .iter()
        .map(|share| share.parts_per_million)
        .sum();
    assert_eq!(sum, MILLION);
    assert!(record.shares.iter().all(|share| share.is_first));
}

#[test]
fn part_of_a_fenced_process_goes_to_one_that_held_none_and_starts_empty() {
    let all = candidates(&["a", "b", "c", "d", "d"]);
    let first = planned(None, &all, &[]);
    let gone = first.shares[1].holder.clone();
    let live: Vec<_> = all
        .iter()
        .filter(|one| one.process != gone)
        .cloned()
        .collect();
    let record = planned(Some(&first), &live, std::slice::from_ref(&gone));
    assert_eq!(record.check(), Ok(()));
    assert_eq!(record.share_of(&gone), None);
    let added = record
        .shares
        .iter()
        .find(|share| first.share_of(&share.holder).is_none());
    assert!(!added.unwrap().is_first);
}

#[test]
fn leaving_vm_keeps_nothing_and_the_sum_stays() {
    let all = candidates(&["a", "b", "c", "d"]);
    let first = planned(None, &all, &[]);
    let me = first.shares[0].holder.clone();
    let view = PlanContext {
        own_process: &me,
        candidates: &all,
        fenced: &[],
    };
    let record = plan_leave(5, &first, view).unwrap();
    assert_eq!(record.share_of(&me), None);
    let sum: u32 = record
        .shares
        .iter()
        .map(|share| share.parts_per_million)
        .sum();
    assert_eq!(sum, MILLION);
}

#[rstest]
#[case::above_the_whole(&[("v0", 700_000), ("v1", 300_001)], RecordError::SumAboveWhole(1_000_001))]
#[case::one_twice(&[("v0", 1), ("v0", 1)], RecordError::InvalidHolders)]
#[case::too_many(&[("v0", 1), ("v1", 1), ("v2", 1), ("v3", 1)], RecordError::InvalidHolders)]
fn wrong_record_is_neither_written_nor_read(
    #[case] shares: &[(&str, u32)],
    #[case] error: RecordError,
) {
    let share = |(vm, parts_per_million): &(&str, u32)| SlotShare {
        holder: process(vm),
        parts_per_million: *parts_per_million,
        is_first: false,
    };
    let record = SlotRecord {
        shares: shares.iter().map(share).collect(),
    };
    assert_eq!(record.to_text(), Err(error.clone()));
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(SlotRecord::parse(&text), Err(error));
}

#[test]
fn slots_are_named_and_found_by_name() {
    for slot in 0..SLOT_COUNT {
        assert_eq!(slot_from_name(&slot_name(slot)), Some(slot));
    }
    assert_eq!(slot_from_name("slot-64"), None);
    assert_eq!(slot_from_name("slot-7"), None);
}

fn candidate(vm: &str, availability_zone: &str) -> Candidate {
    Candidate {
        process: process(vm),
        availability_zone: availability_zone.into(),
    }
}

fn spread(record: &SlotRecord, own_process: &str, candidates: &[Candidate]) -> Option<SlotRecord> {
    let view = PlanContext {
        own_process: &process(own_process),
        candidates,
        fenced: &[],
    };
    plan_split(7, record, view)
}

#[test]
fn only_holder_gives_parts_to_vms_of_other_zones() {
    let zones = [("a", "x"), ("b", "x"), ("c", "y"), ("d", "z"), ("e", "x")];
    let candidates = zones.map(|(vm, zone)| candidate(vm, zone));
    let record = SlotRecord {
        shares: vec![SlotShare {
            holder: process("a"),
            parts_per_million: MILLION,
            is_first: true,
        }],
    };
    let given = spread(&record, "a", &candidates).unwrap();
    let shares: Vec<_> = given
        .shares
        .iter()
        .map(|share| share.parts_per_million)
        .collect();
    assert_eq!(shares, [333_334, 333_333, 333_333]);
    assert!(
        given
            .share_of(&process("c"))
            .is_some_and(|share| !share.is_first)
    );
    assert!(
        given
            .share_of(&process("d"))
            .is_some_and(|share| !share.is_first)
    );
    assert_eq!(spread(&record, "c", &candidates), None);
    assert_eq!(spread(&given, "a", &candidates), None);
    assert_eq!(spread(&record, "a", &candidates[..1]), None);
}

#[test]
fn part_is_lowered_only_when_what_is_lent_fits_the_rest() {
    let mut holder = holder();
    let first = ask(&mut holder, &exchange(1, 0, 600), at(0)).unwrap();
    let half = MILLION / 2;
    assert!(!holder.reduce_share(|_| true, half, at(10)));
    let mut report = exchange(2, first.epoch, 0);
    report.consumed = to_microtokens(200);
    ask(&mut holder, &report, at(20)).unwrap();
    assert!(holder.reduce_share(|_| true, half, at(30)));
}

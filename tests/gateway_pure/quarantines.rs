//! Evidence against parts of prompts, and the quarantine that follows from it.

use celerylever::gateway::{
    Conclusion, CoordinatorTerm, CrashEvidence, Quarantine, QuarantineRecord, QuarantineVerdict,
    Suspect, SuspectKind,
};

use super::strikes::{SETTLED, at, concluded_suspects, strike};
use super::*;

const SYSTEM: Suspect = Suspect::Part(1);
const DOCUMENT: Suspect = Suspect::Part(2);
const DEADLY: Suspect = Suspect::Part(3);

fn held(suspect: Suspect, is_ambiguous: bool, now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    let conclusion = Conclusion {
        suspect,
        crashes: vec![(1, now), (2, now), (3, now)],
        is_ambiguous,
    };
    assert!(quarantine.hold(&conclusion, Some("part"), now).is_some());
    quarantine
}

#[test]
fn a_part_at_every_crash_and_in_no_answer_is_concluded() {
    let mut evidence = CrashEvidence::default();
    for (process, ms) in [(1, 0), (2, 150), (3, 300)] {
        strike(
            &mut evidence,
            process,
            ms,
            &[SYSTEM, Suspect::Part(20 + process), DEADLY],
        );
    }
    evidence.record_answer(SYSTEM, at(400));
    assert_eq!(concluded_suspects(&mut evidence, at(500)), []);
    assert_eq!(concluded_suspects(&mut evidence, at(1_100)), [DEADLY]);
}

#[test]
fn a_system_prompt_at_every_crash_is_not_concluded_before_the_part_beside_it() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(SYSTEM, at(0));
    for process in 1..=8 {
        strike(
            &mut evidence,
            process,
            100 + process * 150,
            &[SYSTEM, DEADLY],
        );
    }
    let conclusions = evidence.conclude(at(0) + SETTLED);
    assert_eq!(conclusions.len(), 1);
    assert_eq!(
        (conclusions[0].suspect, conclusions[0].is_ambiguous),
        (DEADLY, false)
    );
    assert_eq!(concluded_suspects(&mut evidence, at(0) + SETTLED * 2), []);
}

#[rstest]
#[case::all_at_once(&[(1, 0), (2, 3), (3, 5), (4, 9), (5, 12), (6, 20)], 0)]
#[case::one_engine_at_a_time(&[(1, 0), (2, 1_000), (3, 2_000)], 1)]
fn engines_that_fall_together_are_one_event(
    #[case] crashes: &[(u64, u64)],
    #[case] expected: usize,
) {
    let mut evidence = CrashEvidence::default();
    for (process, ms) in crashes {
        strike(&mut evidence, *process, *ms, &[DOCUMENT]);
    }
    assert_eq!(
        concluded_suspects(&mut evidence, at(2_000) + SETTLED).len(),
        expected
    );
}

/// Guards against a document that is refused because a rack or a release takes down the fleet.
#[test]
fn a_part_at_some_of_the_engines_that_fall_together_is_not_concluded() {
    let mut evidence = CrashEvidence::default();
    for outage in 0..6 {
        for engine in 0..6 {
            let (process, ms) = (outage * 10 + engine, outage * 1_800 + engine);
            let parts: &[Suspect] = match engine < 2 {
                true => &[DOCUMENT],
                false => &[SYSTEM],
            };
            strike(&mut evidence, process, ms, parts);
        }
    }
    // At four of six engines, which may not be chance, but is not the cause of all.
    assert_eq!(concluded_suspects(&mut evidence, at(9_000) + SETTLED), []);
}

#[test]
fn an_answer_after_the_crashes_clears_a_part() {
    let mut evidence = CrashEvidence::default();
    for (process, ms) in [(1, 0), (2, 200), (3, 400)] {
        strike(&mut evidence, process, ms, &[DOCUMENT]);
    }
    assert!(evidence.record_answer(DOCUMENT, at(600)));
    assert_eq!(concluded_suspects(&mut evidence, at(0) + SETTLED), []);
    assert!(evidence.is_proven(DOCUMENT) && !evidence.is_suspected(DOCUMENT, 9));
}

#[test]
fn parts_that_nothing_tells_apart_are_concluded_together() {
    let mut evidence = CrashEvidence::default();
    for process in 1..=3 {
        strike(&mut evidence, process, process * 200, &[DOCUMENT, DEADLY]);
    }
    strike(&mut evidence, 4, 900, &[DOCUMENT]);
    let conclusions = evidence.conclude(at(0) + SETTLED);
    assert!(conclusions.iter().all(|conclusion| conclusion.is_ambiguous));
    let mut parts: Vec<_> = conclusions.iter().map(|one| one.suspect).collect();
    parts.sort_unstable();
    assert_eq!(parts, [DOCUMENT, DEADLY]);
}

#[test]
fn a_part_at_half_of_the_crashes_is_not_concluded_with_the_one_at_all() {
    let mut evidence = CrashEvidence::default();
    for process in 1..=6 {
        let document = Suspect::Part(100 + process % 2);
        strike(&mut evidence, process, process * 200, &[document, DEADLY]);
    }
    let conclusions = evidence.conclude(at(0) + SETTLED);
    let parts: Vec<_> = conclusions
        .iter()
        .map(|one| (one.suspect, one.is_ambiguous))
        .collect();
    assert_eq!(parts, [(DEADLY, false)]);
}

#[test]
fn two_deadly_parts_are_both_concluded() {
    let mut evidence = CrashEvidence::default();
    for process in 1..=6 {
        let deadly = Suspect::Part(3 + process % 2);
        strike(
            &mut evidence,
            process,
            process * 200,
            &[deadly, Suspect::Part(100 + process)],
        );
    }
    assert_eq!(
        concluded_suspects(&mut evidence, at(0) + SETTLED),
        [DEADLY, Suspect::Part(4)]
    );
}

#[test]
fn many_suspects_do_not_displace_the_one_at_most_crashes() {
    let mut evidence = CrashEvidence::default();
    strike(&mut evidence, 1, 0, &[DEADLY]);
    strike(&mut evidence, 2, 200, &[DEADLY]);
    for part in 0..100_000 {
        strike(&mut evidence, 3, 300, &[Suspect::Part(1_000 + part)]);
    }
    strike(&mut evidence, 4, 400, &[DEADLY]);
    assert_eq!(concluded_suspects(&mut evidence, at(0) + SETTLED), [DEADLY]);
}

#[test]
fn a_request_with_two_held_parts_is_no_trial_for_a_minute() {
    let mut quarantine = held(DOCUMENT, true, at(0));
    let conclusion = Conclusion {
        suspect: DEADLY,
        crashes: Vec::new(),
        is_ambiguous: true,
    };
    quarantine.hold(&conclusion, None, at(0));
    let both = quarantine.verdict(&[SYSTEM, DOCUMENT, DEADLY], at(1));
    assert_eq!(both, QuarantineVerdict::Held(DOCUMENT));
    let later = quarantine.verdict(&[SYSTEM, DOCUMENT, DEADLY], at(60_000));
    assert!(matches!(later, QuarantineVerdict::TrialDue { .. }));
    let one = quarantine.verdict(&[SYSTEM, DOCUMENT], at(1));
    assert!(matches!(
        one,
        QuarantineVerdict::TrialDue {
            suspect: DOCUMENT,
            ..
        }
    ));
    assert_eq!(
        quarantine.verdict(&[SYSTEM], at(1)),
        QuarantineVerdict::Clear
    );
}

#[test]
fn a_trial_is_permitted_once_and_the_next_one_later() {
    let mut quarantine = held(DEADLY, false, at(0));
    let is_due = |quarantine: &Quarantine, ms| {
        let verdict = quarantine.verdict(&[DEADLY], at(ms));
        matches!(verdict, QuarantineVerdict::TrialDue { .. })
    };
    assert!(!is_due(&quarantine, 3_900) && is_due(&quarantine, 4_000));
    assert!(quarantine.permit_trial(DEADLY, 1, at(4_000)).is_some());
    assert!(quarantine.permit_trial(DEADLY, 1, at(4_001)).is_none());
    assert!(!is_due(&quarantine, 23_900) && is_due(&quarantine, 24_000));
    // Two trials at most within the time that a day of trouble lasts.
    assert!(quarantine.permit_trial(DEADLY, 2, at(24_000)).is_some());
    assert!(!is_due(&quarantine, 120_000));
}

#[test]
fn a_trial_that_reached_no_engine_is_made_again_soon() {
    let mut quarantine = held(DEADLY, false, at(0));
    quarantine.permit_trial(DEADLY, 1, at(4_000)).unwrap();
    assert!(quarantine.return_trial(DEADLY, 1, at(4_050)).is_none());
    quarantine.return_trial(DEADLY, 2, at(4_050)).unwrap();
    let verdict = quarantine.verdict(&[DEADLY], at(4_550));
    let due = QuarantineVerdict::TrialDue {
        suspect: DEADLY,
        round: 3,
    };
    assert_eq!(verdict, due);
    let next = quarantine.permit_trial(DEADLY, 3, at(4_550)).unwrap();
    assert_eq!((next.trials, next.trial_wait_ms), (1, 20_000));
}

#[test]
fn a_coordinator_permits_nothing_around_a_handover_or_after_a_pause() {
    let mut term = CoordinatorTerm::default();
    let mut permits = Vec::new();
    for ms in (0..10_000).step_by(200) {
        // Another VM coordinates until 2 s, and this one stands still from 6 to 8 s.
        if (6_000..8_000).contains(&ms) {
            continue;
        }
        if term.may_permit(at(ms)) {
            permits.push(ms);
        }
        term.record_check(ms >= 2_000, at(ms));
    }
    assert_eq!(permits.first(), Some(&3_600));
    assert!(permits.contains(&5_800));
    assert!(!permits.iter().any(|ms| (8_000..9_500).contains(ms)));
    assert!(permits.contains(&9_800));
}

#[test]
fn a_release_outlasts_older_records() {
    let mut quarantine = held(DEADLY, false, at(0));
    let old = quarantine.record(DEADLY, at(0)).unwrap();
    quarantine.release(DEADLY, at(100)).unwrap();
    assert!(!quarantine.merge(&old, at(200)));
    assert_eq!(
        quarantine.verdict(&[DEADLY], at(200)),
        QuarantineVerdict::Clear
    );
}

fn any_record() -> impl Strategy<Value = QuarantineRecord> {
    (0..4_u64, 1..4_u32, any::<bool>(), 0..50_u64).prop_map(|(hash, round, is_held, age_ms)| {
        QuarantineRecord {
            hash,
            kind: SuspectKind::Part,
            part_id: None,
            round,
            is_held,
            crashes: 3,
            trials: 0,
            is_ambiguous: false,
            trial_wait_ms: 4_000,
            age_ms,
        }
    })
}

proptest! {
    #[test]
    fn vms_agree_in_whatever_order_records_arrive(
        records in prop::collection::vec(any_record(), 0..20),
        seed in any::<u64>(),
    ) {
        let mut shuffled = records.clone();
        shuffled.sort_by_key(|record| {
            record.hash.wrapping_mul(seed) ^ u64::from(record.round).rotate_left(seed as u32 % 64)
        });
        let held = |records: &[QuarantineRecord]| {
            let mut quarantine = Quarantine::default();
            for record in records {
                quarantine.merge(record, at(0));
            }
            let states = (0..4).map(|part| quarantine.record(Suspect::Part(part), at(0)));
            states
                .map(|state| state.map(|state| (state.round, state.is_held)))
                .collect::<Vec<_>>()
        };
        prop_assert_eq!(held(&records), held(&shuffled));
    }

    #[test]
    fn the_table_stays_bounded(parts in prop::collection::vec(any::<u64>(), 0..600)) {
        let mut quarantine = Quarantine::default();
        for (number, part) in parts.iter().enumerate() {
            let conclusion = Conclusion { suspect: Suspect::Part(*part), crashes: Vec::new(), is_ambiguous: false };
            quarantine.hold(&conclusion, None, at(number as u64));
        }
        prop_assert!(quarantine.records(at(1_000)).len() <= 256);
    }
}

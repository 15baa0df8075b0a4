//! Counts of a VM, and their sums over the fleet.

use std::time::Duration;

use celerylever::gateway::{
    FleetCounts, GrantBook, RequestLog, RequestOutcome, RolloutReport, SentTo, Verdict,
    VerdictSettings, judge, route_hash,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn report(log: &RequestLog, vm: &str, now: Duration) -> RolloutReport {
    log.report(vm.into(), 1, 0, &GrantBook::new(MS(1_500)), now)
}

fn log_with(requests: u32, failures: u32) -> RequestLog {
    let mut log = RequestLog::new("lookup".into(), "v2".into(), MS(0));
    for number in 0..requests {
        for sent_to in [SentTo::Old, SentTo::Target(["a", "b"][number as usize % 2])] {
            let request = log.start(route_hash("/"), sent_to, MS(1_000));
            let outcome = match sent_to != SentTo::Old && number < failures {
                true => RequestOutcome::Failure,
                false => RequestOutcome::Success,
            };
            log.conclude(request, outcome, MS(1_040));
        }
    }
    log
}

/// Guards against totals that count a report twice or forget a VM that is gone.
#[test]
fn a_report_replaces_the_earlier_one_of_the_same_vm() {
    let mut fleet = FleetCounts::new();
    let earlier = report(&log_with(10, 0), "a", MS(1_100));
    let later = report(&log_with(30, 0), "a", MS(1_600));
    assert!(fleet.record(earlier.clone(), MS(1_100)));
    assert!(fleet.record(later, MS(1_600)));
    assert!(!fleet.record(earlier, MS(1_700)));
    assert!(fleet.record(report(&log_with(5, 0), "b", MS(1_700)), MS(1_700)));
    fleet.set_members([("b".to_owned(), 1)]);
    assert_eq!((fleet.sent(), fleet.sent_to_target()), (70, 35));
    assert_eq!(fleet.elapsed(MS(2_000)), MS(2_000));
}

/// Guards against reports that outgrow a datagram: the page allows about 400 bytes for a few routes.
#[test]
fn a_report_is_small() {
    let mut log = RequestLog::new("lookup".into(), "v2".into(), MS(0));
    for number in 0..20_000_u64 {
        let upstream = ["a", "b", "c"][(number % 3) as usize];
        let sent_to = if number % 5 == 0 {
            SentTo::Target(upstream)
        } else {
            SentTo::Old
        };
        let request = log.start(route_hash(&(number % 4).to_string()), sent_to, MS(number));
        log.conclude(
            request,
            RequestOutcome::Success,
            MS(number + 20 + number % 40),
        );
    }
    let bytes = postcard::to_stdvec(&report(&log, "vm-17", MS(20_100))).unwrap();
    assert!(bytes.len() <= 450, "{} bytes", bytes.len());
}

/// Guards against a bad version that is not noticed while its requests hang: they count before they
/// end, from the second report on.
#[test]
fn requests_that_hang_at_the_target_are_evidence() {
    let mut fleet = FleetCounts::new();
    let mut log = log_with(40, 0);
    fleet.record(report(&log, "a", MS(1_100)), MS(1_100));
    for number in 0..40 {
        for sent_to in [SentTo::Old, SentTo::Target(["a", "b"][number % 2])] {
            let request = log.start(route_hash("/"), sent_to, MS(1_500));
            if sent_to == SentTo::Old {
                log.conclude(request, RequestOutcome::Success, MS(1_540));
            }
        }
    }
    for at in [MS(1_700), MS(2_200)] {
        fleet.record(report(&log, "a", at), at);
    }
    let verdict = judge(&fleet, &VerdictSettings::default());
    assert!(matches!(verdict, Verdict::Bad { .. }), "{verdict:?}");
}

/// Guards against one bad upstream that makes a version bad, and against a version that is judged
/// good or bad on too little.
#[test]
fn verdicts_need_evidence_of_two_upstreams() {
    let judged = |requests, is_failure: fn(u32) -> bool| {
        let mut log = RequestLog::new("lookup".into(), "v2".into(), MS(0));
        for number in 0..requests {
            let upstream = ["a", "b", "c"][number as usize % 3];
            for sent_to in [SentTo::Old, SentTo::Target(upstream)] {
                let request = log.start(route_hash("/"), sent_to, MS(1_000));
                let outcome = match sent_to != SentTo::Old && is_failure(number) {
                    true => RequestOutcome::Failure,
                    false => RequestOutcome::Success,
                };
                log.conclude(request, outcome, MS(1_040));
            }
        }
        let mut fleet = FleetCounts::new();
        fleet.record(report(&log, "a", MS(1_100)), MS(1_100));
        judge(&fleet, &VerdictSettings::default())
    };
    assert_eq!(judged(6, |number| number < 2), Verdict::Undecided);
    assert_eq!(judged(300, |_| false), Verdict::Good);
    assert!(matches!(
        judged(180, |number| number % 4 == 0),
        Verdict::Bad { .. }
    ));
    assert_eq!(judged(300, |number| number % 3 == 1), Verdict::Good);
}

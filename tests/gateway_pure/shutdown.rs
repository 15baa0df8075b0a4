//! Tests of the times in a shutdown plan.

use super::*;

/// Guards against a request that is accepted 3.8 s after the stop signal and aborted at 7.1 s. The
/// load balancer sends no new requests after 3 s, so the gateway refuses requests before that time
/// and lets the accepted ones run until just before the end.
#[test]
fn nothing_is_taken_that_could_be_cut() {
    let plan = ShutdownPlan::within(MS(8_000));
    assert!(plan.close_idle_after < plan.refuse_after);
    assert!(plan.refuse_after < MS(3_000) && plan.refuse_after > MS(2_000));
    assert!(plan.stop_listening_after > plan.refuse_after);
    assert!(plan.abort_after >= MS(8_000 - 8_000 / 6) && plan.abort_after < MS(7_800));
}

#[test]
fn a_short_grace_shortens_all() {
    let plan = ShutdownPlan::within(MS(1_500));
    assert!(plan.stop_listening_after < plan.abort_after && plan.abort_after < MS(1_500));
}

/// Aborted requests and the last lines of the log need time before the process is killed.
#[rstest]
#[case::usual(MS(8_000))]
#[case::short(MS(1_000))]
fn the_end_is_between_the_abort_and_the_kill(#[case] shutdown_timeout: Duration) {
    let plan = ShutdownPlan::within(shutdown_timeout);
    assert!(plan.end_after >= plan.abort_after + MS(250));
    assert!(plan.end_after <= shutdown_timeout - MS(150));
}

#[test]
fn the_longest_run_of_a_route_counts_for_a_while() {
    let settings = RunTimesSettings::default();
    let window = settings.window;
    let mut times = RunTimes::new(settings);
    let start = Instant::ZERO;
    assert_eq!(times.longest("book", start), MS(0));
    times.record("book", MS(2_500), start);
    times.record("book", MS(100), start + MS(10));
    assert_eq!(times.longest("book", start + MS(20)), MS(2_500));
    assert_eq!(times.longest("look", start + MS(20)), MS(0));
    times.record("book", MS(300), start + window);
    assert_eq!(times.longest("book", start + window), MS(2_500));
    assert_eq!(times.longest("book", start + 2 * window), MS(300));
    assert_eq!(times.longest("book", start + 3 * window), MS(0));
}

#[test]
fn there_is_time_for_what_ends_before_the_abort() {
    let plan = ShutdownPlan::within(MS(8_000));
    let left = plan.abort_after - MS(2_000);
    assert!(plan.has_time_for(left, MS(2_000)));
    assert!(!plan.has_time_for(left + MS(1), MS(2_000)));
    assert!(!plan.has_time_for(MS(0), MS(8_000)));
}

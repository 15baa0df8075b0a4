//! Tests of how long watches of the store wait, and of the age of the changes that they return.

use super::*;

const CONTACT: Duration = Duration::from_secs(3);
/// Time after its wait within which a watch without a response counts as failed.
const RESPONSE_MARGIN: Duration = Duration::from_millis(600);

/// A store that falls silent without closing connections is noticed, by one zone at least, in less
/// time than that after which VMs count as connected again.
#[rstest]
#[case(Duration::from_secs(3))]
#[case(Duration::from_secs(4))]
#[case(Duration::from_secs(5))]
fn one_zone_notices_silence_in_time_for_all(#[case] contact_timeout: Duration) {
    let wait = watch_wait(WatchPurpose::Fleet, contact_timeout);
    assert!(*wait.end() + RESPONSE_MARGIN < contact_timeout);
    let probe = watch_wait(WatchPurpose::Probe, contact_timeout);
    assert!(*wait.end() + *probe.end() + RESPONSE_MARGIN * 2 <= contact_timeout + MS(1_000));
    let zone = watch_wait(WatchPurpose::Zone { other_zones: 5 }, contact_timeout);
    assert!(zone.end() > wait.end());
}

#[test]
fn the_first_zone_with_recent_heartbeats_watches_for_the_fleet() {
    let purpose_of = |zone: &str, other: &str| {
        let mut peers = Peers::new(PeersSettings::default(), "vm-1".into(), zone.into());
        peers.record_heartbeat(zone_sum(other), MS(0));
        (peers.watch_purpose(MS(100)), peers.watch_purpose(MS(5_000)))
    };
    let zone = WatchPurpose::Zone { other_zones: 1 };
    assert_eq!(
        purpose_of("a", "b"),
        (WatchPurpose::Fleet, WatchPurpose::Fleet)
    );
    assert_eq!(purpose_of("b", "a"), (zone, WatchPurpose::Fleet));
}

fn zone_sum(zone: &str) -> Heartbeat {
    Heartbeat {
        scope: HeartbeatScope::Zone {
            vms: 3,
            silent_vms: 0,
        },
        incarnation: 1,
        sequence: 1,
        next_in_ms: 200,
        ..Heartbeat::new(
            format!("vm-{zone}-9"),
            zone.into(),
            SocketAddr::from(([10, 0, 0, 9], 7600)),
        )
    }
}

/// Returns a call with a check every 100 ms, except from `paused_at` to `continued_at`.
fn watch(started_ms: u64, paused_ms: u64, continued_ms: u64, ended_ms: u64) -> PendingCall {
    let mut call = PendingCall::start(MS(started_ms));
    let checks = (started_ms + 100..=ended_ms).step_by(100);
    for at in checks.filter(|at| *at <= paused_ms || *at >= continued_ms) {
        call.record_check(MS(at));
    }
    call
}

#[test]
fn a_watch_that_waited_returns_a_change_when_it_is_made() {
    let call = watch(10_000, 0, 0, 11_500);
    let at = earliest_change(&call, Some(MS(10_000)), MS(3_000), MS(11_550));
    assert_eq!(at, MS(11_400));
}

/// Guards against a VM that noticed new weights only after a pause and counted from then.
#[rstest]
#[case::at_once(13_500, 11_400)]
#[case::at_the_first_check(13_600, 13_500)]
fn a_change_noticed_after_a_pause_may_be_as_old_as_the_pause(
    #[case] last_check_ms: u64,
    #[case] expected_ms: u64,
) {
    let call = watch(10_000, 11_500, 13_500, last_check_ms);
    let now = MS(last_check_ms + 10);
    let at = earliest_change(&call, Some(MS(10_000)), MS(3_000), now);
    assert_eq!(at, MS(expected_ms));
}

#[test]
fn a_change_found_at_once_may_be_as_old_as_the_last_response() {
    let call = PendingCall::start(MS(9_995));
    let at = earliest_change(&call, Some(MS(9_000)), MS(3_000), MS(10_000));
    assert_eq!(at, MS(9_000));
    let long_ago = earliest_change(&call, Some(MS(2_000)), MS(3_000), MS(10_000));
    assert_eq!(long_ago, MS(7_000));
    let unknown = earliest_change(&call, None, MS(3_000), MS(10_000));
    assert_eq!(unknown, MS(7_000));
}

/// A VM that starts after the target weights were set sends nothing to engines without them once it
/// counts as connected; it used to count from its own start.
#[test]
fn a_vm_that_starts_late_does_not_use_old_weights_for_longer() {
    let weights_timeout = Duration::from_secs(8);
    let cutoff = weights_timeout.mul_f64(0.8);
    let started = MS(100_000);
    let mut history = WeightHistory::default();
    let age_max = cutoff - CONTACT;
    let call = PendingCall::start(started - MS(4));
    history.record(2, earliest_change(&call, None, age_max, started));
    let behind_since = history.behind_since(1).unwrap();
    assert!(behind_since + cutoff <= started + CONTACT);
}

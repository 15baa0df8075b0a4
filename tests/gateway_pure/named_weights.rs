//! Tests of the history of a model's target weights, which the operator sets.

use super::*;

/// Target weights may be replaced before every engine has loaded them. An engine that never loaded
/// them is behind from the time at which they became the target. Guards against requests that
/// start on such an engine 6 s after that time.
#[test]
fn an_engine_is_late_from_the_first_name_that_it_missed() {
    let mut history = WeightHistory::default();
    history.record(2, MS(2_000));
    history.record(3, MS(4_400));
    assert_eq!(history.behind_since(1), Some(MS(2_000)));
    assert_eq!(history.behind_since(2), Some(MS(4_400)));
    assert_eq!(history.behind_since(3), None);
}

#[test]
fn a_name_told_twice_or_late_changes_nothing() {
    let mut history = WeightHistory::default();
    assert!(history.record(3, MS(10)));
    assert!(!history.record(3, MS(20)) && !history.record(2, MS(30)));
    assert_eq!((history.newest(), history.newest_at()), (3, Some(MS(10))));
}

/// A VM that starts learns from a peer which target weights were replaced before; engines that
/// lack these are behind for longer than the newest ones are set.
#[test]
fn replaced_weights_that_a_peer_reports_count() {
    let mut history = WeightHistory::default();
    history.record(4, MS(10_800));
    history.record_earlier(3, MS(6_400));
    history.record_earlier(4, MS(20_000));
    history.record_earlier(5, MS(20_000));
    assert_eq!(history.behind_since(2), Some(MS(6_400)));
    assert_eq!(history.behind_since(3), Some(MS(10_800)));
    assert_eq!(
        (history.newest(), history.newest_at()),
        (4, Some(MS(10_800)))
    );
}

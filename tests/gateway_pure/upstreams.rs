//! Tests of the registry of upstreams.

use super::*;

fn two_ready_upstreams() -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.apply("one", Some(entry(1, UpstreamStage::Ready)), MS(0));
    registry.apply("two", Some(entry(1, UpstreamStage::Ready)), MS(0));
    registry
}

#[test]
fn a_removed_entry_gets_nothing_new_at_once() {
    let mut registry = two_ready_upstreams();
    registry.apply("one", None, MS(10));
    assert_eq!(ready_ids(&registry), ["two"]);
}

#[test]
fn a_draining_upstream_gets_nothing_new() {
    let mut registry = two_ready_upstreams();
    registry.apply("one", Some(entry(1, UpstreamStage::Draining)), MS(10));
    assert_eq!(ready_ids(&registry), ["two"]);
}

#[rstest]
#[case::within_the_time(1_700, 2)]
#[case::beyond_it(2_100, 1)]
fn an_entry_that_lapsed_in_an_outage_is_kept_until_the_store_has_settled(
    #[case] after_return_ms: u64,
    #[case] ready: usize,
) {
    let mut registry = two_ready_upstreams();
    registry.record_store_lost();
    registry.record_store_back(MS(5_000));
    registry.apply("one", None, MS(5_001));
    registry.sweep(MS(5_000 + after_return_ms));
    assert_eq!(ready_ids(&registry).len(), ready);
}

/// Guards against an upstream that left and is never removed from the registry. It happened on a VM
/// that had lost the store and then received its changes through another VM: three seconds later
/// the VM still sent requests to that upstream.
#[test]
fn an_entry_that_lapsed_is_not_kept_for_long_even_while_the_store_is_away() {
    let mut registry = two_ready_upstreams();
    registry.record_store_lost();
    registry.apply("one", None, MS(1_000));
    registry.sweep(MS(2_500));
    assert_eq!(ready_ids(&registry).len(), 2);
    registry.sweep(MS(2_950));
    assert_eq!(ready_ids(&registry), ["two"]);
}

#[test]
fn an_entry_that_comes_back_in_time_stays() {
    let mut registry = two_ready_upstreams();
    registry.record_store_lost();
    registry.record_store_back(MS(5_000));
    registry.apply("one", None, MS(5_001));
    registry.apply("one", Some(entry(1, UpstreamStage::Ready)), MS(6_000));
    registry.sweep(MS(9_000));
    assert_eq!(ready_ids(&registry), ["one", "two"]);
}

#[test]
fn an_id_that_was_born_again_is_another_upstream() {
    let mut registry = two_ready_upstreams();
    registry.get_mut("one").unwrap().own_load.requests = 3;
    registry.apply("one", Some(entry(2, UpstreamStage::Ready)), MS(10));
    let engine = registry.get("one").unwrap();
    assert_eq!((engine.own_load.requests, engine.instance.born_ms), (0, 2));
}

#[test]
fn a_late_word_of_an_earlier_start_is_no_news() {
    let mut registry = two_ready_upstreams();
    registry.apply("one", Some(entry(2, UpstreamStage::Ready)), MS(10));
    registry.apply("one", Some(entry(1, UpstreamStage::Draining)), MS(20));
    assert_eq!(ready_ids(&registry), ["one", "two"]);
}

#[test]
fn one_failure_is_forgiven_soon_and_many_are_not() {
    let mut registry = two_ready_upstreams();
    let engine = registry.get_mut("one").unwrap();
    engine.record_failure(1.0, MS(0));
    assert!(engine.is_avoided(MS(100)) && !engine.is_avoided(MS(500)));
    (0..8).for_each(|_| engine.record_failure(1.0, MS(500)));
    assert!(engine.is_avoided(MS(4_000)));
}

/// Guards against requests that are retried at once on the engine that rejected them: one that had
/// just started to load weights received sixty attempts within a tenth of a second.
#[test]
fn an_engine_that_turned_a_request_away_gets_nothing_for_a_moment() {
    let mut registry = two_ready_upstreams();
    let engine = registry.get_mut("one").unwrap();
    engine.record_rejection(MS(0));
    assert!(engine.is_rejecting(MS(150)) && !engine.is_rejecting(MS(250)));
}

/// Guards against an engine that accepts requests, sends no response and receives further requests
/// until the first ones reach their deadline.
#[test]
fn an_upstream_that_is_silent_for_too_long_is_avoided_until_it_shows_something() {
    let mut registry = two_ready_upstreams();
    let engine = registry.get_mut("one").unwrap();
    engine.expect_response(1, MS(300));
    engine.expect_response(2, MS(900));
    assert!(!engine.is_avoided(MS(250)) && engine.is_avoided(MS(350)));
    engine.clear_expected_response(1);
    assert!(!engine.is_avoided(MS(350)));
}

#[test]
fn weights_never_fall() {
    let mut registry = two_ready_upstreams();
    let engine = registry.get_mut("one").unwrap();
    engine.record_weights("m", 5);
    engine.record_weights("m", 4);
    assert_eq!(engine.weights("m"), Some(5));
}

/// A store that was restored from a copy may list an engine as ready that has announced its leaving
/// since, or that is gone.
#[test]
fn an_engine_that_left_does_not_come_back_with_an_older_entry() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    for id in ["i-1", "i-2"] {
        registry.apply(id, Some(entry(1, UpstreamStage::Ready)), MS(0));
        registry.apply(id, Some(entry(1, UpstreamStage::Draining)), MS(10));
    }
    registry.apply("i-2", None, MS(20));
    for id in ["i-1", "i-2"] {
        registry.apply(id, Some(entry(1, UpstreamStage::Ready)), MS(30));
    }
    assert_eq!(ready_ids(&registry), Vec::<String>::new());
    // A new process under the same name.
    registry.apply("i-2", Some(entry(2, UpstreamStage::Ready)), MS(40));
    assert_eq!(ready_ids(&registry), ["i-2"]);
}

#[test]
fn an_engine_is_held_off_until_the_latest_time_that_it_asked_for() {
    let mut registry = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    registry.apply("i-1", Some(entry(1, UpstreamStage::Ready)), MS(0));
    let upstream = registry.get_mut("i-1").unwrap();
    upstream.record_hold_off(MS(500), MS(0));
    upstream.record_hold_off(MS(100), MS(200));
    assert_eq!(upstream.held_off_until(MS(499)), Some(MS(500)));
    assert_eq!(upstream.held_off_until(MS(500)), None);
    // A huge value ends too: the engine may have been replaced unseen.
    upstream.record_hold_off(Duration::from_secs(u64::from(u32::MAX)), MS(600));
    assert_eq!(upstream.held_off_until(MS(601 + 600_000)), None);
}

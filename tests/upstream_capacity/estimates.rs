//! Tests of the estimate of one upstream's load.

use std::time::Duration;

use celerylever::gateway::{
    AnnouncedServerLoad, LoadEstimate, LoadRecord, LoadedModel, Upstream, UpstreamEntry,
    UpstreamRegistry, UpstreamRegistrySettings, UpstreamStage,
};
use rstest::rstest;

const MS: fn(u64) -> Duration = Duration::from_millis;
const SLOTS: u32 = 6;

fn load(running: u32, waiting: u32, slowness_percent: f64) -> AnnouncedServerLoad {
    AnnouncedServerLoad::new(running, waiting, SLOTS, Some(slowness_percent)).unwrap()
}

/// Returns the estimate of a VM without requests, where heartbeats tell of two.
fn estimate(record: &LoadRecord, now: Duration) -> LoadEstimate {
    record.estimate(0, 2, 4, now)
}

/// Returns an engine that has the weights 1 of the model `m`.
fn engine_upstream() -> Upstream {
    let mut upstreams = UpstreamRegistry::new(UpstreamRegistrySettings::default());
    let entry = UpstreamEntry {
        service: "lm".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        availability_zone: "a".to_owned(),
        slots: SLOTS,
        software: None,
        stage: UpstreamStage::Ready,
        models: vec![LoadedModel {
            model: "m".to_owned(),
            weights: 1,
        }],
        born_ms: 1,
    };
    upstreams.apply("e0", Some(entry), MS(0));
    upstreams.get("e0").unwrap().clone()
}

#[test]
fn without_an_announcement_the_heartbeats_and_the_entry_count() {
    let estimate = estimate(&LoadRecord::default(), MS(0));
    assert_eq!((estimate.requests, estimate.slots), (2.0, 4.0));
    assert_eq!((estimate.slowness, estimate.age), (1.0, None));
}

#[test]
fn a_fresh_figure_counts_fully_with_what_was_sent_and_returned_since() {
    let mut record = LoadRecord::default();
    record.record(load(6, 10, 400.0), false, None, MS(0));
    for _ in 0..3 {
        record.record_sent();
    }
    record.record_returned(1);
    let estimate = estimate(&record, MS(100));
    assert_eq!((estimate.requests, estimate.slots), (18.0, 6.0));
    assert_eq!((estimate.slowness, estimate.age), (4.0, Some(MS(100))));
}

/// Guards against a request that is subtracted although the figures in its response leave it out.
#[test]
fn the_request_whose_response_brought_the_figures_is_not_subtracted() {
    let mut record = LoadRecord::default();
    record.record(load(6, 10, 100.0), false, Some(7), MS(0));
    record.record_returned(7);
    assert_eq!(estimate(&record, MS(1)).requests, 16.0);
}

/// Guards against decisions on figures that no longer hold.
#[test]
fn an_old_figure_gives_way_to_the_heartbeats() {
    let mut record = LoadRecord::default();
    record.record(load(6, 16, 400.0), false, None, MS(0));
    let half = estimate(&record, MS(550));
    assert!((half.requests - 12.0).abs() < 0.01, "{half:?}");
    assert!((half.slowness - 2.5).abs() < 0.01, "{half:?}");
    let old = estimate(&record, MS(1_000));
    assert_eq!((old.requests, old.slowness, old.age), (2.0, 1.0, None));
}

/// Guards against an upstream whose header stands still and which therefore always looks idle.
#[test]
fn figures_that_stand_still_are_not_believed() {
    let mut record = LoadRecord::default();
    for at_ms in (0..=2_000).step_by(100) {
        record.record(load(0, 0, 50.0), false, None, MS(at_ms));
    }
    let standing = estimate(&record, MS(2_000));
    assert_eq!((standing.requests, standing.age), (2.0, None));
    record.record(load(1, 0, 50.0), false, None, MS(2_100));
    assert_eq!(estimate(&record, MS(2_100)).requests, 1.0);
}

/// Guards against an upstream that announces less than this VM alone has in flight there.
#[test]
fn own_requests_count_whatever_is_announced() {
    let mut record = LoadRecord::default();
    record.record(load(0, 0, 100.0), false, None, MS(0));
    assert_eq!(record.estimate(5, 5, 4, MS(1)).requests, 5.0);
}

#[test]
fn a_rejection_shows_the_waiting_places_until_a_response_shows_free_ones() {
    let mut record = LoadRecord::default();
    record.record(load(6, 24, 100.0), true, None, MS(0));
    record.record_rejection(MS(0));
    let rejected = estimate(&record, MS(50));
    assert_eq!(
        (rejected.waiting_places, rejected.is_full),
        (Some(24), true)
    );
    assert_eq!(rejected.plain_capacity(), 24.0);
    record.record(load(6, 20, 100.0), false, None, MS(60));
    let free = estimate(&record, MS(60));
    assert_eq!((free.waiting_places, free.is_full), (Some(24), false));
}

/// Guards against an upstream that counts as full for good after its last response was a rejection.
#[test]
fn a_rejection_without_a_later_response_is_forgotten() {
    let mut record = LoadRecord::default();
    record.record_rejection(MS(0));
    assert!(estimate(&record, MS(199)).is_full);
    assert!(!estimate(&record, MS(200)).is_full);
}

/// Guards against waiting places learned from a rejection with another cause, such as weights that
/// are loaded.
#[test]
fn a_rejection_with_free_slots_shows_no_waiting_places() {
    let mut record = LoadRecord::default();
    record.record(load(2, 0, 100.0), true, None, MS(0));
    assert_eq!(estimate(&record, MS(0)).waiting_places, None);
}

#[test]
fn unreadable_figures_are_to_be_logged_once() {
    let mut record = LoadRecord::default();
    assert!(record.record_unreadable());
    assert!(!record.record_unreadable());
}

/// Guards against requests that all VMs send to an engine that loads weights: it is idle, looks free
/// and rejects everything until it is done.
#[rstest]
#[case::idle(0, 0, true)]
#[case::few_left(3, 0, true)]
#[case::full(64, 4, false)]
#[case::half_full(32, 0, false)]
fn a_rejection_by_an_idle_upstream_shows_an_order(
    #[case] running: u32,
    #[case] waiting: u32,
    #[case] is_idle: bool,
) {
    let load = AnnouncedServerLoad::new(running, waiting, 64, Some(100.0)).unwrap();
    let mut record = LoadRecord::default();
    record.record(load, true, None, MS(0));
    assert_eq!(record.is_idle_rejection(), is_idle);
    record.record(load, false, None, MS(10));
    assert!(!record.is_idle_rejection());
}

/// Guards against an engine that is left alone although it has loaded the weights.
#[test]
fn an_assumed_order_ends_with_its_time_with_newer_weights_or_with_a_response() {
    let engine = || {
        let mut upstream = engine_upstream();
        upstream.assume_order(MS(700), true);
        assert!(upstream.is_order_assumed(MS(699)) && upstream.is_order_announced(MS(699)));
        upstream
    };
    assert!(!engine().is_order_assumed(MS(700)));
    let mut loaded = engine();
    loaded.record_weights("m", 2);
    assert!(!loaded.is_order_assumed(MS(100)));
    let mut answering = engine();
    answering.record_success(MS(100));
    assert!(!answering.is_order_assumed(MS(100)));
}

//! Lease decisions: three processes under faults, and single steps.

mod lease_simulation;

use std::time::Duration;

use celerylever::gateway::OrderWindow;
use celerylever::steward::{
    LeaseAction, LeaseCore, LeaseObject, LeaseRecord, LeaseSettings, LeaseWriteOutcome,
};
use lease_simulation::{FirstOrder, Simulation, holder, settings};

const SEEDS: u64 = 60;

#[test]
fn holder_is_always_the_one_in_the_store() {
    for seed in 0..SEEDS {
        let outcome = Simulation::new(seed, settings(Duration::from_millis(10))).run();
        assert_eq!(outcome.violations, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.terms > 5, "seed {seed}: {outcome:?}");
        assert!(outcome.held_ticks > 1_000, "seed {seed}: {outcome:?}");
    }
}

/// Engines that ignore fencing numbers get no orders of two VMs within one lease duration, whoever
/// is paused, restarted or cut off, although the clocks run at rates that differ by 8% and orders
/// arrive late. Many holders need not wait for that time after they have acquired the lease.
#[test]
fn two_holders_never_order_engines_within_one_lease_duration() {
    let settings = settings(Duration::from_millis(10));
    let lease_micros = settings.lease_ttl.as_micros() as u64;
    let shortest = lease_micros * 1_000 / 1_040;
    for seed in 0..SEEDS {
        let outcome = Simulation::new(seed, settings).run();
        assert!(outcome.order_ticks > 1_000, "seed {seed}: {outcome:?}");
        let gap = outcome.order_gap_micros_min;
        assert!(
            gap.is_some_and(|gap| gap >= shortest),
            "seed {seed}: {outcome:?}"
        );
        let gap = outcome.arrival_gap_micros_min;
        assert!(
            gap.is_some_and(|gap| gap >= shortest - lease_micros / 4),
            "seed {seed}: {outcome:?}"
        );
        assert!(outcome.inherited_terms > 0, "seed {seed}: {outcome:?}");
    }
}

/// Without the write before the first order, a successor inherits an idle time that has ended.
#[test]
fn holders_that_order_before_their_write_take_turns_sooner() {
    let settings = settings(Duration::from_millis(10));
    let gap = |seed| {
        let simulation = Simulation::new(seed, settings);
        let simulation = simulation.with_first_order(FirstOrder::WithoutWrite);
        simulation.run().order_gap_micros_min
    };
    let lease_micros = settings.lease_ttl.as_micros() as u64;
    let close = (0..SEEDS).filter(|seed| gap(*seed).is_some_and(|gap| gap < lease_micros / 2));
    assert!(close.count() >= 5);
}

/// Without the wait after the acquisition the windows are closer, so the test above can fail.
#[test]
fn holders_that_rely_on_fencing_take_turns_sooner() {
    let settings = settings(Duration::from_millis(10));
    let window = OrderWindow {
        lease_ttl: settings.lease_ttl,
        engines_check_fencing: true,
    };
    let gap = |seed| {
        let simulation = Simulation::with_order_window(seed, settings, window);
        simulation.run().order_gap_micros_min
    };
    let lease_micros = settings.lease_ttl.as_micros() as u64;
    let close = (0..SEEDS).filter(|seed| gap(*seed).is_some_and(|gap| gap < lease_micros / 2));
    assert!(close.count() >= 5);
}

#[test]
fn without_margin_windows_overlap() {
    let run = |seed| Simulation::new(seed, settings(Duration::ZERO)).run();
    let overlapping = (0..SEEDS).filter(|seed| run(*seed).violations > 0).count();
    assert!(overlapping >= 5, "{overlapping} of {SEEDS} seeds");
}

#[test]
fn next_incarnation_waits_for_its_predecessor() {
    let settings = LeaseSettings::default();
    let mut core = LeaseCore::new(settings, holder(0, 2));
    let predecessor = LeaseObject {
        version: 3,
        record: Some(LeaseRecord {
            holder: Some(holder(0, 1)),
            fencing_number: 7,
            renewal_count: 4,
            idle_ms: None,
        }),
        ..LeaseObject::default()
    };
    let mut now = Duration::ZERO;
    let record = loop {
        match core.next_action(now) {
            Some(LeaseAction::Read) => core.read_completed(now, Some(predecessor.clone())),
            Some(LeaseAction::Write { record, .. }) => break record,
            None => now += core.time_until_next_action(now),
        }
    };
    assert_eq!(now, settings.lease_ttl + settings.takeover_margin);
    assert_eq!(
        (record.holder, record.fencing_number),
        (Some(holder(0, 2)), 8)
    );
}

/// Store that applies the calls of one process at a time at once.
#[derive(Default)]
struct InstantStore {
    object: LeaseObject,
}

impl InstantStore {
    fn run(&mut self, core: &mut LeaseCore, now: Duration) {
        while let Some(action) = core.next_action(now) {
            match action {
                LeaseAction::Read => core.read_completed(now, Some(self.object.clone())),
                LeaseAction::Write { record, .. } => {
                    let version = self.object.version + 1;
                    self.object = LeaseObject {
                        version,
                        record: Some(record),
                        ..LeaseObject::default()
                    };
                    core.write_completed(now, LeaseWriteOutcome::Applied(version));
                }
            }
        }
    }
}

const WINDOW: OrderWindow = OrderWindow {
    lease_ttl: Duration::from_secs(9),
    engines_check_fencing: false,
};

fn tracking_core(node: usize) -> LeaseCore {
    let settings = LeaseSettings {
        tracks_idle_time: true,
        ..LeaseSettings::from_lease_ttl(WINDOW.lease_ttl)
    };
    LeaseCore::new(settings, holder(node, 1))
}

/// Guards against a wait that starts anew with each holder, so that VMs stopped in turn send no
/// orders at all.
#[test]
fn holders_stopped_in_turn_before_an_order_do_not_prolong_the_wait() {
    let mut store = InstantStore::default();
    let mut now = Duration::from_secs(100);
    for node in 0..4 {
        let mut core = tracking_core(node);
        store.run(&mut core, now);
        now += Duration::from_secs(2);
        assert!(!WINDOW.can_open(core.held(now).unwrap(), now));
        core.release(now);
        store.run(&mut core, now);
        assert!(core.is_released());
    }
    let mut core = tracking_core(4);
    store.run(&mut core, now);
    let held = core.held(now).unwrap();
    assert_eq!(WINDOW.time_until_open(held, now), Duration::from_secs(1));
    now += Duration::from_secs(1);
    assert!(WINDOW.can_open(core.held(now).unwrap(), now));
}

#[test]
fn the_idle_time_starts_anew_after_a_holder_that_acted() {
    let mut store = InstantStore::default();
    let mut now = Duration::from_secs(100);
    let mut core = tracking_core(0);
    store.run(&mut core, now);
    now += WINDOW.lease_ttl / 3;
    store.run(&mut core, now);
    let held = core.held(now).unwrap();
    assert!(!WINDOW.is_open(held, now));
    core.begin_acting(held.fencing_number, now);
    assert!(!WINDOW.is_open(core.held(now).unwrap(), now));
    store.run(&mut core, now);
    assert!(WINDOW.is_open(core.held(now).unwrap(), now));
    now += Duration::from_secs(1);
    core.release(now);
    store.run(&mut core, now);
    assert_eq!(store.object.record.clone().unwrap().idle_ms, None);
    now += Duration::from_secs(50);
    let mut core = tracking_core(1);
    store.run(&mut core, now);
    let held = core.held(now).unwrap();
    assert_eq!(WINDOW.time_until_open(held, now), WINDOW.lease_ttl);
}

/// A release of an earlier build does not tell whether its holder sent orders.
#[test]
fn a_record_without_an_idle_time_counts_as_that_of_a_holder_that_acted() {
    let record: LeaseRecord =
        serde_json::from_str(r#"{"holder":null,"fencing_number":7,"renewal_count":4}"#).unwrap();
    assert_eq!(record.idle_ms, None);
    let mut store = InstantStore {
        object: LeaseObject {
            version: 3,
            record: Some(record),
            ..LeaseObject::default()
        },
    };
    let now = Duration::from_secs(100);
    let mut core = tracking_core(0);
    store.run(&mut core, now);
    let held = core.held(now).unwrap();
    assert_eq!(WINDOW.time_until_open(held, now), WINDOW.lease_ttl);
}

#[test]
fn unknown_write_seen_later_counts_from_its_sending() {
    let settings = LeaseSettings::default();
    let mut core = LeaseCore::new(settings, holder(0, 1));
    let sent_at = Duration::from_secs(1);
    assert_eq!(core.next_action(sent_at), Some(LeaseAction::Read));
    core.read_completed(sent_at, Some(LeaseObject::default()));
    let Some(LeaseAction::Write { record, .. }) = core.next_action(sent_at) else {
        panic!("no write to the absent lease");
    };
    let now = Duration::from_secs(3);
    core.write_completed(now, LeaseWriteOutcome::Unknown);
    assert_eq!(core.held(now), None);
    let now = now + core.time_until_next_action(now);
    assert_eq!(core.next_action(now), Some(LeaseAction::Read));
    let version = 1;
    let record = Some(record);
    core.read_completed(
        now,
        Some(LeaseObject {
            version,
            record,
            ..LeaseObject::default()
        }),
    );
    let held = core.held(now).unwrap();
    assert_eq!(
        (held.fencing_number, held.valid_until),
        (1, sent_at + settings.lease_ttl)
    );
}

#[test]
fn steady_state_costs_less_than_half_a_call_a_second() {
    const HOUR: Duration = Duration::from_secs(3_600);
    let settings = LeaseSettings::default();
    let mut cores = [0, 1].map(|index| LeaseCore::new(settings, holder(index, 1)));
    let mut object = LeaseObject::default();
    let mut calls = [0, 0];
    let mut now = Duration::ZERO;
    while now < HOUR {
        for (core, calls) in cores.iter_mut().zip(&mut calls) {
            let Some(action) = core.next_action(now) else {
                continue;
            };
            *calls += 1;
            match action {
                LeaseAction::Read => core.read_completed(now, Some(object.clone())),
                LeaseAction::Write {
                    expected_version, ..
                } if expected_version != object.version => {
                    core.write_completed(now, LeaseWriteOutcome::Conflict(object.clone()));
                }
                LeaseAction::Write { record, .. } => {
                    let version = object.version + 1;
                    let record = Some(record);
                    object = LeaseObject {
                        version,
                        record,
                        ..LeaseObject::default()
                    };
                    core.write_completed(now, LeaseWriteOutcome::Applied(version));
                }
            }
        }
        now += Duration::from_millis(100);
    }
    let calls_max = HOUR.as_secs() / 2;
    assert!(
        calls.iter().all(|calls| (1..calls_max).contains(calls)),
        "{calls:?}"
    );
    assert_eq!(cores[0].held(now).map(|held| held.fencing_number), Some(1));
    assert_eq!(cores[1].held(now), None);
}

#[test]
fn malformed_record_is_never_overwritten() {
    let mut core = LeaseCore::new(LeaseSettings::default(), holder(0, 1));
    for second in 0..100 {
        let now = Duration::from_secs(second);
        match core.next_action(now) {
            Some(LeaseAction::Read) => {
                let version = 3;
                let object = LeaseObject {
                    version,
                    ..LeaseObject::default()
                };
                core.read_completed(now, Some(object));
            }
            action => assert_eq!(action, None),
        }
    }
}

//! The lease in a store that was restored from an older copy.

use std::time::Duration;

use celerylever::platform::store_position;
use celerylever::steward::{
    LeaseAction, LeaseCore, LeaseHolder, LeaseObject, LeaseSettings, LeaseWriteOutcome,
};

const STEP: Duration = Duration::from_millis(10);

fn core(vm: &str, settings: LeaseSettings) -> LeaseCore {
    let holder = LeaseHolder {
        vm: vm.to_owned(),
        incarnation: 1,
    };
    LeaseCore::new(settings, holder)
}

/// Store that applies conditional writes at once, in some era.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    object: LeaseObject,
}

impl Store {
    fn run(&mut self, core: &mut LeaseCore, now: Duration) {
        core.observe_era(self.era, now);
        while let Some(action) = core.next_action(now) {
            match action {
                LeaseAction::Read => core.read_completed(now, Some(self.object.clone())),
                LeaseAction::Write {
                    expected_version, ..
                } if expected_version != self.object.version => {
                    let conflict = LeaseWriteOutcome::Conflict(self.object.clone());
                    core.write_completed(now, conflict);
                }
                LeaseAction::Write { record, .. } => {
                    self.revision += 1;
                    let version = store_position(self.era, self.revision).unwrap();
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

    /// Returns the copy as the store that it becomes after a restore.
    fn restored(copy: &Self, era: u64) -> Self {
        let revision = copy.revision;
        let version = match copy.object.version {
            0 => 0,
            _ => store_position(era, revision).unwrap(),
        };
        Self {
            era,
            revision,
            object: LeaseObject {
                version,
                ..copy.object.clone()
            },
        }
    }
}

/// A copy without the lease must not let another VM act beside the holder, which hears of the
/// restore last.
#[test]
fn no_other_vm_acquires_a_forgotten_lease_while_its_holder_may_act() {
    let settings = LeaseSettings::default();
    let copy = Store {
        era: 1,
        ..Store::default()
    };
    let mut store = copy.clone();
    let (mut holder, mut other) = (core("front-1", settings), core("front-2", settings));
    let mut now = Duration::from_secs(1);
    store.run(&mut holder, now);
    store.run(&mut other, now);
    let held = holder.held(now).unwrap();
    let mut restored = Store::restored(&copy, 2);
    loop {
        restored.run(&mut other, now);
        if let Some(term) = other.held(now) {
            assert!(now >= held.valid_until, "held at {now:?} beside {held:?}");
            assert!(term.fencing_number > held.fencing_number);
            return;
        }
        now += STEP;
        assert!(
            now < held.valid_until + settings.lease_ttl * 2,
            "never held"
        );
    }
}

/// The holder that hears of the restore itself may go on at once, under a new number.
#[test]
fn a_holder_acquires_a_forgotten_lease_at_once() {
    let settings = LeaseSettings::default();
    let mut store = Store {
        era: 4,
        ..Store::default()
    };
    let copy = store.clone();
    let mut holder = core("front-1", settings);
    let now = Duration::from_secs(1);
    store.run(&mut holder, now);
    let earlier = holder.held(now).unwrap();
    let mut restored = Store::restored(&copy, 5);
    restored.run(&mut holder, now + STEP);
    let term = holder.held(now + STEP).unwrap();
    assert!(term.fencing_number > earlier.fencing_number);
}

/// A VM that hears of the restore from a peer no longer holds the lease, whatever its calls return.
#[test]
fn a_lease_of_an_earlier_era_is_no_lease() {
    let settings = LeaseSettings::default();
    let mut store = Store {
        era: 1,
        ..Store::default()
    };
    let mut holder = core("front-1", settings);
    let now = Duration::from_secs(1);
    store.run(&mut holder, now);
    assert!(holder.held(now).is_some());
    holder.observe_era(2, now);
    assert!(holder.held(now).is_none());
    // The store that the VM reaches is still the one from before.
    let now = now + settings.lease_ttl;
    for step in 0..100 {
        let now = now + STEP * step;
        let version = store.object.version;
        match holder.next_action(now) {
            Some(LeaseAction::Read) => holder.read_completed(now, Some(store.object.clone())),
            Some(LeaseAction::Write { .. }) => {
                holder.write_completed(now, LeaseWriteOutcome::Applied(version));
            }
            None => {}
        }
        assert!(holder.held(now).is_none());
    }
}

/// Idle time in the copy may be from before the last order, so a successor must not inherit it.
#[test]
fn idle_time_of_a_copy_is_not_inherited() {
    let settings = LeaseSettings {
        tracks_idle_time: true,
        ..LeaseSettings::default()
    };
    let mut store = Store {
        era: 1,
        ..Store::default()
    };
    let mut first = core("front-1", settings);
    let mut now = Duration::from_secs(1);
    while now < Duration::from_secs(60) {
        store.run(&mut first, now);
        now += STEP;
    }
    first.release(now);
    store.run(&mut first, now);
    let mut restored = Store::restored(&store, 2);
    let mut successor = core("front-2", settings);
    let started = now;
    while successor.held(now).is_none() {
        restored.run(&mut successor, now);
        now += STEP;
    }
    let idle = successor.held(now).unwrap().idle.unwrap();
    assert!(idle.at(now) <= now - started, "{idle:?}");
}

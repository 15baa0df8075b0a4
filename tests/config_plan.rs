//! Versions of the document at many VMs, against a naive twin that asks everyone each time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use celerylever::clock::Instant;
use celerylever::config::{FetchAction, FetchRequest, VersionTracker, VersionTrackerSettings};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const VMS: usize = 6;
const STEPS: usize = 400;

/// VM with what it had in force since its start.
struct Vm {
    tracker: VersionTracker,
    highest: u64,
    is_store_cut: bool,
}

impl Vm {
    fn new() -> Self {
        Self {
            tracker: VersionTracker::new(VersionTrackerSettings::default()),
            highest: 0,
            is_store_cut: false,
        }
    }

    fn deliver(&mut self, version: u64, bad: &BTreeSet<u64>) {
        if !self.tracker.is_candidate(version) {
            return;
        }
        match bad.contains(&version) {
            true => self.tracker.refuse(version),
            false => {
                self.tracker.accept(version);
            }
        }
    }
}

/// Store, VMs and time; the naive twin is `highest_reachable`.
struct World {
    random: StdRng,
    now: Instant,
    stored: Vec<u64>,
    bad: BTreeSet<u64>,
    is_store_down: bool,
    vms: Vec<Vm>,
}

fn address(vm: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + vm as u16))
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            stored: vec![1],
            bad: BTreeSet::new(),
            is_store_down: false,
            vms: (0..VMS).map(|_| Vm::new()).collect(),
        }
    }

    fn any_vm(&mut self) -> usize {
        self.random.random_range(0..VMS)
    }

    /// The naive twin: everyone is asked, and the highest good version counts.
    fn highest_reachable(&self) -> u64 {
        let good = self
            .stored
            .iter()
            .filter(|version| !self.bad.contains(version));
        let stored = good.max().copied().unwrap_or_default();
        let stored = if self.is_store_down { 0 } else { stored };
        let held = self.vms.iter().map(|vm| vm.tracker.in_force()).max();
        held.unwrap_or_default().max(stored)
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.random.random_range(0..400));
        let vm = self.any_vm();
        match self.random.random_range(0..100) {
            0..10 => self.write(),
            10..30 => self.read_store(vm, false),
            30..40 => self.read_store(vm, true),
            40..75 => self.heartbeat(vm),
            75..90 => self.act(vm),
            90..93 => self.vms[vm] = Vm::new(),
            93..96 => self.is_store_down = !self.is_store_down,
            _ => self.vms[vm].is_store_cut = !self.vms[vm].is_store_cut,
        }
    }

    fn write(&mut self) {
        if self.is_store_down {
            return;
        }
        let version = self.stored.last().unwrap() + self.random.random_range(1..4);
        self.stored.push(version);
        if self.random.random_bool(0.2) {
            self.bad.insert(version);
        }
    }

    fn read_store(&mut self, vm: usize, is_stale: bool) {
        let is_reached = !self.is_store_down && !self.vms[vm].is_store_cut;
        self.vms[vm].tracker.set_store_reachable(is_reached);
        if !is_reached {
            return;
        }
        let version = match is_stale {
            true => *self.stored.choose(&mut self.random).unwrap(),
            false => *self.stored.last().unwrap(),
        };
        self.vms[vm].deliver(version, &self.bad);
    }

    /// A heartbeat and its answer; either may tell of an earlier version, as if delayed.
    fn heartbeat(&mut self, from: usize) {
        let to = self.any_vm();
        for (teller, hearer) in [(from, to), (to, from)] {
            let mut version = self.vms[teller].tracker.in_force();
            if self.random.random_bool(0.2) {
                version = self.random.random_range(0..=version);
            }
            let now = self.now;
            self.vms[hearer]
                .tracker
                .record_advertised(address(teller), version, now);
        }
    }

    /// Does what the tracker wants; the reply may be lost or old.
    fn act(&mut self, vm: usize) {
        let FetchAction::Fetch(FetchRequest {
            from,
            above_version,
        }) = self.vms[vm].tracker.next_action(self.now)
        else {
            return;
        };
        assert_eq!(above_version, self.vms[vm].tracker.in_force());
        self.vms[vm].tracker.remove_peer(from);
        let version = self.vms[usize::from(from.port() - 1_000)]
            .tracker
            .in_force();
        match self.random.random_range(0..10) {
            0..2 => {}
            2 => {
                let old = self.random.random_range(0..=version);
                self.vms[vm].deliver(old, &self.bad);
            }
            _ => self.vms[vm].deliver(version, &self.bad),
        }
    }

    fn check(&mut self) {
        for vm in &mut self.vms {
            let version = vm.tracker.in_force();
            assert!(version >= vm.highest, "{version} after {}", vm.highest);
            assert!(!self.bad.contains(&version), "bad {version} in force");
            vm.highest = version;
        }
    }

    /// Lets messages through for a while; store and cuts stay as they are.
    fn settle(&mut self) {
        for _ in 0..4 {
            for from in 0..VMS {
                for to in 0..VMS {
                    let version = self.vms[from].tracker.in_force();
                    let now = self.now;
                    self.vms[to]
                        .tracker
                        .record_advertised(address(from), version, now);
                }
            }
            for vm in 0..VMS {
                self.read_store(vm, false);
            }
            self.now += Duration::from_secs(1);
            for vm in 0..VMS {
                while let FetchAction::Fetch(FetchRequest { from, .. }) =
                    self.vms[vm].tracker.next_action(self.now)
                {
                    self.vms[vm].tracker.remove_peer(from);
                    let version = self.vms[usize::from(from.port() - 1_000)]
                        .tracker
                        .in_force();
                    self.vms[vm].deliver(version, &self.bad);
                }
            }
        }
    }
}

#[rstest]
fn versions_never_fall_and_reach_the_highest_that_is_reachable(#[values(1, 2, 3, 4)] block: u64) {
    for seed in block * 1_000..block * 1_000 + 250 {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
            world.check();
        }
        // A bad version on top of the store hides the good one below it from those who read it.
        let top = *world.stored.last().unwrap();
        if world.bad.contains(&top) && !world.is_store_down {
            world.stored.push(top + 1);
        }
        let is_store_reached = !world.is_store_down && world.vms.iter().any(|vm| !vm.is_store_cut);
        if !is_store_reached {
            world.is_store_down = true;
        }
        let expected = world.highest_reachable();
        world.settle();
        world.check();
        for vm in &world.vms {
            assert_eq!(vm.tracker.in_force(), expected, "seed {seed}");
        }
    }
}

#[test]
fn peer_is_asked_only_when_the_store_has_had_its_grace() {
    let settings = VersionTrackerSettings::default();
    let mut tracker = VersionTracker::new(settings);
    let now = Duration::from_secs(5);
    tracker.set_store_reachable(true);
    tracker.record_advertised(address(0), 7, now);
    tracker.record_advertised(address(0), 7, now + settings.store_delivery_timeout / 2);
    assert_eq!(
        tracker.next_action(now),
        FetchAction::WaitUntil(now + settings.store_delivery_timeout)
    );
    let fetch = FetchAction::Fetch(FetchRequest {
        from: address(0),
        above_version: 0,
    });
    assert_eq!(
        tracker.next_action(now + settings.store_delivery_timeout),
        fetch
    );
    tracker.set_store_reachable(false);
    assert_eq!(tracker.next_action(now), fetch);
    tracker.accept(7);
    assert_eq!(tracker.next_action(now), FetchAction::WaitForVersion);
}

#[test]
fn refused_version_is_not_asked_for_again() {
    let mut tracker = VersionTracker::new(VersionTrackerSettings::default());
    tracker.accept(3);
    tracker.refuse(5);
    tracker.record_advertised(address(0), 5, Duration::ZERO);
    assert_eq!(
        tracker.next_action(Duration::from_secs(9)),
        FetchAction::WaitForVersion
    );
    assert!(tracker.is_candidate(6));
    assert!(!tracker.is_candidate(5));
}

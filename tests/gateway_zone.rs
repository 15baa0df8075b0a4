//! Heartbeats within simulated zones of dozens of VMs: messages, convergence and succession.

use std::net::SocketAddr;
use std::time::Duration;

use celerylever::gateway::{Heartbeat, HeartbeatScope, Peers, PeersSettings};
use rstest::rstest;

const INTERVAL: Duration = Duration::from_millis(200);
/// VMs with more processor time than the others.
const LARGE_VMS: usize = 3;

struct Zone {
    vms: Vec<Vm>,
    round: u64,
}

struct Vm {
    peers: Peers,
    incarnation: u64,
    first_round: u64,
    is_running: bool,
    sent: usize,
    received: usize,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (number / 250) as u8, (number % 250) as u8 + 1],
        7600,
    ))
}

fn cpu_percent(number: usize) -> u8 {
    if number < LARGE_VMS { 50 } else { 12 }
}

impl Vm {
    fn start(number: usize, vms: usize, incarnation: u64, round: u64) -> Self {
        let now = INTERVAL * round as u32;
        let settings = PeersSettings {
            own_cpu_percent: cpu_percent(number),
            ..PeersSettings::default()
        };
        let mut peers = Peers::new(settings, format!("vm-{number}"), "a".into());
        peers.record_start(now);
        for other in (0..vms).filter(|other| *other != number) {
            peers.add_address(address(other), "a".into(), now);
        }
        Self {
            peers,
            incarnation,
            first_round: round,
            is_running: true,
            sent: 0,
            received: 0,
        }
    }

    fn heartbeat(&self, number: usize, round: u64, next_in_ms: u16) -> Heartbeat {
        Heartbeat {
            incarnation: self.incarnation,
            sequence: round,
            cpu_percent: self.peers.own_cpu_percent(),
            next_in_ms,
            watches_store: true,
            ..Heartbeat::new(format!("vm-{number}"), "a".into(), address(number))
        }
    }
}

impl Zone {
    fn start(vms: usize) -> Self {
        Self {
            vms: (0..vms)
                .map(|number| Vm::start(number, vms, 1, 0))
                .collect(),
            round: 0,
        }
    }

    fn now(&self) -> Duration {
        INTERVAL * self.round as u32
    }

    fn run(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.run_round();
        }
    }

    /// Each running VM sends one heartbeat, and the representative its sums to the whole zone.
    fn run_round(&mut self) {
        self.round += 1;
        let now = self.now();
        let mut messages = Vec::new();
        for (number, vm) in self
            .vms
            .iter_mut()
            .enumerate()
            .filter(|(_, vm)| vm.is_running)
        {
            let round = self.round - vm.first_round - 1;
            let targets = vm.peers.heartbeat_targets(address(number), round, now);
            let is_representative = vm.peers.is_zone_representative(now);
            let rounds = if is_representative { 1 } else { targets.rounds };
            let others = vm.heartbeat(number, self.round, 200 * rounds as u16);
            let hubs = vm.heartbeat(number, self.round, 200);
            messages.extend(targets.every_round.iter().map(|to| (*to, hubs.clone())));
            messages.extend(targets.this_round.iter().map(|to| (*to, others.clone())));
            if is_representative && targets.rounds > 1 {
                let sum = Heartbeat {
                    scope: HeartbeatScope::Zone {
                        vms: 1 + vm.peers.fresh_in_zone(now).count() as u16,
                        silent_vms: 0,
                    },
                    ..hubs
                };
                let to_all = vm.peers.zone_addresses(address(number));
                messages.extend(to_all.into_iter().map(|to| (to, sum.clone())));
            }
        }
        for (to, heartbeat) in messages {
            let from = heartbeat.vm["vm-".len()..].parse::<usize>().unwrap();
            self.vms[from].sent += 1;
            let receiver = (0..self.vms.len()).find(|number| address(*number) == to);
            let receiver = &mut self.vms[receiver.unwrap()];
            if receiver.is_running {
                receiver.received += 1;
                receiver.peers.record_heartbeat(heartbeat, now);
            }
        }
    }

    fn restart(&mut self, numbers: impl Iterator<Item = usize>) {
        let count = self.vms.len();
        for number in numbers {
            self.vms[number] = Vm::start(number, count, 2, self.round);
        }
    }

    fn representatives(&self) -> Vec<usize> {
        let now = self.now();
        let running = self.vms.iter().enumerate().filter(|(_, vm)| vm.is_running);
        running
            .filter(|(_, vm)| vm.peers.is_zone_representative(now))
            .map(|(number, _)| number)
            .collect()
    }

    /// Returns how many messages an ordinary VM sends and receives per second at most.
    fn messages_per_s(&mut self, seconds: u64) -> (usize, usize) {
        self.run(20);
        for vm in &mut self.vms {
            (vm.sent, vm.received) = (0, 0);
        }
        self.run(seconds * 5);
        let now = self.now();
        let ordinary = self.vms.iter().filter(|vm| !vm.peers.is_hub(now));
        let most = |count: fn(&Vm) -> usize| ordinary.clone().map(count).max().unwrap();
        (
            most(|vm| vm.sent) / seconds as usize,
            most(|vm| vm.received) / seconds as usize,
        )
    }
}

/// Doubling the zone raises the messages of no VM but its two hubs by more than a tenth.
#[test]
fn the_messages_of_a_vm_do_not_grow_with_its_zone() {
    let (sent, received) = Zone::start(50).messages_per_s(6);
    let (sent_twice, received_twice) = Zone::start(100).messages_per_s(6);
    assert!(
        sent_twice * 10 <= sent * 11,
        "{sent} and {sent_twice} sent/s"
    );
    assert!(
        received_twice * 10 <= received * 11,
        "{received} and {received_twice} received/s"
    );
}

/// All VMs know all others, and agree on one representative with the most processor time, within
/// two seconds of the start; and again after half of the VMs have restarted at once.
#[rstest]
#[case(8)]
#[case(50)]
#[case(100)]
fn a_zone_converges_after_a_start_and_after_mass_restarts(#[case] vms: usize) {
    let mut zone = Zone::start(vms);
    zone.run(10);
    let check = |zone: &Zone, when: &str| {
        let now = zone.now();
        for vm in &zone.vms {
            assert_eq!(vm.peers.fresh_in_zone(now).count(), vms - 1, "{when}");
        }
        let representatives = zone.representatives();
        assert_eq!(representatives.len(), 1, "{when}: {representatives:?}");
        assert!(
            representatives[0] < LARGE_VMS,
            "{when}: {representatives:?}"
        );
    };
    check(&zone, "after the start");
    zone.restart((0..vms).step_by(2));
    zone.run(10);
    check(&zone, "after the restarts");
}

/// A representative that dies has a successor within 1.2 seconds, although the VMs of a large zone
/// hear each other less often than that.
#[rstest]
#[case(8)]
#[case(60)]
fn a_representative_that_dies_is_succeeded_soon(#[case] vms: usize) {
    let mut zone = Zone::start(vms);
    zone.run(20);
    let representative = zone.representatives()[0];
    zone.vms[representative].is_running = false;
    zone.run(6);
    let successors = zone.representatives();
    assert_eq!(successors.len(), 1, "{successors:?}");
    assert_ne!(successors[0], representative);
}

/// The hubs that shut down have two successors that all VMs agree on while they still run.
#[rstest]
#[case(8)]
#[case(60)]
fn hubs_that_shut_down_are_succeeded_while_they_run(#[case] vms: usize) {
    let mut zone = Zone::start(vms);
    zone.run(20);
    let now = zone.now();
    let hubs = |zone: &Zone| -> Vec<usize> {
        let is_hub = |number: &usize| zone.vms[*number].peers.is_hub(zone.now());
        (0..vms).filter(is_hub).collect()
    };
    let stopping = hubs(&zone);
    assert_eq!(stopping.len(), 2);
    for number in &stopping {
        zone.vms[*number].peers.record_stop(now);
    }
    zone.run(2);
    let successors = hubs(&zone);
    assert_eq!(successors.len(), 2, "{successors:?} after {stopping:?}");
    assert!(successors.iter().all(|number| !stopping.contains(number)));
    let representatives = zone.representatives();
    assert_eq!(representatives.len(), 1, "{representatives:?}");
    assert!(successors.contains(&representatives[0]));
}

/// VMs that hear each other rarely do not take each other for dead.
#[test]
fn no_vm_of_a_large_zone_counts_as_silent() {
    let mut zone = Zone::start(60);
    zone.run(15);
    for _ in 0..30 {
        zone.run_round();
        let now = zone.now();
        let silent = zone.vms.iter().map(|vm| vm.peers.stale_in_zone(now));
        assert_eq!(silent.sum::<usize>(), 0, "at {now:?}");
    }
}

//! Rate limits of a simulated fleet, some of whose VMs are cut off from all others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use celerylever::gateway::{
    Allowance, AllowanceSettings, Allowances, CostUnit, Heartbeat, HeartbeatScope, Peers,
    PeersSettings,
};
use rstest::rstest;

const CUSTOMER: &str = "tidsbok";
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT_STEPS: u64 = 20;
const WINDOW: Duration = Duration::from_secs(8);
const END: Duration = Duration::from_secs(24);
/// The customer sends many times its rate from this time on.
const HOT_FROM: Duration = Duration::from_secs(6);
/// Time for which the last third of the VMs is cut off.
const CUT: std::ops::Range<Duration> = Duration::from_secs(9)..Duration::from_secs(13);

struct Vm {
    peers: Peers,
    accounts: Allowances,
    zone: String,
    is_cut: bool,
}

struct Fleet {
    vms: Vec<Vm>,
    allowance: Allowance,
    cost: u64,
    granted: Vec<(Duration, u64)>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (number / 250) as u8, (number % 250) as u8 + 1],
        7600,
    ))
}

impl Fleet {
    fn new(zones: usize, vms: usize, allowance: Allowance, settings: AllowanceSettings) -> Self {
        let vms = (0..vms).map(|number| {
            let zone = format!("zone-{}", number % zones);
            let name = format!("vm-{number}");
            Vm {
                peers: Peers::new(PeersSettings::default(), name, zone.clone()),
                accounts: Allowances::new(settings),
                zone,
                is_cut: false,
            }
        });
        Self {
            vms: vms.collect(),
            allowance,
            cost: 9_000,
            granted: Vec::new(),
        }
    }

    fn heartbeat(&mut self, number: usize, sequence: u64, now: Duration) -> Heartbeat {
        let demands = self.vms[number].accounts.demands(now);
        Heartbeat {
            incarnation: 1,
            sequence,
            cpu_percent: 25,
            next_in_ms: 200,
            // The simulation has a single customer.
            demands: demands
                .iter()
                .map(|(_, units)| (Peers::customer_hash(CUSTOMER), *units as u32))
                .collect(),
            ..Heartbeat::new(
                format!("vm-{number}"),
                self.vms[number].zone.clone(),
                address(number),
            )
        }
    }

    /// Exchanges the heartbeats of one interval, and the sums of the representatives.
    fn exchange(&mut self, sequence: u64, now: Duration) {
        let beats: Vec<Heartbeat> = (0..self.vms.len())
            .map(|number| self.heartbeat(number, sequence, now))
            .collect();
        let cut: Vec<bool> = self.vms.iter().map(|vm| vm.is_cut).collect();
        let can_reach = |one: usize, other: usize| one != other && !cut[one] && !cut[other];
        for (from, beat) in beats.iter().enumerate() {
            for (to, vm) in self.vms.iter_mut().enumerate() {
                if can_reach(from, to) && vm.zone == beat.availability_zone {
                    vm.peers.record_heartbeat(beat.clone(), now);
                }
            }
        }
        let mut sums: HashMap<usize, Heartbeat> = HashMap::new();
        for (number, vm) in self.vms.iter().enumerate() {
            if !vm.peers.is_zone_representative(now) {
                continue;
            }
            let fresh: Vec<_> = vm.peers.fresh_in_zone(now).collect();
            let own = beats[number].demands.iter();
            let others = fresh.iter().flat_map(|peer| peer.heartbeat.demands.iter());
            let demand = own.chain(others).map(|(_, units)| *units).sum();
            let mut sum = beats[number].clone();
            sum.demands = vec![(Peers::customer_hash(CUSTOMER), demand)];
            sum.scope = HeartbeatScope::Zone {
                vms: 1 + fresh.len() as u16,
                silent_vms: vm.peers.stale_in_zone(now) as u16,
            };
            sums.insert(number, sum);
        }
        for (from, sum) in &sums {
            for (to, vm) in self.vms.iter_mut().enumerate() {
                if can_reach(*from, to) && vm.zone != sum.availability_zone {
                    vm.peers.record_heartbeat(sum.clone(), now);
                }
            }
        }
    }

    /// Charges a request that arrives at a VM, as the gateway does.
    fn request(&mut self, number: usize, now: Duration) {
        let owner = self.vms[number].peers.account_owner(CUSTOMER, now);
        let owner = owner.map(|peer| peer.heartbeat.vm["vm-".len()..].parse::<usize>().unwrap());
        let is_reached = |owner: usize| {
            self.vms[owner].is_cut == self.vms[number].is_cut && !self.vms[number].is_cut
        };
        let (at, is_this_vm_only) = match owner {
            Some(owner) if is_reached(owner) => {
                self.vms[number].accounts.record_charged_elsewhere(CUSTOMER);
                (owner, false)
            }
            Some(_) => (number, true),
            None => (number, false),
        };
        let vm = &mut self.vms[at];
        let groups = vm.peers.account_groups(CUSTOMER, is_this_vm_only, now);
        let taken = vm.accounts.try_take(
            CUSTOMER,
            &self.allowance,
            self.cost,
            groups.own_vms,
            &groups.others,
            now,
        );
        if taken.is_ok() {
            self.granted.push((now, self.cost));
        }
    }

    fn run(&mut self, hot_factor: f64) {
        let vms = self.vms.len();
        let mut owed = vec![0.0; vms];
        let mut now = Duration::ZERO;
        let mut step = 0;
        while now < END {
            for (number, vm) in self.vms.iter_mut().enumerate() {
                vm.is_cut = CUT.contains(&now) && number >= vms - vms / 3;
                if vm.peers.account_owner(CUSTOMER, now).is_some() {
                    vm.accounts.record_other_owner(CUSTOMER, now);
                }
            }
            if step % HEARTBEAT_STEPS == 0 {
                self.exchange(step, now);
            }
            let factor = if now >= HOT_FROM { hot_factor } else { 0.5 };
            let per_step = self.allowance.rate_per_s as f64 * factor * STEP.as_secs_f64()
                / (vms as f64 * self.cost as f64);
            for (number, owed) in owed.iter_mut().enumerate() {
                *owed += per_step;
                while *owed >= 1.0 {
                    *owed -= 1.0;
                    self.request(number, now);
                }
            }
            now += STEP;
            step += 1;
        }
    }

    /// Returns the most units that were granted within one window.
    fn granted_max(&self) -> u64 {
        let (mut sum, mut first, mut max) = (0, 0, 0);
        for (at, units) in &self.granted {
            sum += units;
            while self.granted[first].0 + WINDOW <= *at {
                sum -= self.granted[first].1;
                first += 1;
            }
            max = max.max(sum);
        }
        max
    }
}

/// All VMs together stay within the limit of a customer that sends eight times its rate while a
/// third of the VMs is cut off, with the bounds of the deployments.
#[rstest]
#[case(3, 9, 72_000, 333_000)]
#[case(3, 9, 72_000, 140_000)]
#[case(4, 8, 140_000, 200_000)]
#[case(4, 80, 140_000, 230_000)]
#[case(6, 120, 140_000, 230_000)]
fn vms_that_are_cut_off_stay_within_the_limit_together(
    #[case] zones: usize,
    #[case] vms: usize,
    #[case] slack_units: u64,
    #[case] rate_per_s: u64,
) {
    let allowance = Allowance {
        unit: CostUnit::Token { plain_tokens: 200 },
        rate_per_s,
        burst: rate_per_s,
    };
    let settings = AllowanceSettings {
        overage: 0.1,
        slack_units,
        window: WINDOW,
    };
    let mut fleet = Fleet::new(zones, vms, allowance, settings);
    fleet.run(4.4);
    let limit = (rate_per_s * 8 + rate_per_s) as f64 * 1.1 + slack_units as f64;
    let granted = fleet.granted_max();
    assert!(
        granted as f64 <= limit,
        "granted {granted} units, limit {limit}"
    );
    assert!(
        granted >= rate_per_s * 8,
        "granted {granted} units, less than the rate"
    );
}

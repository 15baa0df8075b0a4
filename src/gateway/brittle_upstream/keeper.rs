//! Choice of the VM that keeps the ledger of a brittle upstream.
//!
//! The representatives of the zones keep the ledgers, each those of some upstreams, as all VMs of
//! the fleet hear them. VMs that hear the same representatives choose the same one.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Instant;
use crate::gateway::heartbeat::Heartbeat;
use crate::gateway::peers::Peers;
use crate::gateway::process_hash::ProcessHash;
use crate::ids::AvailabilityZoneId;

/// Name among the demands of a VM by which it tells that it can keep ledgers. Builds that cannot
/// pass it on like that of a customer.
pub(in crate::gateway) const VM_MARK: &str = "\u{0}send-ledgers";
/// As [`VM_MARK`], among the sums of a zone, for its representative.
pub(in crate::gateway) const ZONE_MARK: &str = "\u{0}zone-send-ledgers";

/// VM that keeps the ledger of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKeeper {
    /// This VM.
    ThisVm,
    /// The VM with this address.
    Vm(SocketAddr),
    /// All representatives run builds that keep no ledgers.
    Nobody,
}

/// Representatives that can keep ledgers, as a VM hears them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KeeperView {
    zones: Vec<(AvailabilityZoneId, SendKeeper)>,
    /// Whether the VM hears most of the fleet; if not, another one may keep the same ledgers.
    hears_fleet: bool,
}

impl KeeperView {
    /// Returns whether this VM is the only one that keeps the ledger of a process.
    pub(super) fn keeps(&self, process: ProcessHash) -> bool {
        self.hears_fleet && self.keeper(process) == SendKeeper::ThisVm
    }

    /// Returns the VM that keeps the ledger of a process.
    pub(super) fn keeper(&self, process: ProcessHash) -> SendKeeper {
        let ranked = self.zones.iter();
        let first = ranked.min_by_key(|(zone, _)| xxh3_64_with_seed(zone.as_bytes(), process));
        first.map_or(SendKeeper::Nobody, |(_, keeper)| *keeper)
    }
}

impl Peers {
    /// Returns the representatives that can keep ledgers.
    pub fn keeper_view(&self, now: Instant) -> KeeperView {
        let own = match self.representative(now) {
            None => Some(SendKeeper::ThisVm),
            Some(peer) => is_marked(&peer.heartbeat, VM_MARK)
                .then_some(SendKeeper::Vm(peer.heartbeat.address)),
        };
        let own = own.map(|keeper| (self.zone().clone(), keeper));
        let others = self
            .other_zones()
            .filter(|peer| self.is_fresh(peer, now) && is_marked(&peer.heartbeat, ZONE_MARK))
            .map(|peer| {
                let heartbeat = &peer.heartbeat;
                let keeper = SendKeeper::Vm(heartbeat.address);
                (heartbeat.availability_zone.clone(), keeper)
            });
        let mut zones: Vec<_> = own.into_iter().chain(others).collect();
        zones.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
        let hears_fleet = self.reachable_part(now) > 0.5;
        KeeperView { zones, hears_fleet }
    }

    /// Returns the part of the fleet's VMs that this VM hears, itself included, directly or through
    /// the representatives of their zones.
    pub fn reachable_part(&self, now: Instant) -> f64 {
        let zones = self.other_zones().filter(|peer| self.is_fresh(peer, now));
        let in_zones: usize = zones.map(|peer| peer.heartbeat.vms()).sum();
        let reachable = 1 + self.fresh_in_zone(now).count() + in_zones;
        reachable as f64 / self.fleet_size().max(reachable) as f64
    }
}

fn is_marked(heartbeat: &Heartbeat, mark: &str) -> bool {
    let name = Peers::customer_hash(mark);
    heartbeat
        .demands
        .iter()
        .any(|(customer, _)| *customer == name)
}

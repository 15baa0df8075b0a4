//! Roles of the VMs of an availability zone, and who sends heartbeats to whom.
//!
//! Load pattern: a zone of dozens of VMs. If each VM sent every heartbeat to all others, the work
//! of a VM would grow with the zone. Instead the two hubs, the VMs that rank first, receive every
//! heartbeat, and the others receive one in several rounds. The first hub, the representative,
//! sends the sums of the zone to all its VMs in each round.
//!
//! A VM that shuts down ranks after all others, so that its roles pass on while it still runs.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::peers::{Peer, Peers};
use super::watch_schedule::WatchPurpose;
use crate::clock::Instant;

/// Number of VMs of a zone that receive every heartbeat: the representative and its successor.
pub(super) const HUBS: usize = 2;
/// Number of other VMs that receive one heartbeat.
const OTHERS_PER_ROUND: usize = 10;
/// Number of first heartbeats of a process that all VMs of its zone receive, as they do after its
/// rank has changed.
const ROUNDS_TO_ALL: u64 = 3;

/// Rank of a VM for a role that needs more capacity than others: more processor time first.
pub(super) type RoleRank = (Reverse<u8>, u64);

/// Receivers of one heartbeat within the zone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeartbeatTargets {
    /// VMs that receive every heartbeat.
    pub every_round: Vec<SocketAddr>,
    /// VMs that receive this heartbeat, but not every one.
    pub this_round: Vec<SocketAddr>,
    /// Number of rounds after which the VMs of `this_round` receive another heartbeat.
    pub rounds: u32,
}

/// Returns the rank of a VM for a role, which is last without any processor time, in an order on which all VMs agree.
pub(super) fn role_rank(vm: &str, cpu_percent: u8) -> RoleRank {
    (Reverse(cpu_percent), hash_rank(vm, ""))
}

/// Returns the rank of a VM for a purpose, without regard to its capacity.
pub(super) fn hash_rank(vm: &str, purpose: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), xxh3_64(purpose.as_bytes()))
}

impl Peers {
    /// Returns the receivers of a heartbeat within the zone.
    pub fn heartbeat_targets(
        &self,
        own_address: SocketAddr,
        round: u64,
        now: Instant,
    ) -> HeartbeatTargets {
        let mut others = self.zone_addresses(own_address);
        if others.len() <= HUBS + OTHERS_PER_ROUND {
            return HeartbeatTargets {
                every_round: others,
                this_round: Vec::new(),
                rounds: 1,
            };
        }
        let hubs = self.hub_addresses(now);
        others.retain(|address| !hubs.contains(address));
        let rounds = others.len().div_ceil(OTHERS_PER_ROUND);
        if round >= ROUNDS_TO_ALL && !self.has_just_stopped(now) {
            // Each VM starts with another group, so that no VM receives all heartbeats at once.
            let offset = hash_rank(&own_address.to_string(), "") as usize % rounds;
            let group = (offset + round as usize) % rounds;
            let bound = |group: usize| group * others.len() / rounds;
            others = others[bound(group)..bound(group + 1)].to_vec();
        }
        HeartbeatTargets {
            every_round: hubs,
            this_round: others,
            rounds: rounds as u32,
        }
    }

    /// Returns the receivers of news: the representative tells its VMs and the other zones what it
    /// had not known, another VM of a large zone only the hubs, so that the messages grow with the
    /// number of VMs.
    pub fn news_receivers(
        &self,
        own_address: SocketAddr,
        round: u64,
        now: Instant,
    ) -> Vec<SocketAddr> {
        match self.is_zone_representative(now) {
            true => {
                let mut addresses = self.zone_addresses(own_address);
                addresses.extend(self.other_zone_addresses(round as usize));
                addresses
            }
            false => self.heartbeat_targets(own_address, round, now).every_round,
        }
    }

    /// Returns whether this VM is the representative of its zone.
    pub fn is_zone_representative(&self, now: Instant) -> bool {
        let mut fresh = self.fresh_in_zone(now).peekable();
        if fresh.peek().is_some() && !self.is_complete(now) {
            return false;
        }
        let own_rank = self.own_role_rank();
        fresh.all(|peer| own_rank < peer.role_rank())
    }

    /// Returns the representative of this zone; `None` if it is this VM.
    pub fn representative(&self, now: Instant) -> Option<&Peer> {
        let first = self
            .fresh_in_zone(now)
            .min_by_key(|peer| peer.role_rank())?;
        (first.role_rank() < self.own_role_rank()).then_some(first)
    }

    /// Returns the address of the VM that decides for the fleet what one VM alone may decide: the
    /// representative of the first zone by name; `None` if it is this VM.
    pub fn coordinator(&self, now: Instant) -> Option<SocketAddr> {
        let fresh = self.other_zones().filter(|peer| self.is_fresh(peer, now));
        let first = fresh.min_by_key(|peer| &peer.heartbeat.availability_zone);
        let earlier = first.filter(|peer| peer.heartbeat.availability_zone < *self.zone());
        let coordinator = earlier.or_else(|| self.representative(now));
        coordinator.map(|peer| peer.heartbeat.address)
    }

    /// Returns the VM of this zone through which this VM watches the store; `None` if it watches
    /// the store directly.
    pub fn store_relay(&self, now: Instant) -> Option<&Peer> {
        let watching = self.fresh_in_zone(now);
        let watching = watching.filter(|peer| peer.heartbeat.watches_store);
        let first = watching.min_by_key(|peer| peer.role_rank())?;
        (first.role_rank() < self.own_role_rank()).then_some(first)
    }

    /// Returns the purpose of this VM's watches: the first zone by name, among those with fresh
    /// heartbeats, notices interruptions for the fleet.
    pub fn watch_purpose(&self, now: Instant) -> WatchPurpose {
        let mut fresh = self.other_zones().filter(|peer| self.is_fresh(peer, now));
        match fresh.any(|peer| peer.heartbeat.availability_zone < *self.zone()) {
            true => WatchPurpose::Zone {
                other_zones: self.fresh_zones(now) as u32,
            },
            false => WatchPurpose::Fleet,
        }
    }

    /// Returns the addresses of the hubs of the zone, without this VM.
    fn hub_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let mut ranked: Vec<_> = self
            .fresh_in_zone(now)
            .map(|peer| (peer.role_rank(), peer.heartbeat.address))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(HUBS);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns whether this VM is one of the hubs of its zone.
    pub fn is_hub(&self, now: Instant) -> bool {
        let own_rank = self.own_role_rank();
        let before = self
            .fresh_in_zone(now)
            .filter(|peer| peer.role_rank() < own_rank);
        before.take(HUBS).count() < HUBS
    }
}

/// Returns how long a peer counts as alive after a heartbeat, if the next one is due after
/// `next_in`: two of them may be lost or late.
pub(super) fn freshness(base: Duration, next_in: Duration) -> Duration {
    const DELAY_MAX: Duration = Duration::from_millis(600);
    base.max(next_in * 2 + DELAY_MAX)
}

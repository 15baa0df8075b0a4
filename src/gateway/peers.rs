//! State of the other VMs, learned from their heartbeats.
//!
//! VMs of one availability zone send heartbeats to each other directly. One of them, the zone
//! representative, sends the sums of its zone to the other zones and to its own VMs, and forwards
//! the sums of other zones within its own. So the traffic does not grow with the square of the
//! number of VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::heartbeat::{Heartbeat, HeartbeatScope};
use super::zone_roles::{RoleRank, freshness, hash_rank, role_rank};
use crate::clock::Instant;
use crate::ids::{AvailabilityZoneId, Incarnation, VmId};

/// Timeouts of [`Peers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeersSettings {
    /// Age up to which a peer's heartbeat is used, at least.
    pub freshness_timeout: Duration,
    /// Time without heartbeats after which a peer is removed.
    pub removal_timeout: Duration,
    /// Time without heartbeats of a zone's representative after which another one is accepted.
    pub representative_timeout: Duration,
    /// Time after its start in which a VM learns of the others of its zone.
    pub start_timeout: Duration,
    /// Share of a core that this VM provides, in percent.
    pub own_cpu_percent: u8,
}

impl Default for PeersSettings {
    fn default() -> Self {
        Self {
            // Five heartbeat intervals, so that a few lost heartbeats have no effect.
            freshness_timeout: Duration::from_millis(1_000),
            // Longer than the network partitions after which VMs are expected to return.
            removal_timeout: Duration::from_secs(30),
            representative_timeout: Duration::from_millis(300),
            // The first two heartbeats, which all VMs of the zone receive.
            start_timeout: Duration::from_millis(400),
            own_cpu_percent: 100,
        }
    }
}

/// Peer with its last heartbeat.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Last heartbeat.
    pub heartbeat: Heartbeat,
    /// Time at which it was received.
    pub received_at: Instant,
    role_rank: RoleRank,
}

impl Peer {
    fn new(heartbeat: Heartbeat, received_at: Instant) -> Self {
        Self {
            role_rank: role_rank(&heartbeat.vm, heartbeat.cpu_percent),
            heartbeat,
            received_at,
        }
    }

    /// Returns the rank for roles that need capacity.
    pub(super) fn role_rank(&self) -> RoleRank {
        self.role_rank
    }
}

/// Peers known to this VM.
#[derive(Debug, Default)]
pub struct Peers {
    settings: PeersSettings,
    own_vm: VmId,
    zone: AvailabilityZoneId,
    /// VMs of this zone.
    pub(super) vms: HashMap<VmId, Peer>,
    /// Last heartbeats of the representatives of other zones.
    pub(super) zone_representatives: HashMap<AvailabilityZoneId, Peer>,
    /// Last sums of this zone, from its representative.
    zone_sum: Option<Peer>,
    /// Time until which this VM may not know all VMs of its zone.
    incomplete_until: Instant,
    /// Time at which this VM began to shut down.
    stopping_since: Option<Instant>,
    pub(super) addresses: HashMap<SocketAddr, KnownAddress>,
}

#[derive(Debug)]
pub(super) struct KnownAddress {
    pub(super) zone: AvailabilityZoneId,
    added_at: Instant,
}

impl Peers {
    /// Creates the state of a VM that has received no heartbeats.
    pub fn new(settings: PeersSettings, own_vm: VmId, zone: AvailabilityZoneId) -> Self {
        Self {
            settings,
            own_vm,
            zone,
            ..Self::default()
        }
    }

    /// Records that this VM starts and needs some heartbeat intervals to learn of its zone.
    pub fn record_start(&mut self, now: Instant) {
        self.incomplete_until = now + self.settings.start_timeout;
    }

    /// Records that this VM shuts down, so that it ranks after all others from now on.
    pub fn record_stop(&mut self, now: Instant) {
        self.stopping_since = Some(now);
    }

    /// Returns the share of a core that this VM offers for roles in its zone, in percent.
    pub fn own_cpu_percent(&self) -> u8 {
        match self.stopping_since {
            Some(_) => 0,
            None => self.settings.own_cpu_percent,
        }
    }

    /// Records a heartbeat; returns whether it is newer than the recorded one.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        if heartbeat.vm == self.own_vm {
            return false;
        }
        self.add_address(heartbeat.address, heartbeat.availability_zone.clone(), now);
        let is_sum = matches!(heartbeat.scope, HeartbeatScope::Zone { .. });
        for (address, zone) in &heartbeat.known_vms {
            // The representative of a zone names VMs that it hears.
            if is_sum || !self.addresses.contains_key(address) {
                self.add_address(*address, zone.clone(), now);
            }
        }
        let is_own_zone = heartbeat.availability_zone == self.zone;
        match heartbeat.scope {
            HeartbeatScope::Vm if is_own_zone => self.record_vm_heartbeat(heartbeat, now),
            HeartbeatScope::Zone { .. } if !is_own_zone => {
                self.record_zone_heartbeat(heartbeat, now)
            }
            HeartbeatScope::Zone { .. } => self.record_zone_sum(heartbeat, now),
            // From a VM of another zone only the address is used.
            HeartbeatScope::Vm => false,
        }
    }

    fn record_vm_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let order = (heartbeat.incarnation, heartbeat.sequence);
        let known = self.vms.get(&heartbeat.vm);
        if known.is_some_and(|peer| (peer.heartbeat.incarnation, peer.heartbeat.sequence) >= order)
        {
            return false;
        }
        if heartbeat.is_leaving {
            self.vms.remove(&heartbeat.vm);
            self.addresses.remove(&heartbeat.address);
            return true;
        }
        let peer = Peer::new(heartbeat, now);
        self.vms.insert(peer.heartbeat.vm.clone(), peer);
        true
    }

    fn record_zone_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let known = self.zone_representatives.get(&heartbeat.availability_zone);
        let is_old = known.is_some_and(|known| self.is_old_sum(known, &heartbeat, now));
        if !is_old {
            let peer = Peer::new(heartbeat, now);
            let zone = peer.heartbeat.availability_zone.clone();
            self.zone_representatives.insert(zone, peer);
        }
        !is_old
    }

    fn record_zone_sum(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let known = self.zone_sum.as_ref();
        if known.is_some_and(|known| self.is_old_sum(known, &heartbeat, now)) {
            return false;
        }
        if let Some(peer) = self.vms.get_mut(&heartbeat.vm) {
            peer.received_at = now;
            peer.heartbeat.watches_store = heartbeat.watches_store;
        }
        self.zone_sum = Some(Peer::new(heartbeat, now));
        true
    }

    fn is_old_sum(&self, known: &Peer, heartbeat: &Heartbeat, now: Instant) -> bool {
        let is_same_process = known.heartbeat.vm == heartbeat.vm
            && known.heartbeat.incarnation == heartbeat.incarnation;
        match is_same_process {
            true => known.heartbeat.sequence >= heartbeat.sequence,
            // Two representatives overlap only briefly; the first one remains accepted.
            false => now.saturating_sub(known.received_at) < self.settings.representative_timeout,
        }
    }

    /// Returns whether this VM has heard a process of its zone.
    pub fn knows_process(&self, vm: &str, incarnation: Incarnation) -> bool {
        let known = self.vms.get(vm);
        known.is_some_and(|peer| peer.heartbeat.incarnation == incarnation)
    }

    /// Returns whether this VM began to shut down so recently that its zone may not know.
    pub(super) fn has_just_stopped(&self, now: Instant) -> bool {
        self.stopping_since
            .is_some_and(|since| now < since + self.settings.start_timeout)
    }

    /// Returns whether this VM has run for long enough to know its zone.
    pub fn is_complete(&self, now: Instant) -> bool {
        now >= self.incomplete_until
    }

    /// Returns whether a heartbeat of this zone contains changes that the other zones should
    /// receive immediately: engines that take part in a weight rollout, or have loaded weights.
    pub fn is_urgent(&self, heartbeat: &Heartbeat) -> bool {
        let is_own_zone =
            heartbeat.availability_zone == self.zone && heartbeat.scope == HeartbeatScope::Vm;
        let previous = self.vms.get(&heartbeat.vm);
        let is_changed = previous.map_or(!heartbeat.engines_in_rollout.is_empty(), |peer| {
            peer.heartbeat.engines_in_rollout != heartbeat.engines_in_rollout
                || peer.heartbeat.unlisted_weights != heartbeat.unlisted_weights
        });
        is_own_zone && is_changed
    }

    /// Adds an address at which a VM may run.
    pub fn add_address(&mut self, address: SocketAddr, zone: AvailabilityZoneId, now: Instant) {
        self.addresses.insert(
            address,
            KnownAddress {
                zone,
                added_at: now,
            },
        );
    }

    /// Removes peers and addresses that have not been renewed within the removal timeout.
    pub fn sweep(&mut self, now: Instant) {
        let removal_timeout = self.settings.removal_timeout;
        let is_kept = |at: Instant| now.saturating_sub(at) < removal_timeout;
        self.vms.retain(|_, peer| is_kept(peer.received_at));
        self.zone_representatives
            .retain(|_, peer| is_kept(peer.received_at));
        self.addresses.retain(|_, listed| is_kept(listed.added_at));
    }

    /// Returns the VMs of this zone and the representatives of all zones with fresh heartbeats.
    pub fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let representatives = self.zone_representatives.values().chain(&self.zone_sum);
        let all = self.vms.values().chain(representatives);
        all.filter(move |peer| self.is_fresh(peer, now))
    }

    /// Returns the sums of this zone while they are recent; `None` at its representative, which
    /// receives every heartbeat itself.
    pub fn recent_zone_sum(&self, now: Instant) -> Option<&Peer> {
        let is_recent = |peer: &&Peer| {
            now.saturating_sub(peer.received_at) <= self.settings.representative_timeout * 2
        };
        let sum = self.zone_sum.as_ref().filter(is_recent)?;
        (!self.is_zone_representative(now)).then_some(sum)
    }

    /// Returns the VMs of this zone with fresh heartbeats.
    pub fn fresh_in_zone(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.vms
            .values()
            .filter(move |peer| self.is_fresh(peer, now))
    }

    /// Returns the number of VMs of this zone without fresh heartbeats.
    pub fn stale_in_zone(&self, now: Instant) -> usize {
        self.vms
            .values()
            .filter(|peer| !self.is_fresh(peer, now))
            .count()
    }

    /// Returns the number of other zones with fresh heartbeats.
    pub fn fresh_zones(&self, now: Instant) -> usize {
        self.zone_representatives
            .values()
            .filter(|peer| self.is_fresh(peer, now))
            .count()
    }

    /// Returns the zone of this VM.
    pub(super) fn zone(&self) -> &AvailabilityZoneId {
        &self.zone
    }

    /// Returns the representatives of the other zones.
    pub fn other_zones(&self) -> impl Iterator<Item = &Peer> {
        self.zone_representatives.values()
    }

    /// Returns the number of known addresses in other zones from which no heartbeat has arrived.
    pub fn unheard_vms(&self) -> usize {
        let listed = self.addresses.values();
        let is_unheard = |listed: &&KnownAddress| {
            listed.zone != self.zone && !self.zone_representatives.contains_key(&listed.zone)
        };
        listed.filter(is_unheard).count()
    }

    /// Returns whether a peer's heartbeat is fresh.
    pub fn is_fresh(&self, peer: &Peer, now: Instant) -> bool {
        let next_in = Duration::from_millis(peer.heartbeat.next_in_ms.into());
        now.saturating_sub(peer.received_at) <= freshness(self.settings.freshness_timeout, next_in)
    }

    /// Returns the number of VMs of the fleet, including this one.
    pub fn fleet_size(&self) -> usize {
        let zones: usize = self
            .zone_representatives
            .values()
            .map(|peer| peer.heartbeat.vms() + peer.heartbeat.silent_vms())
            .sum();
        1 + self.vms.len() + zones + self.unheard_vms()
    }

    pub(super) fn own_role_rank(&self) -> RoleRank {
        role_rank(&self.own_vm, self.own_cpu_percent())
    }

    /// Returns the VM of this zone that keeps a customer's account; `None` if it is this VM.
    pub fn account_owner(&self, customer: &str, now: Instant) -> Option<&Peer> {
        let others = self.fresh_in_zone(now);
        let first = others.min_by_key(|peer| hash_rank(&peer.heartbeat.vm, customer))?;
        (hash_rank(&first.heartbeat.vm, customer) < hash_rank(&self.own_vm, customer))
            .then_some(first)
    }
}

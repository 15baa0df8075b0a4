//! State of the other VMs, learned from their heartbeats.
//!
//! VMs of one availability zone send heartbeats to each other directly. One of them, the zone
//! representative, sends the sums of its zone to the other zones, and a VM that receives such a
//! heartbeat forwards it within its own zone. So the traffic between zones does not grow with the
//! square of the number of VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::heartbeat::{Heartbeat, HeartbeatScope, NameHash};
use crate::clock::Instant;
use crate::ids::{AvailabilityZoneId, VmId};

/// Timeouts of [`Peers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeersSettings {
    /// Age up to which a peer's heartbeat is used.
    pub freshness_timeout: Duration,
    /// Time without heartbeats after which a peer is removed.
    pub removal_timeout: Duration,
    /// Time without heartbeats of a zone's representative after which another one is accepted.
    pub representative_timeout: Duration,
}

impl Default for PeersSettings {
    fn default() -> Self {
        Self {
            // Five heartbeat intervals, so that a few lost heartbeats have no effect.
            freshness_timeout: Duration::from_millis(1_000),
            // Longer than the network partitions after which VMs are expected to return.
            removal_timeout: Duration::from_secs(30),
            representative_timeout: Duration::from_millis(300),
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
}

/// Peers known to this VM.
#[derive(Debug, Default)]
pub struct Peers {
    settings: PeersSettings,
    own_vm: VmId,
    zone: AvailabilityZoneId,
    /// VMs of this zone.
    vms: HashMap<VmId, Peer>,
    /// Last heartbeats of the representatives of other zones.
    zone_representatives: HashMap<AvailabilityZoneId, Peer>,
    addresses: HashMap<SocketAddr, ListedAddress>,
}

#[derive(Debug)]
struct ListedAddress {
    zone: AvailabilityZoneId,
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

    /// Records a heartbeat; returns whether it is newer than the recorded one.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        if heartbeat.vm == self.own_vm {
            return false;
        }
        self.add_address(heartbeat.address, heartbeat.availability_zone.clone(), now);
        for (address, zone) in &heartbeat.known_vms {
            self.addresses
                .entry(*address)
                .or_insert_with(|| ListedAddress {
                    zone: zone.clone(),
                    added_at: now,
                });
        }
        let is_own_zone = heartbeat.availability_zone == self.zone;
        match heartbeat.scope {
            HeartbeatScope::Vm if is_own_zone => self.record_vm_heartbeat(heartbeat, now),
            HeartbeatScope::Zone { .. } if !is_own_zone => {
                self.record_zone_heartbeat(heartbeat, now)
            }
            // From a VM of another zone only the address is used.
            HeartbeatScope::Vm | HeartbeatScope::Zone { .. } => false,
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
        let peer = Peer {
            received_at: now,
            heartbeat,
        };
        self.vms.insert(peer.heartbeat.vm.clone(), peer);
        true
    }

    fn record_zone_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let known = self.zone_representatives.get(&heartbeat.availability_zone);
        let is_old = known.is_some_and(|peer| {
            let is_same = peer.heartbeat.vm == heartbeat.vm
                && peer.heartbeat.incarnation == heartbeat.incarnation;
            match is_same {
                true => peer.heartbeat.sequence >= heartbeat.sequence,
                // Two representatives overlap only briefly; the first one remains accepted.
                false => {
                    now.saturating_sub(peer.received_at) < self.settings.representative_timeout
                }
            }
        });
        if !is_old {
            let peer = Peer {
                received_at: now,
                heartbeat,
            };
            let zone = peer.heartbeat.availability_zone.clone();
            self.zone_representatives.insert(zone, peer);
        }
        !is_old
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
            ListedAddress {
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

    /// Returns the addresses of the other VMs of this zone.
    pub fn zone_addresses(&self, own_address: SocketAddr) -> Vec<SocketAddr> {
        let known = self.vms.values().map(|peer| peer.heartbeat.address);
        let listed = self
            .addresses
            .iter()
            .filter(|(_, listed)| listed.zone == self.zone);
        let mut addresses: Vec<_> = known.chain(listed.map(|(address, _)| *address)).collect();
        addresses.retain(|address| *address != own_address);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the addresses that receive this zone's heartbeat: for each other zone its
    /// representative and one VM, chosen by `selector` modulo the number of VMs.
    ///
    /// The additional VM keeps the zone reachable after its representative has changed.
    pub fn other_zone_addresses(&self, selector: usize) -> Vec<SocketAddr> {
        let mut zones: Vec<&AvailabilityZoneId> =
            self.addresses.values().map(|listed| &listed.zone).collect();
        zones.extend(self.zone_representatives.keys());
        zones.retain(|zone| **zone != self.zone);
        zones.sort_unstable();
        zones.dedup();
        let addresses = zones.into_iter().flat_map(|zone| {
            let representative = self
                .zone_representatives
                .get(zone)
                .map(|peer| peer.heartbeat.address);
            let listed = self
                .addresses
                .iter()
                .filter(|(_, listed)| listed.zone == *zone);
            let mut members: Vec<_> = listed.map(|(address, _)| *address).collect();
            members.sort_unstable();
            let selected = match members.len() {
                0 => None,
                len => Some(members[selector % len]),
            };
            let selected = selected.filter(|selected| Some(*selected) != representative);
            representative.into_iter().chain(selected)
        });
        addresses.collect()
    }

    /// Returns up to `max` known VM addresses with their zones.
    pub fn known_addresses(&self, max: usize) -> Vec<(SocketAddr, AvailabilityZoneId)> {
        let listed = self.addresses.iter().take(max);
        listed
            .map(|(address, listed)| (*address, listed.zone.clone()))
            .collect()
    }

    /// Returns the VMs of this zone and the representatives of other zones with fresh heartbeats.
    pub fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let all = self.vms.values().chain(self.zone_representatives.values());
        all.filter(move |peer| self.is_fresh(peer, now))
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

    /// Returns the representatives of the other zones.
    pub fn other_zones(&self) -> impl Iterator<Item = &Peer> {
        self.zone_representatives.values()
    }

    /// Returns the number of known addresses in other zones from which no heartbeat has arrived.
    pub fn unheard_vms(&self) -> usize {
        let listed = self.addresses.values();
        let is_unheard = |listed: &&ListedAddress| {
            listed.zone != self.zone && !self.zone_representatives.contains_key(&listed.zone)
        };
        listed.filter(is_unheard).count()
    }

    /// Returns whether a peer's heartbeat is fresh.
    pub fn is_fresh(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_sub(peer.received_at) <= self.settings.freshness_timeout
    }

    /// Returns the number of VMs of the fleet, including this one.
    pub fn fleet_size(&self) -> usize {
        let zones: usize = self
            .zone_representatives
            .values()
            .map(|peer| peer.heartbeat.vms())
            .sum();
        1 + self.vms.len() + zones + self.unheard_vms()
    }

    /// Returns whether this VM is the representative of its zone.
    pub fn is_zone_representative(&self, now: Instant) -> bool {
        self.first_in_zone(self.own_vm.as_str(), now, |_| true)
            .is_none()
    }

    /// Returns the VM of this zone through which this VM watches the store; `None` if it watches
    /// the store directly.
    pub fn store_relay(&self, now: Instant) -> Option<&Peer> {
        self.first_in_zone("", now, |peer| peer.heartbeat.follows_store)
            .filter(|peer| rank(&peer.heartbeat.vm, "") < rank(&self.own_vm, ""))
    }

    /// Returns the VM of this zone that keeps a customer's account; `None` if it is this VM.
    pub fn account_owner(&self, customer: &str, now: Instant) -> Option<&Peer> {
        let others = self.fresh_in_zone(now);
        let first = others.min_by_key(|peer| rank(&peer.heartbeat.vm, customer))?;
        (rank(&first.heartbeat.vm, customer) < rank(&self.own_vm, customer)).then_some(first)
    }

    /// Returns whether the lease holder has reported that an engine takes part in a rollout.
    pub fn is_in_rollout(&self, engine: NameHash, now: Instant) -> bool {
        self.fresh_peers(now)
            .any(|peer| peer.heartbeat.engines_in_rollout.contains(&engine))
    }

    /// Returns the first VM of this zone by rank among those that are eligible; `None` if `own_vm`
    /// is not empty and ranks before it.
    fn first_in_zone(
        &self,
        own_vm: &str,
        now: Instant,
        is_eligible: impl Fn(&Peer) -> bool,
    ) -> Option<&Peer> {
        let eligible = self.fresh_in_zone(now).filter(|peer| is_eligible(peer));
        let first = eligible.min_by_key(|peer| rank(&peer.heartbeat.vm, ""))?;
        (own_vm.is_empty() || rank(&first.heartbeat.vm, "") < rank(own_vm, "")).then_some(first)
    }
}

/// Returns the rank of a VM for a purpose, in an order on which all VMs agree.
fn rank(vm: &str, purpose: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), xxh3_64(purpose.as_bytes()))
}

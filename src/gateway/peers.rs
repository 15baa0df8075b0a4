//! What a VM knows of the others from their beats.
//!
//! VMs of one availability zone tell each other directly. One of them, the speaker, tells the other zones the sums of its zone, and
//! whoever hears another zone's speaker passes that on within its own. So the bytes between zones
//! do not grow with the square of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::heartbeat::{Heartbeat, HeartbeatScope, NameHash};
use crate::clock::Instant;
use crate::ids::{AvailabilityZoneId, VmId};

/// Times of [`Peers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeersSettings {
    /// Age up to which a peer's sums are used.
    pub fresh: Duration,
    /// Silence after which a peer counts as gone.
    pub gone: Duration,
    /// Silence of a zone's speaker after which another one is heard.
    pub speaker_change: Duration,
}

impl Default for PeersSettings {
    fn default() -> Self {
        Self {
            // Five beats, so that a few lost ones do not matter.
            fresh: Duration::from_millis(1_000),
            // Longer than the cuts after which VMs are expected back.
            gone: Duration::from_secs(30),
            speaker_change: Duration::from_millis(300),
        }
    }
}

/// Peer as it was heard last.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What it said.
    pub heartbeat: Heartbeat,
    /// When.
    pub heard_at: Instant,
}

/// What this VM knows of its peers.
#[derive(Debug, Default)]
pub struct Peers {
    settings: PeersSettings,
    me: VmId,
    zone: AvailabilityZoneId,
    /// VMs of this zone.
    vms: HashMap<VmId, Peer>,
    /// Other zones, as their speakers told.
    zones: HashMap<AvailabilityZoneId, Peer>,
    listed: HashMap<SocketAddr, Listed>,
}

#[derive(Debug)]
struct Listed {
    zone: AvailabilityZoneId,
    at: Instant,
}

impl Peers {
    /// Creates the knowledge of a VM that has heard nobody.
    pub fn new(settings: PeersSettings, me: VmId, zone: AvailabilityZoneId) -> Self {
        Self {
            settings,
            me,
            zone,
            ..Self::default()
        }
    }

    /// Takes a beat; returns whether it is news.
    pub fn hear(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        if heartbeat.vm == self.me {
            return false;
        }
        self.list(heartbeat.address, heartbeat.availability_zone.clone(), now);
        for (address, zone) in &heartbeat.known_vms {
            self.listed.entry(*address).or_insert_with(|| Listed {
                zone: zone.clone(),
                at: now,
            });
        }
        let is_own_zone = heartbeat.availability_zone == self.zone;
        match heartbeat.scope {
            HeartbeatScope::Vm if is_own_zone => self.hear_vm(heartbeat, now),
            HeartbeatScope::Zone { .. } if !is_own_zone => self.hear_zone(heartbeat, now),
            // The beat of a VM elsewhere tells that it is there, and no more.
            HeartbeatScope::Vm | HeartbeatScope::Zone { .. } => false,
        }
    }

    fn hear_vm(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let order = (heartbeat.incarnation, heartbeat.sequence);
        let known = self.vms.get(&heartbeat.vm);
        if known.is_some_and(|peer| (peer.heartbeat.incarnation, peer.heartbeat.sequence) >= order)
        {
            return false;
        }
        if heartbeat.is_leaving {
            self.vms.remove(&heartbeat.vm);
            self.listed.remove(&heartbeat.address);
            return true;
        }
        let peer = Peer {
            heard_at: now,
            heartbeat,
        };
        self.vms.insert(peer.heartbeat.vm.clone(), peer);
        true
    }

    fn hear_zone(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        let known = self.zones.get(&heartbeat.availability_zone);
        let is_old = known.is_some_and(|peer| {
            let is_same = peer.heartbeat.vm == heartbeat.vm
                && peer.heartbeat.incarnation == heartbeat.incarnation;
            match is_same {
                true => peer.heartbeat.sequence >= heartbeat.sequence,
                // Two speakers overlap for a moment only; the one heard first goes on.
                false => now.saturating_sub(peer.heard_at) < self.settings.speaker_change,
            }
        });
        if !is_old {
            let peer = Peer {
                heard_at: now,
                heartbeat,
            };
            let zone = peer.heartbeat.availability_zone.clone();
            self.zones.insert(zone, peer);
        }
        !is_old
    }

    /// Returns whether a beat of this zone tells what the other zones should hear at once: engines
    /// that load weights, or have loaded them.
    pub fn is_urgent(&self, heartbeat: &Heartbeat) -> bool {
        let is_own_zone =
            heartbeat.availability_zone == self.zone && heartbeat.scope == HeartbeatScope::Vm;
        let before = self.vms.get(&heartbeat.vm);
        let is_news = before.map_or(!heartbeat.engines_in_rollout.is_empty(), |peer| {
            peer.heartbeat.engines_in_rollout != heartbeat.engines_in_rollout
                || peer.heartbeat.unlisted_weights != heartbeat.unlisted_weights
        });
        is_own_zone && is_news
    }

    /// Notes an address at which a VM may be.
    pub fn list(&mut self, address: SocketAddr, zone: AvailabilityZoneId, now: Instant) {
        self.listed.insert(address, Listed { zone, at: now });
    }

    /// Forgets peers that have been silent for long.
    pub fn sweep(&mut self, now: Instant) {
        let gone = self.settings.gone;
        let is_there = |at: Instant| now.saturating_sub(at) < gone;
        self.vms.retain(|_, peer| is_there(peer.heard_at));
        self.zones.retain(|_, peer| is_there(peer.heard_at));
        self.listed.retain(|_, listed| is_there(listed.at));
    }

    /// Returns the addresses of the VMs of this zone.
    pub fn in_zone(&self, me: SocketAddr) -> Vec<SocketAddr> {
        let heard = self.vms.values().map(|peer| peer.heartbeat.address);
        let listed = self
            .listed
            .iter()
            .filter(|(_, listed)| listed.zone == self.zone);
        let mut addresses: Vec<_> = heard.chain(listed.map(|(address, _)| *address)).collect();
        addresses.retain(|address| *address != me);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns where to tell another zone: its speaker, and a VM drawn by a number.
    ///
    /// The drawn one finds the zone again when its speaker has changed.
    pub fn contacts(&self, drawn: usize) -> Vec<SocketAddr> {
        let mut zones: Vec<&AvailabilityZoneId> =
            self.listed.values().map(|listed| &listed.zone).collect();
        zones.extend(self.zones.keys());
        zones.retain(|zone| **zone != self.zone);
        zones.sort_unstable();
        zones.dedup();
        let contacts = zones.into_iter().flat_map(|zone| {
            let speaker = self.zones.get(zone).map(|peer| peer.heartbeat.address);
            let listed = self
                .listed
                .iter()
                .filter(|(_, listed)| listed.zone == *zone);
            let mut members: Vec<_> = listed.map(|(address, _)| *address).collect();
            members.sort_unstable();
            let drawn = match members.len() {
                0 => None,
                len => Some(members[drawn % len]),
            };
            let drawn = drawn.filter(|drawn| Some(*drawn) != speaker);
            speaker.into_iter().chain(drawn)
        });
        contacts.collect()
    }

    /// Returns the VMs known, with their zones.
    pub fn known(&self, max: usize) -> Vec<(SocketAddr, AvailabilityZoneId)> {
        let listed = self.listed.iter().take(max);
        listed
            .map(|(address, listed)| (*address, listed.zone.clone()))
            .collect()
    }

    /// Returns the VMs of this zone and the other zones whose sums may be used.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let all = self.vms.values().chain(self.zones.values());
        all.filter(move |peer| self.is_fresh(peer, now))
    }

    /// Returns the VMs of this zone whose sums may be used.
    pub fn fresh_in_zone(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.vms
            .values()
            .filter(move |peer| self.is_fresh(peer, now))
    }

    /// Returns the VMs of this zone that were not heard for a moment.
    pub fn silent_in_zone(&self, now: Instant) -> usize {
        self.vms
            .values()
            .filter(|peer| !self.is_fresh(peer, now))
            .count()
    }

    /// Returns the number of other zones that were heard a moment ago.
    pub fn fresh_zones(&self, now: Instant) -> usize {
        self.zones
            .values()
            .filter(|peer| self.is_fresh(peer, now))
            .count()
    }

    /// Returns the other zones.
    pub fn zones(&self) -> impl Iterator<Item = &Peer> {
        self.zones.values()
    }

    /// Returns the number of VMs in zones that are listed but were never heard.
    pub fn unheard(&self) -> usize {
        let listed = self.listed.values();
        let is_unheard =
            |listed: &&Listed| listed.zone != self.zone && !self.zones.contains_key(&listed.zone);
        listed.filter(is_unheard).count()
    }

    /// Returns whether a peer's sums may be used.
    pub fn is_fresh(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_sub(peer.heard_at) <= self.settings.fresh
    }

    /// Returns the VMs that the fleet counts, this one included.
    pub fn fleet_size(&self) -> usize {
        let zones: usize = self.zones.values().map(|peer| peer.heartbeat.vms()).sum();
        1 + self.vms.len() + zones + self.unheard()
    }

    /// Returns whether this VM speaks for its zone.
    pub fn is_speaker(&self, now: Instant) -> bool {
        self.first_in_zone(self.me.as_str(), now, |_| true)
            .is_none()
    }

    /// Returns the VM of this zone through which the store is followed; nothing where this VM
    /// follows it itself.
    pub fn relay(&self, now: Instant) -> Option<&Peer> {
        self.first_in_zone("", now, |peer| peer.heartbeat.follows_store)
            .filter(|peer| rank(&peer.heartbeat.vm, "") < rank(&self.me, ""))
    }

    /// Returns the VM of this zone that keeps the account of a customer; nothing where it is this.
    pub fn account_keeper(&self, customer: &str, now: Instant) -> Option<&Peer> {
        let others = self.fresh_in_zone(now);
        let first = others.min_by_key(|peer| rank(&peer.heartbeat.vm, customer))?;
        (rank(&first.heartbeat.vm, customer) < rank(&self.me, customer)).then_some(first)
    }

    /// Returns whether a holder of the lease said that an engine loads weights or is about to.
    pub fn is_rolling(&self, engine: NameHash, now: Instant) -> bool {
        self.fresh(now)
            .any(|peer| peer.heartbeat.engines_in_rollout.contains(&engine))
    }

    /// Returns the first VM of this zone by rank, where that is another than `me`.
    fn first_in_zone(
        &self,
        me: &str,
        now: Instant,
        is_fit: impl Fn(&Peer) -> bool,
    ) -> Option<&Peer> {
        let fit = self.fresh_in_zone(now).filter(|peer| is_fit(peer));
        let first = fit.min_by_key(|peer| rank(&peer.heartbeat.vm, ""))?;
        (me.is_empty() || rank(&first.heartbeat.vm, "") < rank(me, "")).then_some(first)
    }
}

/// Returns the place of a VM in an order that all VMs agree on.
fn rank(vm: &str, purpose: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), xxh3_64(purpose.as_bytes()))
}

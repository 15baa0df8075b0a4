//! Addresses of the VMs that this one knows.

use std::net::SocketAddr;

use super::peers::Peers;
use crate::clock::Instant;
use crate::ids::AvailabilityZoneId;

impl Peers {
    /// Returns the addresses of the other VMs of this zone.
    pub fn zone_addresses(&self, own_address: SocketAddr) -> Vec<SocketAddr> {
        let known = self.vms.values().map(|peer| peer.heartbeat.address);
        let listed = self
            .addresses
            .iter()
            .filter(|(_, listed)| listed.zone == *self.zone());
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
        zones.retain(|zone| *zone != self.zone());
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

    /// Returns one part of the addresses of this zone's VMs that are heard, of `max` addresses; the
    /// parts follow each other without an end.
    pub fn heard_in_zone(
        &self,
        max: usize,
        part: usize,
        now: Instant,
    ) -> Vec<(SocketAddr, AvailabilityZoneId)> {
        let heard = self.fresh_in_zone(now).map(|peer| peer.heartbeat.address);
        let mut heard: Vec<_> = heard.collect();
        heard.sort_unstable();
        let parts = heard.chunks(max);
        let part = parts.clone().nth(part % parts.len().max(1));
        let addresses = part.unwrap_or_default().iter();
        addresses
            .map(|address| (*address, self.zone().clone()))
            .collect()
    }

    /// Returns the addresses of all known VMs, this one included, with their zones.
    pub fn fleet_addresses(
        &self,
        own_address: SocketAddr,
    ) -> impl Iterator<Item = (SocketAddr, AvailabilityZoneId)> {
        let own = std::iter::once((own_address, self.zone().clone()));
        let heard = self.vms.values().map(|peer| {
            let heartbeat = &peer.heartbeat;
            (heartbeat.address, heartbeat.availability_zone.clone())
        });
        let listed = self.addresses.iter();
        let listed = listed.map(|(address, listed)| (*address, listed.zone.clone()));
        own.chain(heard).chain(listed)
    }
}

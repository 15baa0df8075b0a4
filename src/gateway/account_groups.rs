//! Groups of VMs among which the rate of a customer is shared.
//!
//! Load pattern: some VMs are cut off and serve callers with an equal part of the rate each. All
//! others have to leave them these parts, also VMs of other zones, which know of them only through
//! the representative of their zone.

use super::allowance::VmGroup;
use super::name_hash::hash_name;
use super::peers::Peers;
use crate::clock::Instant;

/// VMs that an account represents, and the groups of all other VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountGroups {
    /// Number of VMs that the account represents.
    pub own_vms: usize,
    /// All other VMs.
    pub others: Vec<VmGroup>,
}

impl Peers {
    /// Returns the identifier of a customer in [`super::Heartbeat::demands`].
    pub fn customer_hash(customer: &str) -> u32 {
        hash_name(customer)
    }

    /// Returns the groups for a customer's account at this VM, which represents all connected VMs
    /// of the zone, or only this VM if `is_this_vm_only`.
    pub fn account_groups(
        &self,
        customer: &str,
        is_this_vm_only: bool,
        now: Instant,
    ) -> AccountGroups {
        let name = hash_name(customer);
        let in_zone = self.fresh_in_zone(now).count();
        let silent = self.stale_in_zone(now)
            + self.unheard_vms()
            + self
                .other_zones()
                .map(|peer| peer.heartbeat.silent_vms())
                .sum::<usize>();
        let (own_vms, silent) = match is_this_vm_only {
            true => (1, silent + in_zone),
            false => (1 + in_zone, silent),
        };
        let zones = self.other_zones().map(|peer| VmGroup {
            vms: peer.heartbeat.vms(),
            demand_per_s: self.is_fresh(peer, now).then(|| {
                let demands = &peer.heartbeat.demands;
                let demand = demands.iter().find(|(customer, _)| *customer == name);
                demand.map_or(0.0, |(_, units)| f64::from(*units))
            }),
        });
        let mut others: Vec<VmGroup> = zones.collect();
        others.push(VmGroup {
            vms: silent,
            demand_per_s: None,
        });
        AccountGroups { own_vms, others }
    }
}

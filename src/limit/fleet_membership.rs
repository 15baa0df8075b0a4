//! [`FleetView`] of the limiter over the fleet's membership.

use futures_util::future::BoxFuture;

use super::Candidate;
use super::interfaces::FleetView;
use super::wire::Process;
use crate::clock::Instant;
use crate::ids::AvailabilityZoneId;
use crate::membership::{self, Member};
use crate::settings::ProcessSettings;

/// [`FleetView`] over the fleet's membership of leases and witnesses.
#[derive(Debug, Clone)]
pub struct FleetMembership {
    membership: membership::Membership,
    vm: String,
    availability_zone: AvailabilityZoneId,
}

impl FleetMembership {
    /// Creates the view of the VM that `process` describes.
    pub fn new(membership: membership::Membership, process: &ProcessSettings) -> Self {
        Self {
            membership,
            vm: process.vm.clone(),
            availability_zone: process.availability_zone.clone(),
        }
    }

    /// Returns whether a process is fenced and may never spend from its shares again.
    ///
    /// A valid lease on this VM's own record proves that its earlier incarnations have ended.
    fn is_fenced(&self, process: &Process) -> bool {
        if process.vm == self.vm {
            return process.incarnation != self.membership.incarnation()
                && self.membership.valid_until().is_some();
        }
        let record = self.membership.record(&process.vm);
        record.is_some_and(|record| record.is_reclaimable(process.incarnation))
    }
}

impl FleetView for FleetMembership {
    fn own_process(&self) -> Process {
        Process {
            vm: self.vm.clone(),
            incarnation: self.membership.incarnation(),
        }
    }

    fn valid_until(&self) -> Option<Instant> {
        self.membership.valid_until()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let own_process = Candidate {
            process: self.own_process(),
            availability_zone: self.availability_zone.clone(),
        };
        let is_fit = |member: &Member| !member.is_unresponsive && !member.peer.is_leaving;
        let others = self.membership.members().into_iter().filter(is_fit);
        let others = others.map(|member| Candidate {
            process: Process {
                vm: member.peer.vm,
                incarnation: member.peer.incarnation,
            },
            availability_zone: member.peer.availability_zone,
        });
        std::iter::once(own_process).chain(others).collect()
    }

    fn fenced(&self, processes: &[Process]) -> Vec<Process> {
        let fenced = processes.iter().filter(|process| self.is_fenced(process));
        fenced.cloned().collect()
    }

    fn changed(&self) -> BoxFuture<'static, ()> {
        let membership = self.membership.clone();
        Box::pin(async move { membership.changed().await })
    }
}

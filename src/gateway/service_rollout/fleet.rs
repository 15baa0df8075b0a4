//! What the holder of the lease knows of an order from the reports of the VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::counts::RolloutReport;
use crate::clock::Instant;
use crate::ids::{Incarnation, VmId};

/// Latest report of each VM incarnation. Reports are cumulative and replace older ones.
#[derive(Debug, Default)]
pub struct FleetCounts {
    vms: BTreeMap<(VmId, Incarnation), VmCounts>,
    members: Vec<(VmId, Incarnation)>,
}

#[derive(Debug)]
struct VmCounts {
    report: RolloutReport,
    received_at: Instant,
}

impl FleetCounts {
    /// Creates counts without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report; returns whether it is newer than the VM's last one.
    pub fn record(&mut self, report: RolloutReport, now: Instant) -> bool {
        let key = (report.vm.clone(), report.incarnation);
        let last = self.vms.get(&key);
        if last.is_some_and(|last| last.report.seen_for_ms >= report.seen_for_ms) {
            return false;
        }
        let received_at = now;
        self.vms.insert(
            key,
            VmCounts {
                report,
                received_at,
            },
        );
        true
    }

    /// Sets the VMs that are in contact, as the holder sees them. All of them have to report before
    /// a handover is complete.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (VmId, Incarnation)>) {
        self.members = members.into_iter().collect();
    }

    /// Returns for how long the order has been known to the VM that saw it first.
    pub fn elapsed(&self, now: Instant) -> Duration {
        let elapsed = self.vms.values().map(|vm| {
            let seen_for = Duration::from_millis(u64::from(vm.report.seen_for_ms));
            seen_for + now.saturating_sub(vm.received_at)
        });
        elapsed.max().unwrap_or_default()
    }

    /// Returns the number of requests sent for the service, to either version.
    pub fn sent(&self) -> u64 {
        let reports = self.vms.values().map(|vm| &vm.report);
        reports.map(|report| u64::from(report.sent)).sum()
    }

    /// Returns the number of requests sent to the target.
    pub fn sent_to_target(&self) -> u64 {
        let routes = self.vms.values().flat_map(|vm| &vm.report.routes);
        let target = routes.flat_map(|route| &route.target);
        target.map(|target| u64::from(target.counts.sent)).sum()
    }
}

//! Detection of VMs that stop sending heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::record::VmRecord;
use super::timing::Timing;
use crate::clock::Instant;
use crate::ids::VmId;

/// VMs monitored at most.
const MONITORED_VMS_MAX: usize = 4_096;

#[derive(Debug, Clone)]
struct MonitoredVm {
    suspect_at: Instant,
    rank: u32,
}

/// Monitors the VMs that this VM is a witness of and those without witnesses; performs no I/O.
///
/// The witnesses of a VM suspect it one after the other, by their rank in its record, so that
/// ordinarily only one of them starts to fence it.
#[derive(Debug, Clone)]
pub(super) struct FailureDetector {
    timing: Timing,
    own_vm: VmId,
    own_address: Option<SocketAddr>,
    monitored: BTreeMap<VmId, MonitoredVm>,
}

impl FailureDetector {
    pub(super) fn new(timing: Timing, own_vm: VmId, own_address: Option<SocketAddr>) -> Self {
        Self {
            timing,
            own_vm,
            own_address,
            monitored: BTreeMap::new(),
        }
    }

    /// Sets the address that the peer listener has bound.
    pub(super) fn set_peer_address(&mut self, peer_address: SocketAddr) {
        self.own_address = Some(peer_address);
    }

    /// Records a heartbeat that requests a lease confirmation from this VM.
    pub(super) fn heartbeat_received(&mut self, now: Instant, vm: &VmId) {
        if self.monitored.len() >= MONITORED_VMS_MAX && !self.monitored.contains_key(vm) {
            return;
        }
        let monitored_vm = self.monitored.entry(vm.clone()).or_insert(MonitoredVm {
            suspect_at: now,
            rank: 0,
        });
        monitored_vm.suspect_at =
            now + self.timing.suspicion_timeout + self.timing.drift_margin * monitored_vm.rank;
    }

    /// Updates the monitored VMs from the active records, each with the time since which it is
    /// unchanged.
    pub(super) fn apply_records<'a>(
        &mut self,
        now: Instant,
        records: impl Iterator<Item = (&'a VmRecord, Instant)>,
    ) {
        for (record, unchanged_since) in records {
            self.apply_record(now, record, unchanged_since);
        }
    }

    fn apply_record(&mut self, now: Instant, record: &VmRecord, unchanged_since: Instant) {
        if record.vm == self.own_vm {
            return;
        }
        let position = record
            .witnesses
            .iter()
            .position(|witness| Some(witness.peer_address) == self.own_address);
        let is_lease_expired = now >= unchanged_since + self.timing.lease_ttl;
        let rank = match position {
            Some(rank) => u32::try_from(rank).unwrap_or_default(),
            None if record.witnesses.is_empty() && is_lease_expired => 0,
            None => {
                self.monitored.remove(&record.vm);
                return;
            }
        };
        let suspect_at = now + self.timing.suspicion_timeout + self.timing.drift_margin * rank;
        let monitored_vm = self
            .monitored
            .entry(record.vm.clone())
            .or_insert(MonitoredVm { suspect_at, rank });
        monitored_vm.rank = rank;
    }

    /// Returns the VMs whose suspicion timeout has expired.
    pub(super) fn suspects(&self, now: Instant) -> Vec<VmId> {
        let suspected = self
            .monitored
            .iter()
            .filter(|(_, monitored_vm)| now >= monitored_vm.suspect_at);
        suspected.map(|(vm, _)| vm.clone()).collect()
    }

    /// Records that a suspected VM renewed its lease in the store.
    pub(super) fn lease_renewed(&mut self, now: Instant, vm: &VmId) {
        if let Some(monitored_vm) = self.monitored.get_mut(vm) {
            monitored_vm.suspect_at = now + self.timing.lease_ttl;
        }
    }

    /// Stops monitoring a VM.
    pub(super) fn remove(&mut self, vm: &VmId) {
        self.monitored.remove(vm);
    }
}

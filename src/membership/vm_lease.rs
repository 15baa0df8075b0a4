//! Lease of a VM on its own record, extended by the store or by its witnesses.

use std::net::SocketAddr;

use super::record::{RecordObject, RecordState, RecordWriteOutcome, VmRecord, WitnessId};
use super::reply_times::ReplyTimes;
use super::timing::Timing;
use crate::clock::Instant;
use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};

/// A failed read is retried after the renewal interval divided by this.
const READ_RETRY_DIVISOR: u32 = 4;
/// A failed write is retried after the renewal interval divided by this.
const WRITE_RETRY_DIVISOR: u32 = 2;

/// Identity of a VM, from its settings and the start of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of this process; it increases with each fence.
    pub incarnation: Incarnation,
    /// Address that its peer listener has bound, if it has one.
    pub peer_address: Option<SocketAddr>,
    /// Availability zone in which it runs.
    pub availability_zone: AvailabilityZoneId,
}

/// Store call on the VM's own record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmLeaseAction {
    /// Reads the record.
    Read,
    /// Writes the record, conditional on its version.
    Write {
        /// Version that the stored record must have for the write to apply.
        expected_version: ObjectVersion,
        /// New content of the record.
        record: VmRecord,
    },
}

/// Relation of this process to the VM's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The record must be read.
    Unread,
    /// The record is absent, fenced or of an earlier process at this address; this incarnation may
    /// register.
    Unclaimed,
    /// Another process with the same VM name and another address is recorded.
    HeldByOther,
    /// This incarnation is recorded.
    Registered,
    /// This incarnation has released the record.
    Released,
}

/// Lease of a VM on its own record; performs no I/O.
///
/// The lease is extended by a renewal in the store or by confirmations from a strict majority of
/// the recorded witnesses, each counted from the time before the call was sent. Once it has
/// expired, only the store can renew it: if the record was fenced meanwhile, that write conflicts.
#[derive(Debug, Clone)]
pub struct VmLease {
    timing: Timing,
    identity: VmIdentity,
    phase: Phase,
    target_state: RecordState,
    version: ObjectVersion,
    renewals: u64,
    recorded_witnesses: Vec<WitnessId>,
    /// Witness sets of writes based on `version` that may still be applied.
    unresolved_witnesses: Vec<Vec<WitnessId>>,
    pending_record: Option<VmRecord>,
    is_incarnation_written: bool,
    is_call_pending: bool,
    next_call_at: Instant,
    valid_until: Option<Instant>,
    /// Time until which the latest successful renewal in the store counts as current.
    renewed_until: Option<Instant>,
    confirmations: ReplyTimes,
    fence_count: u64,
}

impl VmLease {
    /// Creates the lease state of a process that has not read the record yet.
    pub fn new(timing: Timing, identity: VmIdentity) -> Self {
        Self {
            timing,
            identity,
            phase: Phase::Unread,
            target_state: RecordState::Active,
            version: 0,
            renewals: 0,
            recorded_witnesses: Vec::new(),
            unresolved_witnesses: Vec::new(),
            pending_record: None,
            is_incarnation_written: false,
            is_call_pending: false,
            next_call_at: Instant::ZERO,
            valid_until: None,
            renewed_until: None,
            confirmations: ReplyTimes::default(),
            fence_count: 0,
        }
    }

    /// Sets the address that the peer listener has bound.
    pub fn set_peer_address(&mut self, peer_address: SocketAddr) {
        self.identity.peer_address = Some(peer_address);
    }

    /// Returns the identity of the VM; its incarnation increases with each fence.
    pub fn identity(&self) -> &VmIdentity {
        &self.identity
    }

    /// Returns when the lease expires, or `None` if the VM holds none.
    ///
    /// A VM without a peer address is a fleet of its own, and its lease never expires.
    pub fn valid_until(&self) -> Option<Instant> {
        match self.identity.peer_address {
            None => Some(Instant::MAX),
            Some(_) => self.valid_until,
        }
    }

    /// Returns how many times the VM found that it had been fenced.
    pub fn fence_count(&self) -> u64 {
        self.fence_count
    }

    /// Returns whether this incarnation is registered in the record.
    pub fn is_registered(&self) -> bool {
        self.phase == Phase::Registered
    }

    /// Returns whether the latest renewal in the store is current, so that confirmations by the
    /// witnesses are not needed.
    pub fn is_store_renewed(&self, now: Instant) -> bool {
        let is_current = self.renewed_until.is_some_and(|until| now < until);
        self.phase == Phase::Registered && is_current
    }

    /// Returns whether another process with the same VM name is registered in the record.
    pub fn is_held_by_other(&self) -> bool {
        self.phase == Phase::HeldByOther
    }

    /// Returns whether this process has released the record.
    pub fn is_released(&self) -> bool {
        self.phase == Phase::Released
    }

    /// Returns the recorded witnesses.
    pub fn witnesses(&self) -> &[WitnessId] {
        &self.recorded_witnesses
    }

    /// Returns every witness that is recorded or that an unresolved write may record.
    pub fn possible_witnesses(&self) -> impl Iterator<Item = &WitnessId> {
        self.recorded_witnesses
            .iter()
            .chain(self.unresolved_witnesses.iter().flatten())
    }

    /// Marks the VM as leaving and makes a write of the record due.
    pub fn leave(&mut self, now: Instant) {
        if self.target_state == RecordState::Active {
            self.target_state = RecordState::Leaving;
            self.next_call_at = now;
        }
    }

    /// Ends the lease at once; the record, if registered, is fenced with the next call.
    pub fn release(&mut self, now: Instant) {
        self.target_state = RecordState::Fenced;
        self.valid_until = None;
        self.next_call_at = now;
        if self.phase != Phase::Registered {
            self.phase = Phase::Released;
        }
    }

    /// Makes a new read of the record due if another process was registered in it.
    pub fn recheck(&mut self, now: Instant) {
        if self.phase == Phase::HeldByOther {
            self.phase = Phase::Unread;
            self.next_call_at = now;
        }
    }

    /// Returns when the next call is due, or `None` while one is in flight or none is needed.
    pub fn next_call_at(&self) -> Option<Instant> {
        let has_no_next_call =
            self.is_call_pending || matches!(self.phase, Phase::Released | Phase::HeldByOther);
        (!has_no_next_call).then_some(self.next_call_at)
    }

    /// Returns the call that is due, and counts it as sent.
    pub fn next_action(
        &mut self,
        now: Instant,
        witnesses: &[WitnessId],
        document_version: ObjectVersion,
    ) -> Option<VmLeaseAction> {
        if self.next_call_at().is_none_or(|due| now < due) {
            return None;
        }
        self.is_call_pending = true;
        self.next_call_at = now + self.timing.renewal_interval;
        if self.phase == Phase::Unread {
            return Some(VmLeaseAction::Read);
        }
        let record = VmRecord {
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            peer_address: self.identity.peer_address,
            availability_zone: self.identity.availability_zone.clone(),
            renewals: self.renewals,
            witnesses: witnesses.to_vec(),
            state: self.target_state,
            document_version,
        };
        self.renewals += 1;
        self.unresolved_witnesses.push(record.witnesses.clone());
        self.unresolved_witnesses.sort_unstable();
        self.unresolved_witnesses.dedup();
        self.pending_record = Some(record.clone());
        self.is_incarnation_written = true;
        Some(VmLeaseAction::Write {
            expected_version: self.version,
            record,
        })
    }

    /// Reports the result of a read; `None` if it failed.
    pub fn read_completed(&mut self, now: Instant, object: Option<RecordObject>) {
        self.is_call_pending = false;
        match object {
            Some(object) => self.apply_object(now, object),
            None => self.next_call_at = now + self.timing.renewal_interval / READ_RETRY_DIVISOR,
        }
    }

    /// Reports the outcome of a write; `sent_at` is the time read before it was sent.
    pub fn write_completed(&mut self, now: Instant, sent_at: Instant, outcome: RecordWriteOutcome) {
        self.is_call_pending = false;
        let pending_record = self.pending_record.take();
        match outcome {
            RecordWriteOutcome::Applied(version) => {
                self.write_applied(version, sent_at, pending_record)
            }
            RecordWriteOutcome::Conflict(object) => self.apply_object(now, object),
            RecordWriteOutcome::NotApplied | RecordWriteOutcome::Unknown => {
                self.renewed_until = None;
                self.next_call_at = now + self.timing.renewal_interval / WRITE_RETRY_DIVISOR;
            }
        }
    }

    /// Discards the call in flight, as if it had failed.
    pub fn abandon_call(&mut self, now: Instant) {
        self.is_call_pending = false;
        self.renewed_until = None;
        self.pending_record = None;
        self.next_call_at = now;
    }

    /// Records a witness's confirmation; `sent_at` is the time read before the heartbeat was sent.
    ///
    /// The lease is extended if every witness set that may be recorded has a strict majority of
    /// confirmations, and only while it is still valid.
    pub fn lease_confirmed(
        &mut self,
        now: Instant,
        sent_at: Instant,
        witness: SocketAddr,
        incarnation: Incarnation,
    ) {
        if incarnation != self.identity.incarnation {
            return;
        }
        self.confirmations.record(witness, sent_at);
        let witness_sets =
            std::iter::once(&self.recorded_witnesses).chain(&self.unresolved_witnesses);
        let majority_since: Option<Vec<Instant>> = witness_sets
            .map(|set| self.confirmations.majority_replied_since(set))
            .collect();
        let majority_since =
            majority_since.and_then(|majority_since| majority_since.into_iter().min());
        match (self.valid_until, majority_since) {
            (Some(until), Some(majority_since)) if now < until => {
                self.valid_until = Some(until.max(majority_since + self.timing.lease_ttl));
            }
            _ => {}
        }
    }

    fn write_applied(
        &mut self,
        version: ObjectVersion,
        sent_at: Instant,
        pending_record: Option<VmRecord>,
    ) {
        self.set_version(version);
        let Some(record) = pending_record else {
            return;
        };
        if record.state == RecordState::Fenced {
            self.phase = Phase::Released;
            return;
        }
        self.phase = Phase::Registered;
        let renewal_grace = self.timing.renewal_interval / WRITE_RETRY_DIVISOR;
        self.renewed_until = Some(sent_at + self.timing.renewal_interval + renewal_grace);
        self.recorded_witnesses = record.witnesses;
        self.retain_possible_confirmations();
        if self.target_state != RecordState::Fenced {
            let until = sent_at + self.timing.lease_ttl;
            self.valid_until = Some(self.valid_until.map_or(until, |valid| valid.max(until)));
        }
    }

    /// Updates the phase from the stored record.
    fn apply_object(&mut self, now: Instant, object: RecordObject) {
        if object.version != 0 && object.version < self.version {
            return;
        }
        self.set_version(object.version);
        self.next_call_at = now;
        let own = &self.identity;
        match object.record {
            Some(record) if record.is_alive(own.incarnation) => {
                self.phase = Phase::Registered;
                self.recorded_witnesses = record.witnesses;
                self.retain_possible_confirmations();
            }
            Some(record) => {
                let is_own_address = record.peer_address == own.peer_address;
                let is_unclaimed = record.state == RecordState::Fenced || is_own_address;
                self.reset();
                self.phase = self.phase_after_loss(is_unclaimed);
            }
            None if object.version == 0 => {
                self.reset();
                self.phase = self.phase_after_loss(true);
            }
            None => {
                self.reset();
                self.phase = Phase::Unread;
                self.next_call_at = now + self.timing.lease_ttl;
            }
        }
    }

    fn phase_after_loss(&self, is_unclaimed: bool) -> Phase {
        match (self.target_state, is_unclaimed) {
            (RecordState::Fenced, _) => Phase::Released,
            (_, true) => Phase::Unclaimed,
            (_, false) => Phase::HeldByOther,
        }
    }

    /// Ends the lease, and starts a new incarnation if this one may have been recorded.
    fn reset(&mut self) {
        if self.phase == Phase::Registered {
            self.fence_count += 1;
        }
        if self.is_incarnation_written {
            self.identity.incarnation += 1;
            self.is_incarnation_written = false;
        }
        self.valid_until = None;
        self.renewed_until = None;
        self.renewals = 0;
        self.recorded_witnesses.clear();
        self.confirmations.clear();
    }

    fn set_version(&mut self, version: ObjectVersion) {
        if version != self.version {
            self.version = version;
            self.unresolved_witnesses.clear();
        }
    }

    fn retain_possible_confirmations(&mut self) {
        let possible: Vec<SocketAddr> = self
            .possible_witnesses()
            .map(|witness| witness.peer_address)
            .collect();
        self.confirmations
            .retain(|address| possible.contains(&address));
    }
}

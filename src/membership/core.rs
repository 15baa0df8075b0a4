//! Membership state machine of one VM, without I/O.

mod poll;
mod report;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::failure_detector::FailureDetector;
use super::isolation::IsolationDetector;
use super::member_list::{Member, MemberList};
use super::record::WitnessId;
use super::record_fencer::RecordFencer;
use super::timing::Timing;
use super::vm_lease::{VmIdentity, VmLease};
use super::wire::PeerInfo;
use super::witness::Witness;
use crate::clock::Instant;
use crate::ids::{ObjectVersion, VmId};

const WITNESSES_MAX: usize = 5;
/// Members introduced in one heartbeat reply, and unidentified addresses contacted per round by a
/// VM that knows no member.
const MEMBER_SAMPLE_COUNT: usize = 3;

/// Settings of a [`MembershipCore`].
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Identity of this VM.
    pub identity: VmIdentity,
    /// Durations shared by all VMs of the fleet.
    pub timing: Timing,
    /// Peer addresses of other VMs to contact first; some may be down.
    pub hints: Vec<SocketAddr>,
}

/// Membership state machine of one VM; performs no I/O.
///
/// The driver executes each action and reports its outcome together with the time read before the
/// call was sent. It reports every store action exactly once; a call without an answer is reported
/// as failed or with an unknown outcome.
#[derive(Debug, Clone)]
pub struct MembershipCore {
    timing: Timing,
    lease: VmLease,
    witness: Witness,
    member_list: MemberList,
    isolation: IsolationDetector,
    failure_detector: FailureDetector,
    fencers: BTreeMap<VmId, RecordFencer>,
    document_version: ObjectVersion,
    round: u64,
    next_heartbeat_at: Instant,
    next_full_heartbeat_at: Instant,
    was_store_renewed: bool,
    next_vm_list_at: Instant,
    next_record_list_at: Instant,
    is_leaving: bool,
    is_released: bool,
}

impl MembershipCore {
    /// Creates the state of a process that started at `now`.
    pub fn new(settings: MembershipSettings, now: Instant) -> Self {
        let MembershipSettings {
            identity,
            timing,
            hints,
        } = settings;
        let (vm, zone) = (identity.vm.clone(), identity.availability_zone.clone());
        Self {
            timing,
            member_list: MemberList::new(vm.clone(), zone, identity.peer_address, hints),
            failure_detector: FailureDetector::new(timing, vm, identity.peer_address),
            lease: VmLease::new(timing, identity),
            witness: Witness::new(timing, now),
            isolation: IsolationDetector::new(timing.isolation_timeout, now),
            fencers: BTreeMap::new(),
            document_version: 0,
            round: 0,
            next_heartbeat_at: now,
            next_full_heartbeat_at: now,
            was_store_renewed: false,
            next_vm_list_at: now,
            next_record_list_at: now,
            is_leaving: false,
            is_released: false,
        }
    }

    /// Returns this VM's lease on its own record.
    pub fn lease(&self) -> &VmLease {
        &self.lease
    }

    /// Returns the known members of the fleet other than this VM.
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// Returns whether this VM has reached neither the store nor a majority of its peers within the
    /// isolation timeout.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.isolation.is_isolated(now, &self.isolation_peers())
    }

    /// Returns the highest document version advertised by a responsive member, with its address.
    pub fn newest_advertised_document(&self) -> Option<(ObjectVersion, SocketAddr)> {
        let advertised = self
            .member_list
            .members()
            .filter(|member| !member.is_unresponsive);
        let advertised =
            advertised.map(|member| (member.document_version, member.peer.peer_address));
        advertised.max()
    }

    /// Sets the address that the peer listener has bound; to be called before the first poll.
    pub fn set_peer_address(&mut self, peer_address: SocketAddr) {
        self.lease.set_peer_address(peer_address);
        self.member_list.set_peer_address(peer_address);
        self.failure_detector.set_peer_address(peer_address);
    }

    /// Sets the version of the operators' document in force on this VM.
    ///
    /// A higher version makes heartbeats due at once.
    pub fn set_document_version(&mut self, version: ObjectVersion) {
        if self.document_version < version {
            self.next_heartbeat_at = Instant::ZERO;
            self.next_full_heartbeat_at = Instant::ZERO;
        }
        self.document_version = version;
    }

    /// Marks this VM as leaving, and makes heartbeats and a write of its record due.
    pub fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        self.next_heartbeat_at = now;
        self.next_full_heartbeat_at = now;
        self.lease.leave(now);
    }

    /// Ends the lease at once; the record is fenced with the next write.
    pub fn release(&mut self, now: Instant) {
        self.is_released = true;
        self.lease.release(now);
    }

    /// Returns the VMs whose replies count against isolation.
    fn isolation_peers(&self) -> Vec<WitnessId> {
        match self.lease.witnesses() {
            [] => self.member_list.ranked_members(WITNESSES_MAX),
            recorded => recorded.to_vec(),
        }
    }

    /// Returns the witnesses to write to the record.
    ///
    /// Recorded witnesses are kept while they are responsive, unless others would cover more
    /// availability zones. The number of witnesses is odd, since an even number tolerates no more
    /// failures than the next lower one.
    fn select_witnesses(&self) -> Vec<WitnessId> {
        let is_responsive =
            |witness: &WitnessId| self.member_list.is_responsive(witness.peer_address);
        let mut responsive_candidates = self.member_list.witness_candidates(usize::MAX);
        responsive_candidates.retain(is_responsive);
        responsive_candidates.truncate(WITNESSES_MAX);
        let recorded = self.lease.witnesses().iter();
        let mut selected: Vec<WitnessId> = recorded
            .filter(|known| is_responsive(known))
            .cloned()
            .collect();
        let covered_zone_count = |chosen: &[WitnessId]| self.member_list.zone_count(chosen);
        if covered_zone_count(&selected)
            < covered_zone_count(&responsive_candidates).min(selected.len())
        {
            selected.clear();
        }
        for witness in responsive_candidates {
            if selected.len() < WITNESSES_MAX && !selected.contains(&witness) {
                selected.push(witness);
            }
        }
        if !selected.is_empty() && selected.len().is_multiple_of(2) {
            selected.pop();
        }
        selected.sort_unstable();
        selected
    }

    /// Discards the calls in flight, as if all of them had failed.
    pub fn abandon_calls(&mut self, now: Instant) {
        self.lease.abandon_call(now);
        self.fencers.clear();
    }

    fn own_vm(&self) -> &VmId {
        &self.lease.identity().vm
    }

    /// Returns what this VM reports about itself, or `None` if it has no peer address.
    pub fn own_peer(&self) -> Option<PeerInfo> {
        let identity = self.lease.identity();
        Some(PeerInfo {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
            peer_address: identity.peer_address?,
            availability_zone: identity.availability_zone.clone(),
            is_leaving: self.is_leaving,
        })
    }

    /// Returns the other members that are not known to be fenced.
    pub fn members(&self) -> Vec<Member> {
        self.member_list.members().cloned().collect()
    }
}

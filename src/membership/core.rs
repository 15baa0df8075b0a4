//! Decisions of one VM about membership, put together.

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
/// Members told about in one answer, and addresses tried by a VM that knows no member.
const MEMBER_SAMPLE_COUNT: usize = 3;

/// Settings of one VM's membership.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Who the VM is.
    pub identity: VmIdentity,
    /// Times agreed in the fleet.
    pub timing: Timing,
    /// Addresses of other VMs that may be alive.
    pub hints: Vec<SocketAddr>,
}

/// Decisions of one VM about membership; pure.
///
/// The driver carries out each action and reports its outcome with the time read before sending.
/// Every store action is reported exactly once, a lost one as failed or unknown.
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
    /// Creates the state of a process that has just started.
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

    /// Returns the lease on the VM's own record.
    pub fn lease(&self) -> &VmLease {
        &self.lease
    }

    /// Returns the other VMs as far as known.
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// Returns whether the VM is cut off from store and peers.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.isolation.is_isolated(now, &self.isolation_peers())
    }

    /// Returns the highest document version that a member told, with its address.
    pub fn newest_advertised_document(&self) -> Option<(ObjectVersion, SocketAddr)> {
        let advertised = self
            .member_list
            .members()
            .filter(|member| !member.is_unresponsive);
        let advertised =
            advertised.map(|member| (member.document_version, member.peer.peer_address));
        advertised.max()
    }

    /// Tells the address that the listener for peers has bound; before the first poll.
    pub fn set_peer_address(&mut self, peer_address: SocketAddr) {
        self.lease.set_peer_address(peer_address);
        self.member_list.set_peer_address(peer_address);
        self.failure_detector.set_peer_address(peer_address);
    }

    /// Tells which version of the operators' document is in force.
    pub fn set_document_version(&mut self, version: ObjectVersion) {
        if self.document_version < version {
            self.next_heartbeat_at = Instant::ZERO;
            self.next_full_heartbeat_at = Instant::ZERO;
        }
        self.document_version = version;
    }

    /// Announces that the VM shuts down.
    pub fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        self.next_heartbeat_at = now;
        self.next_full_heartbeat_at = now;
        self.lease.leave(now);
    }

    /// Gives up what the VM holds.
    pub fn release(&mut self, now: Instant) {
        self.is_released = true;
        self.lease.release(now);
    }

    /// Returns the VMs whose answers show that this one is not cut off.
    fn isolation_peers(&self) -> Vec<WitnessId> {
        match self.lease.witnesses() {
            [] => self.member_list.ranked_members(WITNESSES_MAX),
            recorded => recorded.to_vec(),
        }
    }

    /// Returns the witnesses to record.
    ///
    /// Those recorded stay while they answer, unless others would cover more zones; their number is
    /// odd, since an even one bears no more losses than the next lower.
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

    /// Forgets the calls under way, as if all of them had failed.
    pub fn abandon_calls(&mut self, now: Instant) {
        self.lease.abandon_call(now);
        self.fencers.clear();
    }

    fn own_vm(&self) -> &VmId {
        &self.lease.identity().vm
    }

    /// Returns this VM as others see it; nothing where it has no address for peers.
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

    /// Returns the members that are not known to be fenced.
    pub fn members(&self) -> Vec<Member> {
        self.member_list.members().cloned().collect()
    }
}

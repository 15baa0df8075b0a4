//! List of the other VMs known to this one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::record::{RecordObject, RecordState, VmRecord, WitnessId};
use super::wire::PeerInfo;
use crate::clock::Instant;
use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};
use crate::platform::{VmListing, VmState};

/// Members stored at most; also the limit for unidentified addresses from the platform's list.
const MEMBERS_MAX: usize = 4_096;
/// Consecutive unanswered calls after which an address counts as unresponsive.
const MISSED_CALLS_MAX: u32 = 4;

/// Member of the fleet other than this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Information from its own report, from its record or from another VM.
    pub peer: PeerInfo,
    /// Version of the operators' document that it reported last; 0 if unknown.
    pub document_version: ObjectVersion,
    /// Whether it left the latest calls unanswered.
    pub is_unresponsive: bool,
}

/// Record as last read, with the time at which its version was first read.
#[derive(Debug, Clone)]
struct CachedRecord {
    object: RecordObject,
    unchanged_since: Instant,
}

/// List of the other VMs, built from records, heartbeats, callers and hints; performs no I/O.
///
/// It selects the VMs to contact. Safety does not depend on its accuracy.
#[derive(Debug, Clone)]
pub struct MemberList {
    own_vm: VmId,
    own_zone: AvailabilityZoneId,
    own_address: Option<SocketAddr>,
    members: BTreeMap<VmId, Member>,
    records: BTreeMap<VmId, CachedRecord>,
    unidentified_addresses: BTreeSet<SocketAddr>,
    missed_calls: BTreeMap<SocketAddr, u32>,
    /// Send time of the latest answered call to each address.
    latest_answered_call_at: BTreeMap<SocketAddr, Instant>,
}

impl MemberList {
    /// Creates the list of a VM that knows only the addresses from its settings.
    pub fn new(
        own_vm: VmId,
        own_zone: AvailabilityZoneId,
        own_address: Option<SocketAddr>,
        hints: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        let hints = hints.into_iter().filter(|hint| Some(*hint) != own_address);
        Self {
            own_vm,
            own_zone,
            own_address,
            members: BTreeMap::new(),
            records: BTreeMap::new(),
            unidentified_addresses: hints.collect(),
            missed_calls: BTreeMap::new(),
            latest_answered_call_at: BTreeMap::new(),
        }
    }

    /// Sets the address that the peer listener has bound.
    pub fn set_peer_address(&mut self, peer_address: SocketAddr) {
        self.own_address = Some(peer_address);
        self.unidentified_addresses.remove(&peer_address);
    }

    /// Applies a report of a VM about itself.
    pub fn apply_direct_report(&mut self, peer: PeerInfo, document_version: ObjectVersion) {
        if peer.vm == self.own_vm {
            return;
        }
        self.missed_calls.insert(peer.peer_address, 0);
        self.upsert_member(Member {
            peer,
            document_version,
            is_unresponsive: false,
        });
    }

    /// Applies a report about a VM from its record or from another VM.
    pub fn apply_indirect_report(&mut self, peer: PeerInfo) {
        let is_known = self
            .members
            .get(&peer.vm)
            .is_some_and(|known| known.peer.incarnation >= peer.incarnation);
        if is_known || peer.vm == self.own_vm || self.is_fenced(&peer.vm, peer.incarnation) {
            return;
        }
        self.upsert_member(Member {
            peer,
            document_version: 0,
            is_unresponsive: false,
        });
    }

    /// Applies a record read from the store, unless a newer version is known.
    pub fn apply_record(&mut self, now: Instant, object: RecordObject) {
        let Some(record) = &object.record else {
            return;
        };
        let vm = record.vm.clone();
        let known = self.records.get(&vm);
        if known.is_some_and(|known| known.object.version >= object.version) {
            return;
        }
        match (record.state, record.peer_address) {
            (RecordState::Fenced, _) => self.remove_fenced(&vm, record.incarnation),
            (_, Some(peer_address)) => self.apply_indirect_report(PeerInfo {
                vm: vm.clone(),
                incarnation: record.incarnation,
                peer_address,
                availability_zone: record.availability_zone.clone(),
                is_leaving: record.state == RecordState::Leaving,
            }),
            (_, None) => {}
        }
        let seen = CachedRecord {
            object,
            unchanged_since: now,
        };
        self.records.insert(vm, seen);
    }

    /// Applies the platform's list of VMs.
    pub fn apply_vm_list(&mut self, rows: &[VmListing]) {
        for row in rows.iter().filter(|row| row.vm != self.own_vm) {
            let is_leaving = row.state == VmState::Leaving;
            match self.members.get_mut(&row.vm) {
                Some(member) => member.peer.is_leaving |= is_leaving,
                None if self.unidentified_addresses.len() < MEMBERS_MAX => {
                    self.unidentified_addresses.insert(row.address);
                }
                None => {}
            }
        }
    }

    /// Records whether a call sent at `sent_at` was answered.
    ///
    /// An unanswered call is ignored if a call sent at the same time or later was answered.
    pub fn call_finished(&mut self, sent_at: Instant, to: SocketAddr, is_answered: bool) {
        let answered_at = self.latest_answered_call_at.get(&to).copied();
        match is_answered {
            true => {
                let latest = answered_at.map_or(sent_at, |at| at.max(sent_at));
                self.latest_answered_call_at.insert(to, latest);
            }
            false if answered_at.is_some_and(|at| sent_at <= at) => return,
            false => {}
        }
        let missed_calls = self.missed_calls.entry(to).or_default();
        *missed_calls = match is_answered {
            true => 0,
            false => missed_calls.saturating_add(1),
        };
        let is_unresponsive = *missed_calls >= MISSED_CALLS_MAX;
        for member in self.members.values_mut() {
            if member.peer.peer_address == to {
                member.is_unresponsive = is_unresponsive;
            }
        }
    }

    /// Returns the members that are not known to be fenced.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a VM's record as last read.
    pub fn record(&self, vm: &VmId) -> Option<&RecordObject> {
        self.records.get(vm).map(|seen| &seen.object)
    }

    /// Returns the records of other VMs that are not fenced, each with the time since which it is
    /// unchanged.
    pub fn active_records(&self) -> impl Iterator<Item = (&VmRecord, Instant)> {
        self.records.values().filter_map(|seen| {
            let record = seen.object.record.as_ref()?;
            let is_active = record.state != RecordState::Fenced && record.vm != self.own_vm;
            is_active.then_some((record, seen.unchanged_since))
        })
    }

    /// Returns up to `count` responsive VMs in order of preference as witnesses.
    ///
    /// They are spread over the availability zones, other zones before this VM's own, and within a
    /// zone are ordered by rendezvous hash.
    pub fn witness_candidates(&self, count: usize) -> Vec<WitnessId> {
        self.select_by_rank(count, |member| !member.is_unresponsive)
    }

    /// Returns up to `count` VMs in the order of [`Self::witness_candidates`], responsive or not.
    pub fn ranked_members(&self, count: usize) -> Vec<WitnessId> {
        self.select_by_rank(count, |_| true)
    }

    fn select_by_rank(
        &self,
        count: usize,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Vec<WitnessId> {
        let mut by_zone: BTreeMap<&str, Vec<(u64, &PeerInfo)>> = BTreeMap::new();
        for member in self.members.values() {
            if member.peer.is_leaving || !is_eligible(member) {
                continue;
            }
            let peer = &member.peer;
            let ranked = (rendezvous_rank(&self.own_vm, &peer.vm, 0), peer);
            by_zone
                .entry(&peer.availability_zone)
                .or_default()
                .push(ranked);
        }
        let mut ordered: Vec<(usize, bool, u64, &PeerInfo)> = Vec::new();
        for (zone, mut peers) in by_zone {
            peers.sort_unstable_by_key(|(rank, _)| *rank);
            let is_own = zone == self.own_zone;
            let rounds = peers.into_iter().enumerate();
            ordered.extend(rounds.map(|(round, (rank, peer))| (round, is_own, rank, peer)));
        }
        ordered.sort_unstable_by_key(|(round, is_own, rank, _)| (*round, *is_own, *rank));
        let chosen = ordered.into_iter().take(count).map(|(.., peer)| WitnessId {
            peer_address: peer.peer_address,
            vm: peer.vm.clone(),
        });
        chosen.collect()
    }

    /// Returns whether an address was called or reported itself, and has not reached the limit of
    /// consecutive unanswered calls.
    pub fn is_responsive(&self, address: SocketAddr) -> bool {
        let missed_calls = self.missed_calls.get(&address);
        missed_calls.is_some_and(|missed_calls| *missed_calls < MISSED_CALLS_MAX)
    }

    /// Returns whether the reachability of an address is known: its latest call was answered, or so
    /// many calls were not that it counts as unresponsive.
    pub fn is_reachability_known(&self, address: SocketAddr) -> bool {
        let missed_calls = self.missed_calls.get(&address);
        missed_calls
            .is_some_and(|missed_calls| *missed_calls == 0 || *missed_calls >= MISSED_CALLS_MAX)
    }

    /// Returns the number of availability zones that the known ones of `witnesses` cover.
    pub fn zone_count(&self, witnesses: &[WitnessId]) -> usize {
        let known = witnesses.iter().filter_map(|witness| {
            let member = self.members.get(&witness.vm)?;
            Some(member.peer.availability_zone.as_str())
        });
        known.collect::<BTreeSet<_>>().len()
    }

    /// Returns the addresses of up to `count` members, a different sample in each round.
    pub fn sample_addresses(&self, count: usize, round: u64) -> Vec<SocketAddr> {
        let members = self.members.values();
        let mut ranked: Vec<(u64, SocketAddr)> = members
            .map(|member| {
                let rank = rendezvous_rank(&self.own_vm, &member.peer.vm, round);
                (rank, member.peer.peer_address)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns up to `count` members to introduce to another VM.
    pub fn sample_peers(&self, count: usize, round: u64) -> Vec<PeerInfo> {
        let addresses = self.sample_addresses(count, round);
        let members = self.members.values();
        let peers = members.map(|member| &member.peer);
        peers
            .filter(|peer| addresses.contains(&peer.peer_address))
            .cloned()
            .collect()
    }

    /// Returns up to `count` addresses whose VM is not known, rotating with each round.
    pub fn sample_unidentified(&self, count: usize, round: u64) -> Vec<SocketAddr> {
        let address_count = u64::try_from(self.unidentified_addresses.len()).unwrap_or(u64::MAX);
        let first = round.checked_rem(address_count).unwrap_or_default();
        let first = usize::try_from(first).unwrap_or_default();
        let cycle = self.unidentified_addresses.iter().cycle().skip(first);
        cycle
            .take(count.min(self.unidentified_addresses.len()))
            .copied()
            .collect()
    }

    fn upsert_member(&mut self, member: Member) {
        let address = member.peer.peer_address;
        if Some(address) == self.own_address {
            return;
        }
        self.unidentified_addresses.remove(&address);
        let is_known = self.members.contains_key(&member.peer.vm);
        if is_known || self.members.len() < MEMBERS_MAX {
            self.members.insert(member.peer.vm.clone(), member);
        }
    }

    fn is_fenced(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        self.records
            .get(vm)
            .is_some_and(|seen| seen.object.is_reclaimable(incarnation))
    }

    fn remove_fenced(&mut self, vm: &VmId, incarnation: Incarnation) {
        let member = self.members.get(vm);
        if member.is_some_and(|member| member.peer.incarnation == incarnation)
            && let Some(member) = self.members.remove(vm)
        {
            self.missed_calls.remove(&member.peer.peer_address);
            self.latest_answered_call_at
                .remove(&member.peer.peer_address);
        }
    }
}

/// Returns the rank of `vm` for `subject` by rendezvous hash; each subject and round has its own
/// order.
fn rendezvous_rank(subject: &str, vm: &str, round: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(subject.as_bytes());
    hasher.update(&[0]);
    hasher.update(vm.as_bytes());
    hasher.update(&round.to_le_bytes());
    let mut rank = [0; 8];
    hasher.finalize_xof().fill(&mut rank);
    u64::from_le_bytes(rank)
}

//! Actions that are due at a given time.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{MEMBER_SAMPLE_COUNT, MembershipCore, WITNESSES_MAX};
use crate::clock::Instant;
use crate::ids::VmId;
use crate::membership::action::{Action, PeerMessage, StoreAction};
use crate::membership::record_fencer::{FenceAction, RecordFencer};
use crate::membership::vm_lease::VmLeaseAction;
use crate::membership::wire::{FenceVoteRequest, Heartbeat};

/// Heartbeat rounds per gossip heartbeat, which goes to a pseudo-randomly chosen member.
const ROUNDS_PER_GOSSIP: u64 = 2;
/// Members in a gossip sample, which receive the gossip heartbeats in turn.
const GOSSIP_SAMPLE_COUNT: usize = 2;
/// Gossip heartbeats after which another sample is drawn.
const GOSSIP_TURNS_PER_SAMPLE: u64 = 30;
/// Heartbeat rounds per heartbeat to an address whose VM is not known.
const ROUNDS_PER_UNIDENTIFIED_HEARTBEAT: u64 = 4;
const FENCERS_MAX: usize = 8;

impl MembershipCore {
    /// Returns the actions that are due at `now`.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.poll_lease(now, &mut actions);
        if self.is_released {
            return actions;
        }
        self.poll_lists(now, &mut actions);
        self.start_fencers(now);
        self.poll_fencers(now, &mut actions);
        self.poll_heartbeats(now, &mut actions);
        actions
    }

    fn poll_lease(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.lease.next_call_at().is_none_or(|due| now < due) {
            return;
        }
        let witnesses = self.select_witnesses();
        let version = self.document_version;
        let action = match self.lease.next_action(now, &witnesses, version) {
            Some(VmLeaseAction::Read) => StoreAction::Read(self.own_vm().clone()),
            Some(VmLeaseAction::Write {
                expected_version,
                record,
            }) => StoreAction::Write {
                expected_version,
                record,
            },
            None => return,
        };
        actions.push(Action::Store(action));
    }

    fn poll_lists(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now >= self.next_vm_list_at {
            self.next_vm_list_at = now + self.timing.vm_list_interval();
            actions.push(Action::Store(StoreAction::ListVms));
        }
        if now >= self.next_record_list_at {
            let members = self.member_list.members().count();
            self.next_record_list_at = now + self.timing.record_list_interval(members);
            actions.push(Action::Store(StoreAction::ListRecords));
        }
    }

    fn start_fencers(&mut self, now: Instant) {
        if self.lease.is_held_by_other() {
            self.start_fencer(self.own_vm().clone());
        }
        for vm in self.failure_detector.suspects(now) {
            self.start_fencer(vm);
        }
    }

    fn start_fencer(&mut self, vm: VmId) {
        if self.fencers.len() < FENCERS_MAX {
            let timing = self.timing;
            let entry = self.fencers.entry(vm.clone());
            entry.or_insert_with(|| RecordFencer::new(timing, vm));
        }
    }

    fn poll_fencers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let vms: Vec<VmId> = self.fencers.keys().cloned().collect();
        for vm in vms {
            let Some(action) = self
                .fencers
                .get_mut(&vm)
                .and_then(|fencer| fencer.next_action(now))
            else {
                continue;
            };
            match action {
                FenceAction::Read => actions.push(Action::Store(StoreAction::Read(vm))),
                FenceAction::Fence {
                    expected_version,
                    record,
                } => actions.push(Action::Store(StoreAction::Write {
                    expected_version,
                    record,
                })),
                FenceAction::RequestVotes { witnesses, request } => {
                    self.request_votes(now, &witnesses, &request, actions)
                }
            }
        }
    }

    fn request_votes(
        &mut self,
        now: Instant,
        witnesses: &[SocketAddr],
        request: &FenceVoteRequest,
        actions: &mut Vec<Action>,
    ) {
        for to in witnesses {
            if Some(*to) == self.lease.identity().peer_address {
                let vote = self.vote_on_fence(now, request);
                self.fence_vote_received(now, now, *to, request, vote);
                continue;
            }
            let message = PeerMessage::FenceVote(request.clone());
            actions.push(Action::Call { to: *to, message });
        }
    }

    fn poll_heartbeats(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(sender) = self.own_peer() else {
            return;
        };
        let is_store_renewed = self.lease.is_store_renewed(now);
        let has_renewal_stopped = self.was_store_renewed && !is_store_renewed;
        self.was_store_renewed = is_store_renewed;
        if now < self.next_heartbeat_at && !has_renewal_stopped {
            return;
        }
        self.next_heartbeat_at = now + self.timing.heartbeat_interval;
        let is_full_round = !is_store_renewed || now >= self.next_full_heartbeat_at;
        if is_full_round {
            self.next_full_heartbeat_at = now + self.timing.renewed_heartbeat_interval;
        }
        let witnesses = self.lease.possible_witnesses();
        let confirming_addresses: BTreeSet<SocketAddr> =
            witnesses.map(|known| known.peer_address).collect();
        let mut targets = confirming_addresses.clone();
        if confirming_addresses.len() < WITNESSES_MAX {
            let candidates = self
                .member_list
                .witness_candidates(WITNESSES_MAX)
                .into_iter();
            targets.extend(candidates.map(|candidate| candidate.peer_address));
        }
        targets.retain(|to| is_full_round || !self.member_list.is_reachability_known(*to));
        targets.extend(self.gossip_targets());
        actions.extend(targets.into_iter().map(|to| {
            let heartbeat = Heartbeat {
                sender: sender.clone(),
                document_version: self.document_version,
                wants_lease_confirmation: confirming_addresses.contains(&to),
            };
            let message = PeerMessage::Heartbeat(heartbeat);
            Action::Call { to, message }
        }));
        self.round += 1;
    }

    /// Returns the addresses that receive a gossip heartbeat in this round, witnesses or not.
    ///
    /// A sample is kept for several rounds, since a new connection costs more than many heartbeats.
    fn gossip_targets(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        if self.round.is_multiple_of(ROUNDS_PER_GOSSIP) {
            let turn = self.round / ROUNDS_PER_GOSSIP;
            let gossip_members = self
                .member_list
                .sample_addresses(GOSSIP_SAMPLE_COUNT, turn / GOSSIP_TURNS_PER_SAMPLE);
            let position = usize::try_from(turn).unwrap_or_default() % GOSSIP_SAMPLE_COUNT;
            addresses.extend(gossip_members.get(position).or(gossip_members.first()));
        }
        if self.round.is_multiple_of(ROUNDS_PER_UNIDENTIFIED_HEARTBEAT) {
            addresses.extend(
                self.member_list
                    .sample_unidentified(1, self.round / ROUNDS_PER_UNIDENTIFIED_HEARTBEAT),
            );
        }
        if self.member_list.members().next().is_none() {
            addresses.extend(
                self.member_list
                    .sample_unidentified(MEMBER_SAMPLE_COUNT, self.round),
            );
        }
        addresses
    }
}

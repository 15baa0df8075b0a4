//! Outcomes of the driver's actions, and requests from other VMs.

use std::net::SocketAddr;

use super::{MEMBER_SAMPLE_COUNT, MembershipCore};
use crate::clock::Instant;
use crate::ids::VmId;
use crate::membership::action::{PeerMessage, PeerReply};
use crate::membership::record::{RecordObject, RecordWriteOutcome, VmRecord};
use crate::membership::record_fencer::{FenceOutcome, RecordFencer};
use crate::membership::wire::{FenceVote, FenceVoteRequest, Heartbeat, HeartbeatReply};
use crate::platform::VmListing;

impl MembershipCore {
    /// Reports the result of reading a VM's record; `None` if the call failed.
    pub fn record_read(
        &mut self,
        now: Instant,
        sent_at: Instant,
        vm: &VmId,
        object: Option<RecordObject>,
    ) {
        if let Some(object) = &object {
            self.isolation.record_store_reply(sent_at);
            self.member_list.apply_record(now, object.clone());
        }
        match self.fencers.get_mut(vm) {
            Some(fencer) => fencer.read_completed(now, object),
            None => self.lease.read_completed(now, object),
        }
        self.finish_fencer(now, vm);
    }

    /// Reports the outcome of writing a VM's record.
    pub fn record_written(
        &mut self,
        now: Instant,
        sent_at: Instant,
        written: &VmRecord,
        outcome: RecordWriteOutcome,
    ) {
        if matches!(
            outcome,
            RecordWriteOutcome::Applied(_)
                | RecordWriteOutcome::Conflict(_)
                | RecordWriteOutcome::NotApplied
        ) {
            self.isolation.record_store_reply(sent_at);
        }
        if let RecordWriteOutcome::Applied(version) = outcome {
            let record = Some(written.clone());
            self.member_list
                .apply_record(now, RecordObject { version, record });
        }
        match self.fencers.get_mut(&written.vm) {
            Some(fencer) => fencer.write_completed(now, outcome),
            None => self.lease.write_completed(now, sent_at, outcome),
        }
        self.finish_fencer(now, &written.vm);
        self.isolation.retain_peers(&self.isolation_peers());
    }

    fn finish_fencer(&mut self, now: Instant, vm: &VmId) {
        let outcome = self.fencers.get(vm).and_then(RecordFencer::outcome);
        let Some(outcome) = outcome else {
            return;
        };
        self.fencers.remove(vm);
        match outcome {
            _ if vm == self.own_vm() => self.lease.recheck(now),
            FenceOutcome::NotFenced => self.failure_detector.lease_renewed(now, vm),
            FenceOutcome::Fenced => self.failure_detector.remove(vm),
        }
    }

    /// Reports the records of all VMs; `None` if the call failed.
    pub fn records_listed(
        &mut self,
        now: Instant,
        sent_at: Instant,
        records: Option<Vec<RecordObject>>,
    ) {
        let Some(records) = records else {
            self.next_record_list_at = self
                .next_record_list_at
                .min(now + self.timing.renewal_interval);
            return;
        };
        self.isolation.record_store_reply(sent_at);
        for object in records {
            self.member_list.apply_record(now, object);
        }
        self.failure_detector
            .apply_records(now, self.member_list.active_records());
    }

    /// Reports the platform's list of VMs; `None` if the call failed.
    pub fn vms_listed(&mut self, sent_at: Instant, rows: Option<Vec<VmListing>>) {
        if let Some(rows) = rows {
            self.isolation.record_store_reply(sent_at);
            self.member_list.apply_vm_list(&rows);
        }
    }

    /// Reports the reply to a message sent at `sent_at`; `None` if none arrived.
    pub fn reply_received(
        &mut self,
        now: Instant,
        sent_at: Instant,
        to: SocketAddr,
        message: &PeerMessage,
        reply: Option<PeerReply>,
    ) {
        self.member_list.call_finished(sent_at, to, reply.is_some());
        match (message, reply) {
            (PeerMessage::Heartbeat(heartbeat), Some(PeerReply::Heartbeat(reply))) => {
                self.heartbeat_reply_received(now, sent_at, to, heartbeat, reply);
            }
            (PeerMessage::FenceVote(request), Some(PeerReply::FenceVote(vote))) => {
                self.fence_vote_received(now, sent_at, to, request, vote);
            }
            _ => {}
        }
    }

    fn heartbeat_reply_received(
        &mut self,
        now: Instant,
        sent_at: Instant,
        from: SocketAddr,
        heartbeat: &Heartbeat,
        reply: HeartbeatReply,
    ) {
        self.isolation.record_peer_reply(from, sent_at);
        if heartbeat.wants_lease_confirmation && reply.is_lease_confirmed {
            let incarnation = heartbeat.sender.incarnation;
            self.lease.lease_confirmed(now, sent_at, from, incarnation);
        }
        self.member_list
            .apply_direct_report(reply.sender, reply.document_version);
        for other in reply.others {
            self.member_list.apply_indirect_report(other);
        }
    }

    pub(super) fn fence_vote_received(
        &mut self,
        now: Instant,
        sent_at: Instant,
        from: SocketAddr,
        request: &FenceVoteRequest,
        vote: FenceVote,
    ) {
        if let Some(fencer) = self.fencers.get_mut(&request.vm) {
            let record = fencer.record();
            if record.is_some_and(|record| record.incarnation == request.incarnation) {
                fencer.vote_received(now, sent_at, from, vote);
            }
        }
    }

    /// Returns the reply to another VM's heartbeat, or `None` if this VM has no peer address.
    pub fn heartbeat_received(
        &mut self,
        now: Instant,
        heartbeat: Heartbeat,
    ) -> Option<HeartbeatReply> {
        let sender = self.own_peer()?;
        let Heartbeat {
            sender: peer,
            document_version,
            wants_lease_confirmation,
        } = heartbeat;
        let is_lease_confirmed =
            wants_lease_confirmation && self.witness.confirm_lease(now, &peer.vm, peer.incarnation);
        if wants_lease_confirmation {
            self.failure_detector.heartbeat_received(now, &peer.vm);
        }
        let others = match wants_lease_confirmation {
            true => Vec::new(),
            false => self
                .member_list
                .sample_peers(MEMBER_SAMPLE_COUNT, self.round),
        };
        self.member_list.apply_direct_report(peer, document_version);
        Some(HeartbeatReply {
            sender,
            document_version: self.document_version,
            is_lease_confirmed,
            others,
        })
    }

    /// Votes, as a witness, on fencing another VM's record.
    pub fn vote_on_fence(&mut self, now: Instant, request: &FenceVoteRequest) -> FenceVote {
        self.witness
            .vote_on_fence(now, &request.vm, request.incarnation)
    }
}

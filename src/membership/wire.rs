//! Membership messages exchanged between VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};

/// Information that a VM reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PeerInfo {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation under which it is, or wants to be, registered.
    pub incarnation: Incarnation,
    /// Address of its peer listener.
    pub peer_address: SocketAddr,
    /// Availability zone in which it runs.
    pub availability_zone: AvailabilityZoneId,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// Heartbeat, sent to witnesses and to a few other members.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender of the heartbeat.
    pub sender: PeerInfo,
    /// Version of the operators' document in force at the sender.
    pub document_version: ObjectVersion,
    /// Whether the receiver should, as a witness, confirm the sender's lease.
    pub wants_lease_confirmation: bool,
}

/// Reply to a [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Sender of the reply.
    pub sender: PeerInfo,
    /// Version of the operators' document in force at the sender.
    pub document_version: ObjectVersion,
    /// Whether the sender confirmed the lease, and so votes against fencing for the confirmation
    /// TTL.
    pub is_lease_confirmed: bool,
    /// Sample of other members known to the sender.
    pub others: Vec<PeerInfo>,
}

/// Request to a witness to vote on fencing a VM's record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FenceVoteRequest {
    /// Suspected VM.
    pub vm: VmId,
    /// Incarnation in its record.
    pub incarnation: Incarnation,
}

/// Vote of a witness on fencing a VM's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FenceVote {
    /// For: the witness has no unexpired confirmation of the VM's lease, and confirms none for the
    /// vote TTL.
    Yes,
    /// Against: the witness confirmed the VM's lease within the confirmation TTL.
    No,
    /// No vote: the witness started too recently, or tracks too many incarnations, to decide.
    Abstain,
}

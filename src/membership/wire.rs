//! Messages about membership between VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};

/// What a VM tells others about itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PeerInfo {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation under which it is registered or wants to be.
    pub incarnation: Incarnation,
    /// Address of its listener for peers.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub availability_zone: AvailabilityZoneId,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// Sign of life, sent to witnesses and to a few other members.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub sender: PeerInfo,
    /// Version of the operators' document in force at the sender.
    pub document_version: ObjectVersion,
    /// Whether the receiver is asked to vouch for the sender.
    pub wants_lease_confirmation: bool,
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Sender of the answer.
    pub sender: PeerInfo,
    /// Version of the operators' document in force at the sender.
    pub document_version: ObjectVersion,
    /// Whether the sender will refuse a reclaim for its promise time.
    pub is_lease_confirmed: bool,
    /// A few other members that the sender knows.
    pub others: Vec<PeerInfo>,
}

/// Question to a witness whether what a VM holds may be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FenceVoteRequest {
    /// VM that seems dead.
    pub vm: VmId,
    /// Incarnation of its record.
    pub incarnation: Incarnation,
}

/// Answer of a witness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FenceVote {
    /// The witness has not vouched for the VM within its promise, and will not for a while.
    Yes,
    /// The witness vouched for the VM within its promise.
    No,
    /// The witness started too recently to know.
    Abstain,
}

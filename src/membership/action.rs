//! What the membership decisions ask of their driver.

use std::net::SocketAddr;

use super::record::VmRecord;
use super::wire::{FenceVote, FenceVoteRequest, Heartbeat, HeartbeatReply};
use crate::ids::{ObjectVersion, VmId};

/// Call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAction {
    /// Read a VM's record.
    Read(VmId),
    /// Write a VM's record if it has the expected version.
    Write {
        /// Version that the record must have.
        expected_version: ObjectVersion,
        /// New content.
        record: VmRecord,
    },
    /// Read all records.
    ListRecords,
    /// Read the platform's list of VMs.
    ListVms,
}

/// Message to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// Answered by [`HeartbeatReply`].
    Heartbeat(Heartbeat),
    /// Answered by [`FenceVote`].
    FenceVote(FenceVoteRequest),
}

/// Answer to a [`PeerMessage`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerReply {
    /// To a heartbeat.
    Heartbeat(HeartbeatReply),
    /// To a question about a reclaim.
    FenceVote(FenceVote),
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call the store.
    Store(StoreAction),
    /// Call another VM.
    Call {
        /// Its address.
        to: SocketAddr,
        /// What to send.
        message: PeerMessage,
    },
}

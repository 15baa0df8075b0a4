//! Actions that [`MembershipCore`](super::MembershipCore) requests from its driver.

use std::net::SocketAddr;

use super::record::VmRecord;
use super::wire::{FenceVote, FenceVoteRequest, Heartbeat, HeartbeatReply};
use crate::ids::{ObjectVersion, VmId};

/// Store call requested by the membership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAction {
    /// Reads a VM's record.
    Read(VmId),
    /// Writes a VM's record, conditional on its version.
    Write {
        /// Version that the stored record must have for the write to apply.
        expected_version: ObjectVersion,
        /// New content of the record.
        record: VmRecord,
    },
    /// Lists the records of all VMs.
    ListRecords,
    /// Lists the VMs registered with the platform.
    ListVms,
}

/// Message to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// Heartbeat, which is answered with a [`HeartbeatReply`].
    Heartbeat(Heartbeat),
    /// Request for a vote on fencing a record, which is answered with a [`FenceVote`].
    FenceVote(FenceVoteRequest),
}

/// Reply to a [`PeerMessage`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerReply {
    /// Reply to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// Reply to a fence vote request.
    FenceVote(FenceVote),
}

/// Action for the driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Calls the store.
    Store(StoreAction),
    /// Sends a message to another VM.
    Call {
        /// Address of the VM's peer listener.
        to: SocketAddr,
        /// Message to send.
        message: PeerMessage,
    },
}

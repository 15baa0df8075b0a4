//! Messages between VMs and their size limits.

use serde::{Deserialize, Serialize};

use crate::document::DOCUMENT_MAX_BYTES;
use crate::ids::ObjectVersion;
use crate::limit::wire::{Exchange, Grant};
use crate::membership::wire::{FenceVote, FenceVoteRequest, Heartbeat, HeartbeatReply};

/// Protocol version, which is sent as the first message of a connection.
pub const PROTOCOL_VERSION: u16 = 1;
/// Largest message that carries no document.
pub const MESSAGE_MAX_BYTES: usize = 64 * 1_024;
/// Largest message that carries a document.
pub(super) const DOCUMENT_MESSAGE_MAX_BYTES: usize = DOCUMENT_MAX_BYTES + 1_024;

/// Request to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// Heartbeat of the caller.
    Heartbeat(Heartbeat),
    /// Request to a witness to vote on fencing a suspected VM.
    FenceVote(FenceVoteRequest),
    /// Report to a holder of a share of a customer's rate, and request to borrow from it.
    Exchange(Exchange),
    /// Request for the document if its version is higher than the given one.
    FetchDocument {
        /// Document version of the caller.
        above_version: ObjectVersion,
    },
}

/// Reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// Reply to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// Reply to a fence vote request.
    FenceVote(FenceVote),
    /// Reply to an exchange.
    Grant(Grant),
    /// Document in force on the VM that replies.
    Document {
        /// Version of the document.
        version: ObjectVersion,
        /// Text of the document in INI format.
        text: String,
    },
    /// The VM has no document with a higher version.
    None,
}

impl Request {
    /// Returns the size limit of the reply, in bytes.
    pub(super) fn reply_max_bytes(&self) -> usize {
        match self {
            Self::FetchDocument { .. } => DOCUMENT_MESSAGE_MAX_BYTES,
            Self::Heartbeat(_) | Self::FenceVote(_) | Self::Exchange(_) => MESSAGE_MAX_BYTES,
        }
    }
}

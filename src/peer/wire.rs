//! Messages between VMs and their bounds.

use serde::{Deserialize, Serialize};

use crate::document::DOCUMENT_MAX_BYTES;
use crate::ids::ObjectVersion;
use crate::limit::wire::{Exchange, Grant};
use crate::membership::wire::{FenceVote, FenceVoteRequest, Heartbeat, HeartbeatReply};

/// Version of the messages; a connection starts with it.
pub const PROTOCOL_VERSION: u16 = 1;
/// Largest message other than a document.
pub const MESSAGE_MAX_BYTES: usize = 64 * 1_024;
/// Largest message that carries a document.
pub(super) const DOCUMENT_MESSAGE_MAX_BYTES: usize = DOCUMENT_MAX_BYTES + 1_024;

/// Question to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// Tells that the caller runs.
    Heartbeat(Heartbeat),
    /// Asks a witness about a VM that seems dead.
    FenceVote(FenceVoteRequest),
    /// Reports to a holder of a customer's rate and borrows from it.
    Exchange(Exchange),
    /// Asks for the document if its version is above one.
    FetchDocument {
        /// Version that the caller has.
        above_version: ObjectVersion,
    },
}

/// Answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// Answers a heartbeat.
    Heartbeat(HeartbeatReply),
    /// Answers a question about a VM that seems dead.
    FenceVote(FenceVote),
    /// Answers an exchange.
    Grant(Grant),
    /// Document in force at the VM that answers.
    Document {
        /// Version of the document.
        version: ObjectVersion,
        /// Its text.
        text: String,
    },
    /// There is nothing to tell.
    None,
}

impl Request {
    /// Returns the largest reply that may follow.
    pub(super) fn reply_max_bytes(&self) -> usize {
        match self {
            Self::FetchDocument { .. } => DOCUMENT_MESSAGE_MAX_BYTES,
            Self::Heartbeat(_) | Self::FenceVote(_) | Self::Exchange(_) => MESSAGE_MAX_BYTES,
        }
    }
}

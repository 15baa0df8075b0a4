//! What VMs tell each other about limits.

use serde::{Deserialize, Serialize};

use super::announced::RequestRate;
use crate::gateway::process_hash::ProcessHash;

/// What a response said of the limit of its upstream, in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitNews {
    /// Process of the upstream.
    pub process: ProcessHash,
    /// Limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Time since the response.
    pub age_ms: u32,
}

/// Request for a permit to the VM that keeps an upstream's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct PermitCall {
    pub(in crate::gateway) id: u64,
    /// What the VM that asks knows of the limit.
    pub(super) limit: LimitNews,
    pub(super) is_held_back: bool,
}

/// Reply to a [`PermitCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct PermitReply {
    pub(in crate::gateway) id: u64,
    pub(super) is_granted: bool,
    pub(super) wait_ms: u32,
}

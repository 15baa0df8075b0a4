//! Messages about permits to send requests to brittle upstreams.

use serde::{Deserialize, Serialize};

use super::ledger::{PermitId, SendOutcome};
use crate::gateway::process_hash::ProcessHash;
use crate::gateway::upstream_limit::RequestRate;

/// Request for a permit to the VM that keeps an upstream's ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct SendCall {
    pub(super) id: u64,
    pub(super) process: ProcessHash,
    pub(super) rejections_max: RequestRate,
    pub(super) slots: u32,
    pub(super) timeout_ms: u32,
}

/// Reply to a [`SendCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct SendReply {
    pub(super) id: u64,
    pub(super) process: ProcessHash,
    pub(super) permit: Option<PermitId>,
    pub(super) wait_ms: u32,
}

/// What became of a permitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct SendReport {
    pub(super) process: ProcessHash,
    pub(super) permit: PermitId,
    pub(super) outcome: SendOutcome,
}

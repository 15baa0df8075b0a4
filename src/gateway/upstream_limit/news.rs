//! What VMs tell each other about limits.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::announced::RequestRate;
use crate::gateway::process_hash::ProcessHash;

/// Number of messages in which an item is repeated, as datagrams may be lost.
const REPEATS: u32 = 2;
/// Maximum number of items in one message, which then fits a datagram.
pub(super) const ITEMS_PER_MESSAGE_MAX: usize = 128;

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

/// Processes whose limits are to be told, with the number of messages left.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: HashMap<ProcessHash, u32>,
}

impl Outbox {
    pub(super) fn push(&mut self, process: ProcessHash) {
        self.waiting.insert(process, REPEATS);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the processes of the next message.
    pub(super) fn take(&mut self) -> Vec<ProcessHash> {
        let taken: Vec<ProcessHash> = self
            .waiting
            .keys()
            .copied()
            .take(ITEMS_PER_MESSAGE_MAX)
            .collect();
        for process in &taken {
            if let Some(repeats) = self.waiting.get_mut(process) {
                *repeats -= 1;
            }
        }
        self.waiting.retain(|_, repeats| *repeats > 0);
        taken
    }
}

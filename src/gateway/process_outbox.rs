//! Processes of upstreams of which a VM has news for the others.

use std::collections::HashMap;

use super::process_hash::ProcessHash;

/// Number of messages in which an item is repeated, as datagrams may be lost.
const REPEATS: u32 = 2;
/// Maximum number of items in one message, which then fits a datagram.
pub(super) const ITEMS_PER_MESSAGE_MAX: usize = 128;

/// Processes to be told of, with the number of messages left.
#[derive(Debug, Default)]
pub(super) struct ProcessOutbox {
    waiting: HashMap<ProcessHash, u32>,
}

impl ProcessOutbox {
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

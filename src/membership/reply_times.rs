//! Times by which a majority of the witnesses answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::record::WitnessId;
use crate::clock::Instant;

/// Latest answered call of each witness, by the time before it was sent.
#[derive(Debug, Clone, Default)]
pub(super) struct ReplyTimes {
    sent_at: BTreeMap<SocketAddr, Instant>,
}

impl ReplyTimes {
    /// Notes the answer of a call that was sent at `sent_at`.
    pub(super) fn record(&mut self, from: SocketAddr, sent_at: Instant) {
        let latest = self.sent_at.entry(from).or_insert(sent_at);
        *latest = sent_at.max(*latest);
    }

    /// Returns the time since whose calls a strict majority of `witnesses` has answered.
    ///
    /// Returns nothing where there is no witness.
    pub(super) fn majority_replied_since(&self, witnesses: &[WitnessId]) -> Option<Instant> {
        let mut answered: Vec<Instant> = witnesses
            .iter()
            .filter_map(|witness| self.sent_at.get(&witness.peer_address).copied())
            .collect();
        answered.sort_unstable_by(|one, other| other.cmp(one));
        let majority = strict_majority(witnesses.len());
        answered.get(majority - 1).copied()
    }

    /// Keeps only the answers of these witnesses.
    pub(super) fn retain(&mut self, is_kept: impl Fn(SocketAddr) -> bool) {
        self.sent_at.retain(|address, _| is_kept(*address));
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.sent_at.clear();
    }
}

/// Returns the size of the smallest strict majority.
pub(super) fn strict_majority(count: usize) -> usize {
    count / 2 + 1
}

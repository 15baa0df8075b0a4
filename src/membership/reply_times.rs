//! Times of witness replies, and the time since which a majority has replied.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::record::WitnessId;
use crate::clock::Instant;

/// Send time of the latest answered call to each witness.
///
/// The time is read before the call is sent, so that a slow reply does not extend a lease
/// beyond what the witness confirmed.
#[derive(Debug, Clone, Default)]
pub(super) struct ReplyTimes {
    sent_at: BTreeMap<SocketAddr, Instant>,
}

impl ReplyTimes {
    /// Records the reply to a call sent at `sent_at`.
    pub(super) fn record(&mut self, from: SocketAddr, sent_at: Instant) {
        let latest = self.sent_at.entry(from).or_insert(sent_at);
        *latest = sent_at.max(*latest);
    }

    /// Returns the latest time such that a strict majority of `witnesses` has answered a call sent
    /// at or after it.
    ///
    /// Returns `None` if there is no such majority, as with no witnesses.
    pub(super) fn majority_replied_since(&self, witnesses: &[WitnessId]) -> Option<Instant> {
        let mut answered: Vec<Instant> = witnesses
            .iter()
            .filter_map(|witness| self.sent_at.get(&witness.peer_address).copied())
            .collect();
        answered.sort_unstable_by(|one, other| other.cmp(one));
        let majority = strict_majority(witnesses.len());
        answered.get(majority - 1).copied()
    }

    /// Discards the replies of addresses for which `is_kept` returns false.
    pub(super) fn retain(&mut self, is_kept: impl Fn(SocketAddr) -> bool) {
        self.sent_at.retain(|address, _| is_kept(*address));
    }

    /// Discards all replies.
    pub(super) fn clear(&mut self) {
        self.sent_at.clear();
    }
}

/// Returns the size of the smallest strict majority of `count`.
pub(super) fn strict_majority(count: usize) -> usize {
    count / 2 + 1
}

//! Detection of a VM that can reach neither the store nor its peers.

use std::net::SocketAddr;
use std::time::Duration;

use super::record::WitnessId;
use super::reply_times::ReplyTimes;
use crate::clock::Instant;

/// Decides whether a VM is isolated; performs no I/O.
///
/// An isolated VM would learn of no changes. A store outage alone is not isolation, and a VM that
/// knows no peers is never isolated.
#[derive(Debug, Clone)]
pub struct IsolationDetector {
    timeout: Duration,
    started_at: Instant,
    store_reached_at: Instant,
    peer_replies: ReplyTimes,
}

impl IsolationDetector {
    /// Creates the detector of a VM that started at `started_at`.
    pub fn new(timeout: Duration, started_at: Instant) -> Self {
        Self {
            timeout,
            started_at,
            store_reached_at: started_at,
            peer_replies: ReplyTimes::default(),
        }
    }

    /// Records that the store answered a call sent at `sent_at`.
    pub fn record_store_reply(&mut self, sent_at: Instant) {
        self.store_reached_at = self.store_reached_at.max(sent_at);
    }

    /// Records that a peer answered a call sent at `sent_at`.
    pub fn record_peer_reply(&mut self, from: SocketAddr, sent_at: Instant) {
        self.peer_replies.record(from, sent_at);
    }

    /// Discards the replies of all other peers.
    pub fn retain_peers(&mut self, peers: &[WitnessId]) {
        let is_retained = |address| peers.iter().any(|peer| peer.peer_address == address);
        self.peer_replies.retain(is_retained);
    }

    /// Returns whether neither the store nor a strict majority of `peers` was reached within the
    /// timeout.
    pub fn is_isolated(&self, now: Instant, peers: &[WitnessId]) -> bool {
        if peers.is_empty() {
            return false;
        }
        let majority_reached_at = self.peer_replies.majority_replied_since(peers);
        let reached_at = self
            .store_reached_at
            .max(majority_reached_at.unwrap_or(self.started_at));
        now >= reached_at + self.timeout
    }
}

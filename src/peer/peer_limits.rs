//! Limits on the connections and requests of each peer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::clock::{Instant, SharedClock};
use crate::ids::VmId;

/// Burst of an idle peer, as seconds of its request rate.
const BURST_WINDOW_S: f64 = 2.0;
/// Connections of one peer at most; a lost connection counts until its idle timeout.
const CONNECTIONS_PER_PEER_MAX: usize = 8;

/// Connection and request limits of all peers; clones share their state.
#[derive(Debug, Clone)]
pub(super) struct PeerLimits {
    clock: SharedClock,
    requests_per_s: f64,
    peers: Arc<Mutex<HashMap<VmId, PeerUsage>>>,
}

#[derive(Debug)]
struct PeerUsage {
    /// Tokens of the peer's request rate: requests that it may send now.
    available_requests: f64,
    updated_at: Instant,
    connections: usize,
}

/// Permit for one connection, which counts against the peer's limit until dropped.
#[derive(Debug)]
pub(super) struct ConnectionPermit {
    limits: PeerLimits,
    vm: VmId,
}

impl PeerLimits {
    pub(super) fn new(clock: SharedClock, requests_per_s: u64) -> Self {
        Self {
            clock,
            requests_per_s: requests_per_s as f64,
            peers: Arc::default(),
        }
    }

    /// Returns a permit for a connection, or `None` if the peer has too many.
    pub(super) fn admit(&self, vm: &VmId) -> Option<ConnectionPermit> {
        let now = self.clock.now();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = peers.entry(vm.clone()).or_insert_with(|| PeerUsage {
            available_requests: self.burst_requests(),
            updated_at: now,
            connections: 0,
        });
        if peer.connections >= CONNECTIONS_PER_PEER_MAX {
            return None;
        }
        peer.connections += 1;
        Some(ConnectionPermit {
            limits: self.clone(),
            vm: vm.clone(),
        })
    }

    fn burst_requests(&self) -> f64 {
        self.requests_per_s * BURST_WINDOW_S
    }

    fn refill(&self, peer: &mut PeerUsage, now: Instant) {
        let elapsed = now.saturating_sub(peer.updated_at).as_secs_f64();
        peer.available_requests =
            (peer.available_requests + elapsed * self.requests_per_s).min(self.burst_requests());
        peer.updated_at = now;
    }
}

impl ConnectionPermit {
    /// Counts a request and returns whether it is within the peer's rate.
    pub(super) fn try_take_request(&self) -> bool {
        let now = self.limits.clock.now();
        let mut peers = self
            .limits
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(peer) = peers.get_mut(&self.vm) else {
            return false;
        };
        self.limits.refill(peer, now);
        let is_within_rate = peer.available_requests >= 1.0;
        if is_within_rate {
            peer.available_requests -= 1.0;
        }
        is_within_rate
    }
}

impl Drop for ConnectionPermit {
    /// Releases the connection.
    ///
    /// The peer's tokens are kept until they have refilled, so that reconnecting does not reset its
    /// rate limit.
    fn drop(&mut self) {
        let now = self.limits.clock.now();
        let burst_requests = self.limits.burst_requests();
        let mut peers = self
            .limits
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get_mut(&self.vm) {
            peer.connections = peer.connections.saturating_sub(1);
        }
        peers.retain(|_, peer| {
            self.limits.refill(peer, now);
            peer.connections > 0 || peer.available_requests < burst_requests
        });
    }
}

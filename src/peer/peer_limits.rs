//! Bounds on what one peer may send.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::clock::{Instant, SharedClock};
use crate::ids::VmId;

/// Time over which a peer that was quiet may catch up.
const BURST_S: f64 = 2.0;
/// Connections that a peer may hold; a lost one lingers until its idle timeout.
const CONNECTIONS_MAX: usize = 8;

/// What the peers have sent.
#[derive(Debug, Clone)]
pub(super) struct PeerRates {
    clock: SharedClock,
    requests_per_s: f64,
    peers: Arc<Mutex<HashMap<VmId, Peer>>>,
}

#[derive(Debug)]
struct Peer {
    /// Requests that it may send now.
    allowed: f64,
    updated_at: Instant,
    connections: usize,
}

/// Connection that counts until dropped.
#[derive(Debug)]
pub(super) struct Admitted {
    rates: PeerRates,
    vm: VmId,
}

impl PeerRates {
    pub(super) fn new(clock: SharedClock, requests_per_s: u64) -> Self {
        Self {
            clock,
            requests_per_s: requests_per_s as f64,
            peers: Arc::default(),
        }
    }

    /// Counts a connection, unless the peer holds too many.
    pub(super) fn admit(&self, vm: &VmId) -> Option<Admitted> {
        let now = self.clock.now();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = peers.entry(vm.clone()).or_insert_with(|| Peer {
            allowed: self.burst(),
            updated_at: now,
            connections: 0,
        });
        if peer.connections >= CONNECTIONS_MAX {
            return None;
        }
        peer.connections += 1;
        Some(Admitted {
            rates: self.clone(),
            vm: vm.clone(),
        })
    }

    fn burst(&self) -> f64 {
        self.requests_per_s * BURST_S
    }

    fn refill(&self, peer: &mut Peer, now: Instant) {
        let elapsed = now.saturating_sub(peer.updated_at).as_secs_f64();
        peer.allowed = (peer.allowed + elapsed * self.requests_per_s).min(self.burst());
        peer.updated_at = now;
    }
}

impl Admitted {
    /// Counts a request; returns whether it is within the peer's rate.
    pub(super) fn take_request(&self) -> bool {
        let now = self.rates.clock.now();
        let mut peers = self
            .rates
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(peer) = peers.get_mut(&self.vm) else {
            return false;
        };
        self.rates.refill(peer, now);
        let is_allowed = peer.allowed >= 1.0;
        if is_allowed {
            peer.allowed -= 1.0;
        }
        is_allowed
    }
}

impl Drop for Admitted {
    /// What a peer has used up outlives its connections, so that it gains nothing by connecting
    /// anew.
    fn drop(&mut self) {
        let now = self.rates.clock.now();
        let burst = self.rates.burst();
        let mut peers = self
            .rates
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get_mut(&self.vm) {
            peer.connections = peer.connections.saturating_sub(1);
        }
        peers.retain(|_, peer| {
            self.rates.refill(peer, now);
            peer.connections > 0 || peer.allowed < burst
        });
    }
}

//! Exchange of what VMs have seen of the origins of streams.
//!
//! A VM that starts asks a few others until one has told it of the time in which a stream may have
//! begun; the messages do not grow with the number of VMs.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use super::messages::HistoryReply;
use crate::gateway::datagram::{Message, send};
use crate::gateway::platform_api::TrackedKind;
use crate::gateway::state::Gateway;

/// Number of VMs that are asked at once.
const ASKED_VMS: usize = 2;

/// Asks other VMs what they have seen, if this VM has not seen all for long enough.
///
/// Called at intervals. Nothing is asked before the configuration and the upstreams are known, as
/// what changed between the answer and then would not be noticed.
pub(in crate::gateway) fn request_history(gateway: &Gateway, socket: &UdpSocket) {
    let now = gateway.now();
    let own_address = gateway.settings.peer_address;
    if gateway.table().is_none() {
        return;
    }
    let asked = {
        let state = gateway.state();
        let has_listing = state.mirrors.contains_key(&TrackedKind::Upstreams);
        if !has_listing || state.stream_origins.history.has_seen_all(now) {
            return;
        }
        let others = state.peers.fleet_addresses(own_address);
        let others = others.map(|(address, _)| address);
        let others = others.filter(|address| *address != own_address);
        others.choose_multiple(&mut rand::rng(), ASKED_VMS)
    };
    for address in asked {
        // If it is lost, other VMs are asked next time.
        send(socket, &Message::HistoryRequest, address);
    }
}

impl Gateway {
    /// Tells a VM that has started what this VM has seen.
    pub(in crate::gateway) fn handle_history_request(&self, from: SocketAddr) {
        // Read before the history, which is then at least as new.
        let config = self.table().map_or(0, |table| table.version);
        let now = self.now();
        let snapshot = {
            let mut state = self.state();
            state.observe_all_software(now);
            state.stream_origins.history.snapshot(now)
        };
        if let Some(socket) = self.peer_socket.get() {
            let reply = HistoryReply { config, snapshot };
            send(socket, &Message::HistoryReply(Box::new(reply)), from);
        }
    }

    /// Adds what another VM has seen, unless it is behind this VM.
    pub(in crate::gateway) fn apply_history(&self, reply: HistoryReply) {
        if self.table().is_none_or(|own| reply.config < own.version) {
            return;
        }
        let now = self.now();
        let mut state = self.state();
        state.observe_all_software(now);
        state.stream_origins.history.learn(reply.snapshot, now);
    }
}

//! News of upstreams that leave, exchanged between VMs.
//!
//! Load pattern: engines are replaced in turn in a fleet of hundreds of VMs. An engine announces its
//! leaving in its responses; without the news each VM would learn of it from a request of its own.

use tokio::net::UdpSocket;

use super::datagram::{Message, send_to_all};
use super::event_log::LogEvent;
use super::process_hash::{ProcessHash, hash_process};
use super::state::Gateway;
use super::upstream_registry::UpstreamInstance;

/// Sends the news of upstreams that leave, with a heartbeat.
pub(super) fn send_leaving_news(gateway: &Gateway, socket: &UdpSocket, sequence: u64) {
    let mut state = gateway.state();
    if state.leaving_outbox.is_empty() {
        return;
    }
    let processes = state.leaving_outbox.take();
    let own_address = gateway.settings.peer_address;
    let addresses = state
        .peers
        .news_receivers(own_address, sequence, gateway.now());
    drop(state);
    send_to_all(
        gateway,
        socket,
        &Message::LeavingNews(processes),
        &addresses,
    );
}

impl Gateway {
    /// Records the upstreams that leave as another VM has heard from them.
    ///
    /// Another process of the same upstream has another hash, so late news does not concern it.
    pub(super) fn apply_leaving_news(&self, processes: &[ProcessHash]) {
        let mut state = self.state();
        let forwards = state.peers.is_zone_representative(self.now());
        let leaving = state.upstreams.iter().filter(|upstream| {
            upstream.is_ready() && processes.contains(&hash_process(&upstream.instance))
        });
        let leaving: Vec<UpstreamInstance> =
            leaving.map(|upstream| upstream.instance.clone()).collect();
        for instance in &leaving {
            if let Some(upstream) = state.upstreams.instance_mut(instance) {
                upstream.record_leaving();
            }
            if forwards {
                state.leaving_outbox.push(hash_process(instance));
            }
        }
        drop(state);
        for instance in &leaving {
            let upstream = &instance.id;
            self.event_log.log(&LogEvent::UpstreamLeaving { upstream });
        }
        if forwards && !leaving.is_empty() {
            self.heartbeat_due.notify_one();
        }
    }
}

//! Exchange of news about crashes between VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;

use super::news::CrashNews;
use super::record::QuarantineSource;
use crate::gateway::datagram::{Message, send_to_all};
use crate::gateway::state::Gateway;

/// One in this many heartbeats of a representative repeats the states of all held parts.
const RECORDS_EVERY_HEARTBEATS: u64 = 10;

/// Sends the news that wait, with a heartbeat.
pub(in crate::gateway) fn send_crash_news(gateway: &Gateway, socket: &UdpSocket, sequence: u64) {
    let now = gateway.now();
    let own_address = gateway.settings.peer_address;
    let mut state = gateway.state();
    let is_representative = state.peers.is_zone_representative(now);
    if is_representative && sequence.is_multiple_of(RECORDS_EVERY_HEARTBEATS) {
        state.crash_guard.repeat_records(now);
    }
    if !state.crash_guard.has_news() {
        return;
    }
    let news = state.crash_guard.next_news(now);
    let addresses = state.peers.news_receivers(own_address, sequence, now);
    drop(state);
    send_news(gateway, socket, news, &addresses);
}

/// Sends the states of all held parts to a VM that has started.
pub(in crate::gateway) fn send_all_records(
    gateway: &Gateway,
    socket: &UdpSocket,
    address: SocketAddr,
) {
    let messages = gateway.state().crash_guard.all_records(gateway.now());
    for news in messages {
        send_news(gateway, socket, news, &[address]);
    }
}

fn send_news(gateway: &Gateway, socket: &UdpSocket, news: CrashNews, addresses: &[SocketAddr]) {
    if !news.is_empty() {
        let message = Message::CrashNews(Box::new(news));
        send_to_all(gateway, socket, &message, addresses);
    }
}

impl Gateway {
    /// Applies news of another VM.
    pub(in crate::gateway) fn apply_crash_news(self: &Arc<Self>, news: &CrashNews) {
        let now = self.now();
        let mut state = self.state();
        let forwards = state.peers.is_zone_representative(now);
        let changes = state.crash_guard.apply(news, forwards, now);
        let has_news = state.crash_guard.has_news();
        drop(state);
        if has_news {
            self.heartbeat_due.notify_one();
        }
        self.record_quarantine_changes(&changes, QuarantineSource::Peer);
    }
}

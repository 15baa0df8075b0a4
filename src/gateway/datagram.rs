//! Datagrams that VMs exchange.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::brittle_upstream::{SendCall, SendReply, SendReport};
use super::charge::{ChargeRequest, ChargeResponse};
use super::crash_guard::{CrashNews, Suspect};
use super::event_log::LogEvent;
use super::heartbeat::Heartbeat;
use super::model::{ServiceId, SoftwareVersion};
use super::process_hash::ProcessHash;
use super::service_rollout::{RolloutGrant, RolloutReport};
use super::state::Gateway;
use super::stream_origin::{HistoryReply, KeeperAnswer, OriginLookup, OriginRecord};
use super::upstream_capacity::LoadNews;
use super::upstream_limit::{LimitNews, PermitCall, PermitReply};

/// Maximum size of a datagram. The sums of a zone can exceed the usual MTU; a lost fragment only
/// makes the receivers use older sums for one interval.
pub(super) const DATAGRAM_MAX_BYTES: usize = 8_000;

/// Datagram exchanged between VMs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(super) enum Message {
    /// Heartbeat of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Heartbeat of another zone, forwarded within this zone.
    Forwarded(Box<Heartbeat>),
    /// Request to charge the account of a customer that the receiver owns.
    ChargeRequest(ChargeRequest),
    /// Response to a charge request.
    ChargeResponse(ChargeResponse),
    /// News about crashes of engines.
    CrashNews(Box<CrashNews>),
    /// Request to permit a trial of what is held.
    TrialRequest {
        id: u64,
        suspect: Suspect,
        round: u32,
    },
    /// Reply to the request for a trial.
    TrialReply { id: u64, is_permitted: bool },
    /// Notice that a permitted trial reached no engine.
    TrialReturn { suspect: Suspect, round: u32 },
    /// News about limits that upstreams name.
    LimitNews(Vec<LimitNews>),
    /// Request for a permit to send one request to a limited upstream.
    PermitCall(PermitCall),
    /// Reply to the request for a permit.
    PermitReply(PermitReply),
    /// Notice of a call that counts toward the limit of an upstream and needed no permit.
    PermitSpent(ProcessHash),
    /// News of upstreams that have announced their leaving.
    LeavingNews(Vec<ProcessHash>),
    /// Request to keep the origin of a stream.
    OriginRecord(OriginRecord),
    /// Reply to the request to keep the origin of a stream.
    OriginKept { id: u64, is_kept: bool },
    /// Request for the origin of a stream.
    OriginLookup(OriginLookup),
    /// Reply to the request for the origin of a stream.
    OriginAnswer { id: u64, answer: KeeperAnswer },
    /// News about brittle services.
    BrittleNews(Vec<LimitNews>),
    /// Request for a permit to send one request to a brittle upstream.
    SendCall(SendCall),
    /// Reply to the request for a permit.
    SendReply(SendReply),
    /// What became of a request with such a permit.
    SendReport(SendReport),
    /// Request of a VM that has started for what others have seen of the origins of streams.
    HistoryRequest,
    /// Reply to it.
    HistoryReply(Box<HistoryReply>),
    /// Report of a VM on a rollout to the holder of the lease.
    RolloutReport(Box<RolloutReport>),
    /// Share of a service's requests that the holder of the lease grants.
    RolloutGrant(RolloutGrant),
    /// Conclusion of a rollout that the sender has seen and the store may have lost.
    RolloutConclusion {
        service: ServiceId,
        target: SoftwareVersion,
        is_done: bool,
    },
    /// News of the loads of plain upstreams.
    LoadNews(Vec<LoadNews>),
}

/// Sends a message; returns whether it fits a datagram and the socket accepted it.
pub(super) fn send(socket: &UdpSocket, message: &Message, address: SocketAddr) -> bool {
    match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() > DATAGRAM_MAX_BYTES => false,
        Ok(bytes) => socket.try_send_to(&bytes, address).is_ok(),
        Err(_) => false,
    }
}

/// Sends a message to several VMs; the next one replaces it if it is lost.
pub(super) fn send_to_all(
    gateway: &Gateway,
    socket: &UdpSocket,
    message: &Message,
    addresses: &[SocketAddr],
) {
    if addresses.is_empty() {
        return;
    }
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= DATAGRAM_MAX_BYTES => bytes,
        Ok(bytes) => {
            let reason = format!(
                "message has {} bytes, which exceeds the maximum datagram size",
                bytes.len()
            );
            return gateway.event_log.log(&LogEvent::BeatFailed { reason });
        }
        Err(error) => {
            let reason = error.to_string();
            return gateway.event_log.log(&LogEvent::BeatFailed { reason });
        }
    };
    for address in addresses {
        // Errors are ignored: the next heartbeat replaces this one, and a peer that is down is
        // detected by its missing heartbeats.
        let _ = socket.try_send_to(&bytes, *address);
    }
}

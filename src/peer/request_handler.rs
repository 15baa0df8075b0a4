//! Handling of the requests of peers.

use std::sync::Arc;

use super::Caller;
use super::wire::{Reply, Request};
use crate::config::AdvertisedVersions;
use crate::entry::App;
use crate::ids::ObjectVersion;
use crate::limit::wire::Exchange;
use crate::membership::wire::{Heartbeat, HeartbeatReply};
use crate::telemetry::PeerDropReason;

/// Handler of the requests of peers.
#[derive(Debug, Clone)]
pub struct RequestHandler {
    /// Application state of this process.
    pub app: Arc<App>,
    /// Record of the document versions that peers advertise.
    pub advertised_versions: AdvertisedVersions,
}

impl RequestHandler {
    /// Returns the reply to a request of an authenticated VM, or `None` if the request is dropped.
    pub async fn handle(self, caller: Caller, request: Request) -> Option<Reply> {
        match request {
            Request::Heartbeat(heartbeat) => self
                .handle_heartbeat(&caller, heartbeat)
                .map(Reply::Heartbeat),
            Request::FenceVote(request) => {
                let vote = self.app.membership().vote_on_fence(&request);
                Some(Reply::FenceVote(vote))
            }
            Request::Exchange(exchange) => self.handle_exchange(&caller, &exchange),
            Request::FetchDocument { above_version } => Some(self.document_reply(above_version)),
        }
    }

    fn handle_heartbeat(&self, caller: &Caller, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        if heartbeat.sender.vm != caller.vm {
            let metrics = self.app.metrics();
            metrics.record_peer_message_drop(PeerDropReason::Foreign);
            return None;
        }
        let from = heartbeat.sender.peer_address;
        self.advertised_versions
            .record(from, heartbeat.document_version);
        self.app.membership().heartbeat_received(heartbeat)
    }

    fn handle_exchange(&self, caller: &Caller, exchange: &Exchange) -> Option<Reply> {
        let snapshot = self.app.snapshot().ok()?;
        let customer = snapshot.customer(&exchange.customer)?;
        let grant = self
            .app
            .limiter()
            .handle_exchange(&caller.vm, exchange, customer)?;
        Some(Reply::Grant(grant))
    }

    fn document_reply(&self, above_version: ObjectVersion) -> Reply {
        match self.app.snapshot() {
            Ok(snapshot) if snapshot.version > above_version => Reply::Document {
                version: snapshot.version,
                text: snapshot.document.to_ini(),
            },
            Ok(_) | Err(_) => Reply::None,
        }
    }
}

//! What is answered to each request of a peer.

use std::sync::Arc;

use super::Caller;
use super::wire::{Reply, Request};
use crate::config::Sightings;
use crate::entry::App;
use crate::ids::ObjectVersion;
use crate::limit::wire::Exchange;
use crate::membership::wire::{Heartbeat, Vouch};
use crate::telemetry::PeerDropReason;

/// Answers the requests of peers.
#[derive(Debug, Clone)]
pub struct Handler {
    /// State of this entry.
    pub app: Arc<App>,
    /// Takes the versions that peers tell of.
    pub sightings: Sightings,
}

impl Handler {
    /// Answers one request of an authenticated VM; nothing where it is dropped.
    pub async fn handle(self, caller: Caller, request: Request) -> Option<Reply> {
        match request {
            Request::Heartbeat(heartbeat) => self.heartbeat(&caller, heartbeat).map(Reply::Vouch),
            Request::MayReclaim(question) => {
                let vote = self.app.membership().may_reclaim(&question);
                Some(Reply::Reclaim(vote))
            }
            Request::Exchange(exchange) => self.exchange(&caller, &exchange),
            Request::FetchDocument { above_version } => Some(self.document(above_version)),
        }
    }

    fn heartbeat(&self, caller: &Caller, heartbeat: Heartbeat) -> Option<Vouch> {
        if heartbeat.sender.vm != caller.vm {
            let metrics = self.app.metrics();
            metrics.peer_message_dropped(PeerDropReason::Foreign);
            return None;
        }
        let from = heartbeat.sender.peer_address;
        self.sightings.add(from, heartbeat.document_version);
        self.app.membership().heartbeat_received(heartbeat)
    }

    fn exchange(&self, caller: &Caller, exchange: &Exchange) -> Option<Reply> {
        let snapshot = self.app.snapshot().ok()?;
        let customer = snapshot.customer(&exchange.customer)?;
        let grant = self
            .app
            .limiter()
            .handle_exchange(&caller.vm, exchange, customer)?;
        Some(Reply::Grant(grant))
    }

    fn document(&self, above_version: ObjectVersion) -> Reply {
        match self.app.snapshot() {
            Ok(snapshot) if snapshot.version > above_version => Reply::Document {
                version: snapshot.version,
                text: snapshot.document.to_ini(),
            },
            Ok(_) | Err(_) => Reply::None,
        }
    }
}

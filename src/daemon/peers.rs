//! Peer task of an entry: its links to peers and the handling of their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};

use crate::config::AdvertisedVersions;
use crate::entry::App;
use crate::membership::{PeerClient, PeerMessage, PeerReply};
use crate::peer::{
    Links, LinksError, LinksSettings, PROTOCOL_VERSION, REQUESTS_PER_S, Reply, Request,
    RequestHandler, TlsIdentity, serve,
};

/// Time between two updates of the gauge of bytes on open links.
const LINK_BYTES_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Links to peers and document versions seen there, shared by the tasks of an entry.
#[derive(Debug, Clone)]
pub(super) struct PeerContext {
    pub(super) links: Links,
    pub(super) advertised_versions: AdvertisedVersions,
}

impl PeerContext {
    /// Starts to listen for peers; returns `None` if the settings contain no peer address.
    pub(super) fn bind(app: &App, log: &Logger) -> Result<Option<Self>, LinksError> {
        let settings = app.settings();
        if settings.peer.address.is_none() {
            return Ok(None);
        }
        let identity = TlsIdentity::load(&settings.peer, &settings.process.vm)?;
        if identity.remaining_validity().is_none() {
            warn!(log, "certificate expired"; "not_after_s" => identity.not_after_s());
        }
        let links = Links::bind(LinksSettings {
            peer: settings.peer.clone(),
            identity,
            protocol_version: PROTOCOL_VERSION,
            requests_per_s: REQUESTS_PER_S,
            clock: app.clock().clone(),
            metrics: app.metrics().clone(),
        })?;
        app.membership().set_peer_address(links.address());
        app.holder_client().set_links(links.clone());
        Ok(Some(Self {
            advertised_versions: AdvertisedVersions::default(),
            links,
        }))
    }

    /// Handles requests of peers until the future is dropped.
    pub(super) async fn run(self, app: Arc<App>) {
        let updating_gauge = update_link_bytes_gauge(self.links.clone(), app.clone());
        let handler = RequestHandler {
            app,
            advertised_versions: self.advertised_versions,
        };
        let serving = serve(self.links, move |caller, request| {
            handler.clone().handle(caller, request)
        });
        tokio::join!(serving, updating_gauge);
    }
}

/// Updates the gauge of bytes on open links periodically.
async fn update_link_bytes_gauge(links: Links, app: Arc<App>) {
    loop {
        app.metrics().set_peer_link_bytes(links.open_bytes());
        tokio::time::sleep(LINK_BYTES_UPDATE_INTERVAL).await;
    }
}

impl PeerClient for Option<PeerContext> {
    async fn call(
        &self,
        to: SocketAddr,
        message: PeerMessage,
        timeout: Duration,
    ) -> Option<PeerReply> {
        let peers = self.as_ref()?;
        let request = match message {
            PeerMessage::Heartbeat(heartbeat) => Request::Heartbeat(heartbeat),
            PeerMessage::FenceVote(request) => Request::FenceVote(request),
        };
        match peers.links.call(to, request, timeout).await.ok()? {
            Reply::Heartbeat(reply) => {
                peers.advertised_versions.record(to, reply.document_version);
                Some(PeerReply::Heartbeat(reply))
            }
            Reply::FenceVote(vote) => Some(PeerReply::FenceVote(vote)),
            Reply::Grant(_) | Reply::Document { .. } | Reply::None => None,
        }
    }
}

//! First configuration of a process: the highest of the store and a few peers.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::{Instant as TokioInstant, sleep_until};

use super::DOCUMENT_NAME;
use super::fetch::{UncheckedDocument, fetch_document};
use crate::peer::Links;
use crate::platform::{Kind, StoreClient, StoreError};

/// Peers asked.
const START_PEERS_MAX: usize = 3;
/// How long a document that is at hand waits for a higher one.
const HIGHER_VERSION_WINDOW: Duration = Duration::from_millis(300);

/// What a process found at its start.
#[derive(Debug, Default)]
pub(super) struct InitialDocuments {
    /// Document of the store, where it answered in time.
    pub(super) stored: Option<Result<Option<UncheckedDocument>, StoreError>>,
    /// Documents of peers, the highest last.
    pub(super) from_peers: Vec<UncheckedDocument>,
}

/// Reads the store and a few peers side by side.
pub(super) async fn read_initial_documents(
    store: &StoreClient,
    links: Option<&Links>,
    hints: &[SocketAddr],
) -> InitialDocuments {
    let mut found = InitialDocuments::default();
    let stored = read_stored(store);
    let (sender, mut from_peers) = tokio::sync::mpsc::channel(1);
    let peer_fetches = fetch_from_peers(links, hints, sender);
    tokio::pin!(stored, peer_fetches);
    let (mut is_store_read_done, mut are_peer_fetches_done) = (false, false);
    let mut window_ends_at = None;
    while !(is_store_read_done && are_peer_fetches_done) {
        let window_end = sleep_until(window_ends_at.unwrap_or_else(TokioInstant::now));
        tokio::select! {
            result = &mut stored, if !is_store_read_done => {
                is_store_read_done = true;
                let has_document = matches!(result, Ok(Some(_)));
                found.stored = Some(result);
                if has_document {
                    window_ends_at.get_or_insert(TokioInstant::now() + HIGHER_VERSION_WINDOW);
                }
            }
            () = &mut peer_fetches, if !are_peer_fetches_done => are_peer_fetches_done = true,
            Some(document) = from_peers.recv() => {
                found.from_peers.push(document);
                window_ends_at.get_or_insert(TokioInstant::now() + HIGHER_VERSION_WINDOW);
            }
            () = window_end, if window_ends_at.is_some() => break,
        }
    }
    while let Ok(document) = from_peers.try_recv() {
        found.from_peers.push(document);
    }
    found
}

/// Reads the stored document.
pub(super) async fn read_stored(
    store: &StoreClient,
) -> Result<Option<UncheckedDocument>, StoreError> {
    let object = store.get(Kind::Document, DOCUMENT_NAME).await?;
    Ok(object.map(|object| UncheckedDocument {
        version: object.version,
        text: object.value,
    }))
}

/// Asks peers in turn, each for a document above those before.
async fn fetch_from_peers(
    links: Option<&Links>,
    hints: &[SocketAddr],
    found: tokio::sync::mpsc::Sender<UncheckedDocument>,
) {
    let Some(links) = links else {
        return;
    };
    let others = hints.iter().filter(|hint| **hint != links.address());
    let mut above_version = 0;
    let asked = others.choose_multiple(&mut rand::rng(), START_PEERS_MAX);
    for from in asked {
        if let Ok(Some(document)) = fetch_document(links, *from, above_version).await
            && document.version > above_version
        {
            above_version = document.version;
            // The receiver is gone only when the search has ended.
            let _ = found.send(document).await;
        }
    }
}

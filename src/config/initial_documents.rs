//! Configuration documents that a process reads at its start, from the store and a few peers.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::{Instant as TokioInstant, sleep_until};

use super::DOCUMENT_NAME;
use super::fetch::{UncheckedDocument, fetch_document};
use crate::peer::Links;
use crate::platform::{Kind, StoreClient, StoreError};

/// Maximum number of peers from which a starting process fetches a document.
const START_PEERS_MAX: usize = 3;
/// Time to wait for a higher version after the first document has arrived.
const HIGHER_VERSION_WINDOW: Duration = Duration::from_millis(300);

/// Documents that were read before the window for higher versions ended.
#[derive(Debug, Default)]
pub(super) struct InitialDocuments {
    /// Result of reading the store; `None` if the store did not respond in time.
    pub(super) stored: Option<Result<Option<UncheckedDocument>, StoreError>>,
    /// Documents of peers in ascending order of their versions.
    pub(super) from_peers: Vec<UncheckedDocument>,
}

/// Reads the document from the store and from a few peers concurrently.
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

/// Reads the current document from the store; returns `None` if the store has none.
pub(super) async fn read_stored(
    store: &StoreClient,
) -> Result<Option<UncheckedDocument>, StoreError> {
    let object = store.get(Kind::Document, DOCUMENT_NAME).await?;
    Ok(object.map(|object| UncheckedDocument {
        version: object.version,
        text: object.value,
    }))
}

/// Fetches documents from randomly chosen peers one after the other, and sends them to `found`.
///
/// Only versions above those already fetched are requested.
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
    let selected = others.choose_multiple(&mut rand::rng(), START_PEERS_MAX);
    for from in selected {
        if let Ok(Some(document)) = fetch_document(links, *from, above_version).await
            && document.version > above_version
        {
            above_version = document.version;
            // Sending fails only after the caller has stopped reading.
            let _ = found.send(document).await;
        }
    }
}

//! First configuration of a process: the highest of the store and a few peers.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::{Instant as TokioInstant, sleep_until};

use super::DOCUMENT_NAME;
use super::fetch::{Fetched, fetch};
use crate::peer::Links;
use crate::platform::{Kind, StoreClient, StoreError};

/// Peers asked.
const PEERS_MAX: usize = 3;
/// How long a document that is at hand waits for a higher one.
const WINDOW: Duration = Duration::from_millis(300);

/// What a process found at its start.
#[derive(Debug, Default)]
pub(super) struct Found {
    /// Document of the store, where it answered in time.
    pub(super) stored: Option<Result<Option<Fetched>, StoreError>>,
    /// Documents of peers, the highest last.
    pub(super) of_peers: Vec<Fetched>,
}

/// Reads the store and a few peers side by side.
pub(super) async fn find(
    store: &StoreClient,
    links: Option<&Links>,
    hints: &[SocketAddr],
) -> Found {
    let mut found = Found::default();
    let stored = read(store);
    let (sender, mut of_peers) = tokio::sync::mpsc::channel(1);
    let asking = ask(links, hints, sender);
    tokio::pin!(stored, asking);
    let (mut is_store_done, mut are_peers_done) = (false, false);
    let mut closes_at = None;
    while !(is_store_done && are_peers_done) {
        let window = sleep_until(closes_at.unwrap_or_else(TokioInstant::now));
        tokio::select! {
            result = &mut stored, if !is_store_done => {
                is_store_done = true;
                let has_document = matches!(result, Ok(Some(_)));
                found.stored = Some(result);
                if has_document {
                    closes_at.get_or_insert(TokioInstant::now() + WINDOW);
                }
            }
            () = &mut asking, if !are_peers_done => are_peers_done = true,
            Some(document) = of_peers.recv() => {
                found.of_peers.push(document);
                closes_at.get_or_insert(TokioInstant::now() + WINDOW);
            }
            () = window, if closes_at.is_some() => break,
        }
    }
    while let Ok(document) = of_peers.try_recv() {
        found.of_peers.push(document);
    }
    found
}

/// Reads the stored document.
pub(super) async fn read(store: &StoreClient) -> Result<Option<Fetched>, StoreError> {
    let object = store.get(Kind::Document, DOCUMENT_NAME).await?;
    Ok(object.map(|object| Fetched {
        version: object.version,
        text: object.value,
    }))
}

/// Asks peers in turn, each for a document above those before.
async fn ask(
    links: Option<&Links>,
    hints: &[SocketAddr],
    found: tokio::sync::mpsc::Sender<Fetched>,
) {
    let Some(links) = links else {
        return;
    };
    let others = hints.iter().filter(|hint| **hint != links.address());
    let mut above_version = 0;
    let asked = others.choose_multiple(&mut rand::rng(), PEERS_MAX);
    for from in asked {
        if let Ok(Some(document)) = fetch(links, *from, above_version).await
            && document.version > above_version
        {
            above_version = document.version;
            // The receiver is gone only when the search has ended.
            let _ = found.send(document).await;
        }
    }
}

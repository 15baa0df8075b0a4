//! Following the store through another VM of the zone, which spares calls to the store.
//!
//! One VM of each zone watches the store. The others wait for the same changes at that VM, over the
//! zone's own network. A VM whose relay falls silent or lags watches the store itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use serde::de::DeserializeOwned;

use super::platform_api::{ChangeBatch, Listing, TrackedKind};
use super::pool::connect;
use super::response;
use super::state::Gateway;
use crate::ids::ObjectVersion;

/// Longest wait for changes in one call, as short as that of a watch at the store.
const WAIT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time that an answer may take beyond its wait.
const RESPONSE_TIME_MARGIN: Duration = Duration::from_millis(700);
/// Largest answer of a peer.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Start of the paths at which a VM tells what it has seen of the store.
const SEEN_PATH: &str = "/seen/";
/// Status of an answer that cannot name all changes.
const STATUS_GONE: u16 = 410;

/// Reads all objects of a kind from a peer.
///
/// # Errors
///
/// Returns why there is no whole answer.
pub(super) async fn read_listing(
    peer: SocketAddr,
    tracked: TrackedKind,
) -> Result<Listing, String> {
    let path = format!("{SEEN_PATH}{}", tracked.name());
    with_timeout(RESPONSE_TIME_MARGIN, get(peer, path)).await
}

/// Waits at a peer for changes of a kind.
///
/// # Errors
///
/// Returns why there is no whole answer.
pub(super) async fn watch(
    peer: SocketAddr,
    tracked: TrackedKind,
    after: ObjectVersion,
) -> Result<ChangeBatch, String> {
    let path = format!("{SEEN_PATH}{}?after={after}", tracked.name());
    with_timeout(WAIT_TIMEOUT + RESPONSE_TIME_MARGIN, get(peer, path)).await
}

/// Answers a peer that asks what this VM has seen of the store.
pub(super) async fn respond_to_peer(
    gateway: &Arc<Gateway>,
    path: &str,
    query: Option<&str>,
) -> Option<Response<Body>> {
    let name = path.strip_prefix(SEEN_PATH)?;
    let tracked = TrackedKind::ALL
        .into_iter()
        .find(|tracked| tracked.name() == name)?;
    let after = query.and_then(|query| query.strip_prefix("after=")?.parse().ok());
    let body = match after {
        Some(after) => to_json(wait_for_changes(gateway, tracked, after).await),
        None => to_json(gateway.listing(tracked)),
    };
    Some(match body {
        Ok(Some(body)) => response::text_response(200, "application/json", body),
        Ok(None) => response::text_response(STATUS_GONE, "text/plain", String::new()),
        Err(error) => response::text_response(500, "text/plain", error.to_string()),
    })
}

/// Waits until there are changes after a revision, but not for long.
async fn wait_for_changes(
    gateway: &Arc<Gateway>,
    tracked: TrackedKind,
    after: ObjectVersion,
) -> Option<ChangeBatch> {
    let until = gateway.now() + WAIT_TIMEOUT;
    loop {
        let mut seen = std::pin::pin!(gateway.mirror_changed.notified());
        seen.as_mut().enable();
        let changes = gateway
            .state()
            .mirrors
            .get(&tracked)?
            .changes_after(after)?;
        let left = until.saturating_sub(gateway.now());
        if !changes.changes.is_empty() || left.is_zero() {
            return Some(changes);
        }
        // The end of the wait is no failure: it answers with what there is.
        let _ = tokio::time::timeout(left, seen).await;
    }
}

fn to_json<T: serde::Serialize>(value: Option<T>) -> Result<Option<String>, serde_json::Error> {
    value.map(|value| serde_json::to_string(&value)).transpose()
}

async fn with_timeout<T>(
    time: Duration,
    work: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let result = tokio::time::timeout(time, work).await;
    result.unwrap_or_else(|_| Err("no answer in time".into()))
}

async fn get<T: DeserializeOwned>(peer: SocketAddr, path: String) -> Result<T, String> {
    let mut connection = connect(peer).await.map_err(|error| error.to_string())?;
    let request = Request::get(path)
        .header(http::header::HOST, peer.to_string())
        .body(Full::<Bytes>::default())
        .map_err(|error| error.to_string())?;
    let response = connection
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}

//! Watching of the store through another VM of the zone, which reduces calls to the store.
//!
//! One VM of each zone, the store relay, watches the store. The others wait for the same changes at
//! that VM, over the network of the zone. A VM whose relay stops responding or lags behind watches
//! the store itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::mirror_updates::TargetTimes;
use super::model::WeightNumber;
use super::platform_api::{ChangeBatch, Listing, TrackedKind};
use super::pool::{Connection, connect};
use super::response;
use super::service_rollout::RolloutProgress;
use super::state::Gateway;
use crate::clock::Instant;
use crate::ids::{ModelId, ObjectVersion};

/// Maximum wait for changes in one call; equals the shortest maximum of a watch at the store.
const WAIT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time that a response may take beyond the wait.
const RESPONSE_TIME_MARGIN: Duration = Duration::from_millis(700);
/// Maximum size of a peer's response.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Prefix of the paths at which a VM serves its mirrors of the store.
const SEEN_PATH: &str = "/seen/";
/// Path at which a VM states how far the rollouts are that it conducts.
const ROLLOUTS_PATH: &str = "/rollouts";
/// Query of a call that waits for changes; the revision follows.
const WATCH_QUERY: &str = "after=";
/// Query of a call that returns the changes so far; the revision follows.
const CHANGES_QUERY: &str = "since=";
/// Status returned if this VM has no listing, or no longer keeps all changes after the revision.
const STATUS_GONE: u16 = 410;

/// Response of a peer with the age of its knowledge.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct PeerAnswer<T> {
    content: T,
    /// Time since the store confirmed that there are no newer objects.
    confirmed_age_ms: u64,
    /// Time since target weights of each model were set, replaced ones included.
    target_ages_ms: Vec<(ModelId, WeightNumber, u64)>,
}

/// [`PeerAnswer`] with ages converted to times of this VM's clock.
#[derive(Debug)]
pub(super) struct ReceivedAnswer<T> {
    pub(super) content: T,
    pub(super) confirmed_at: Instant,
    pub(super) target_times: TargetTimes,
}

impl<T> PeerAnswer<T> {
    /// Converts the ages to times of this VM's clock.
    pub(super) fn received_at(self, now: Instant) -> ReceivedAnswer<T> {
        let at = |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        let target_times = self
            .target_ages_ms
            .into_iter()
            .map(|(model, weights, age_ms)| (model, weights, at(age_ms)));
        ReceivedAnswer {
            content: self.content,
            confirmed_at: at(self.confirmed_age_ms),
            target_times: TargetTimes {
                default: now,
                known: target_times.collect(),
            },
        }
    }
}

/// Client of one peer's mirrors, which keeps its connection for the next call.
#[derive(Debug)]
pub(super) struct RelayClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl RelayClient {
    /// Creates a client, which connects on the first call.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Returns the address of the peer.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns why no complete response was received.
    pub(super) async fn listing(
        &mut self,
        tracked: TrackedKind,
    ) -> Result<PeerAnswer<Listing>, String> {
        let path = format!("{SEEN_PATH}{}", tracked.name());
        let answer = self.get(path, RESPONSE_TIME_MARGIN).await?;
        answer.ok_or_else(|| "the peer has no listing yet".into())
    }

    /// Waits for changes of a kind after a revision.
    ///
    /// Returns `None` if the peer does not keep all changes after the revision.
    ///
    /// # Errors
    ///
    /// Returns why no complete response was received.
    pub(super) async fn watch(
        &mut self,
        tracked: TrackedKind,
        after: ObjectVersion,
    ) -> Result<Option<PeerAnswer<ChangeBatch>>, String> {
        let path = format!("{SEEN_PATH}{}?{WATCH_QUERY}{after}", tracked.name());
        self.get(path, WAIT_TIMEOUT + RESPONSE_TIME_MARGIN).await
    }

    /// Reads the changes of a kind after a revision, without waiting for any.
    ///
    /// Returns `None` if the peer does not keep all of them.
    ///
    /// # Errors
    ///
    /// Returns why no complete response was received.
    pub(super) async fn changes(
        &mut self,
        tracked: TrackedKind,
        after: ObjectVersion,
    ) -> Result<Option<PeerAnswer<ChangeBatch>>, String> {
        let path = format!("{SEEN_PATH}{}?{CHANGES_QUERY}{after}", tracked.name());
        self.get(path, RESPONSE_TIME_MARGIN).await
    }

    /// Reads how far the rollouts are that the peer conducts.
    ///
    /// # Errors
    ///
    /// Returns why no complete response was received.
    pub(super) async fn rollout_progress(&mut self) -> Result<Vec<RolloutProgress>, String> {
        let answer = self.get(ROLLOUTS_PATH.to_owned(), RESPONSE_TIME_MARGIN);
        Ok(answer.await?.unwrap_or_default())
    }

    async fn get<T: DeserializeOwned>(
        &mut self,
        path: String,
        timeout: Duration,
    ) -> Result<Option<T>, String> {
        let exchange = async {
            let kept = self.connection.take().filter(Connection::is_open);
            let mut connection = match kept {
                Some(connection) => connection,
                None => connect(self.address)
                    .await
                    .map_err(|error| error.to_string())?,
            };
            let body = exchange(&mut connection, self.address, path).await?;
            self.connection = Some(connection);
            let parsed = body.map(|body| serde_json::from_slice(&body));
            parsed.transpose().map_err(|error| error.to_string())
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        result.unwrap_or_else(|_| Err("no response in time".into()))
    }
}

/// Responds to a peer that reads this VM's mirrors of the store; returns `None` for other paths.
pub(super) async fn respond_to_peer(
    gateway: &Arc<Gateway>,
    path: &str,
    query: Option<&str>,
) -> Option<Response<Body>> {
    if path == ROLLOUTS_PATH {
        let progress = gateway.state().rollouts.progress.clone();
        return Some(json_response(to_json(Some(progress))));
    }
    let name = path.strip_prefix(SEEN_PATH)?;
    let tracked = TrackedKind::ALL
        .into_iter()
        .find(|tracked| tracked.name() == name)?;
    let revision_in = |prefix: &str| query?.strip_prefix(prefix)?.parse::<ObjectVersion>().ok();
    let body = match (revision_in(WATCH_QUERY), revision_in(CHANGES_QUERY)) {
        (Some(after), _) => {
            let changes = wait_for_changes(gateway, tracked, after, WAIT_TIMEOUT).await;
            to_json(gateway.peer_answer(tracked, changes))
        }
        (None, Some(after)) => {
            let changes = wait_for_changes(gateway, tracked, after, Duration::ZERO).await;
            to_json(gateway.peer_answer(tracked, changes))
        }
        (None, None) => to_json(gateway.peer_answer(tracked, gateway.listing(tracked))),
    };
    Some(json_response(body))
}

fn json_response(body: Result<Option<String>, serde_json::Error>) -> Response<Body> {
    match body {
        Ok(Some(body)) => response::text_response(200, "application/json", body),
        Ok(None) => response::text_response(STATUS_GONE, "text/plain", String::new()),
        Err(error) => response::text_response(500, "text/plain", error.to_string()),
    }
}

/// Waits until there are changes after a revision or the time has passed.
///
/// Returns `None` if there is no listing or some of the changes are no longer kept.
async fn wait_for_changes(
    gateway: &Arc<Gateway>,
    tracked: TrackedKind,
    after: ObjectVersion,
    wait: Duration,
) -> Option<ChangeBatch> {
    let until = gateway.now() + wait;
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
        // A timeout is not an error: the next pass returns an empty list of changes.
        let _ = tokio::time::timeout(left, seen).await;
    }
}

impl Gateway {
    /// Adds the age of this VM's knowledge to a response for a peer.
    fn peer_answer<T>(&self, tracked: TrackedKind, content: Option<T>) -> Option<PeerAnswer<T>> {
        let now = self.now();
        let age_ms = |at: Instant| now.saturating_sub(at).as_millis() as u64;
        let state = self.state();
        let histories = state
            .weight_histories
            .iter()
            .filter(|_| tracked == TrackedKind::Weights);
        let target_ages = histories.flat_map(|(model, history)| {
            let versions = history.versions().iter();
            versions.map(|(weights, set_at)| (model.clone(), *weights, age_ms(*set_at)))
        });
        Some(PeerAnswer {
            content: content?,
            confirmed_age_ms: state.confirmed_at.get(&tracked).copied().map_or(0, age_ms),
            target_ages_ms: target_ages.collect(),
        })
    }
}

fn to_json<T: serde::Serialize>(value: Option<T>) -> Result<Option<String>, serde_json::Error> {
    value.map(|value| serde_json::to_string(&value)).transpose()
}

/// Makes a call to a peer; returns `None` if it responds that it does not keep what was asked for.
async fn exchange(
    connection: &mut Connection,
    peer: SocketAddr,
    path: String,
) -> Result<Option<Bytes>, String> {
    let request = Request::get(path)
        .header(http::header::HOST, peer.to_string())
        .body(Full::<Bytes>::default())
        .map_err(|error| error.to_string())?;
    let response = connection
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    if !status.is_success() && status.as_u16() != STATUS_GONE {
        return Err(format!("expected a 2xx status, got {status}"));
    }
    let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(status.is_success().then(|| body.to_bytes()))
}

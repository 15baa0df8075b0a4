//! Task that follows the document and sends orders to engines while the lease is held.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use serde_json::json;
use slog::{info, warn};

use super::{
    EngineState, EngineTarget, HeldTerm, LeaseView, LoadOrder, OrderOutcome, RolloutCore,
    RolloutSettings,
};
use crate::config::DOCUMENT_NAME;
use crate::document::{Document, Upstream, UpstreamKind, UpstreamState};
use crate::idempotency::prune_claims;
use crate::ids::{FencingNumber, UpstreamId};
use crate::platform::{Kind, StoreClient};
use crate::supervisor::{StopSignal, SupervisorContext};
use crate::upstream::{ConnectionReuse, SendError, UpstreamClient};

/// Time that a claim on an idempotency key is kept after its last change.
const CLAIM_RETENTION: Duration = Duration::from_secs(30 * 60);
/// Time between two polls of the state machine and of the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that one watch call waits for a change of the document.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next watch call after a failed one.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Largest accepted response body of an engine.
const RESPONSE_MAX_BYTES: usize = 65_536;

/// Task that sends orders to load weights to the engines.
#[derive(Debug, Clone)]
pub struct RolloutTask {
    /// Lease that authorizes the orders.
    pub lease: LeaseView,
    /// Durations and limits of the rollout.
    pub settings: RolloutSettings,
    /// Client of the store that holds the document and the idempotency claims.
    pub store: StoreClient,
    /// HTTP client for the engines.
    pub client: UpstreamClient,
    /// Clock and log of the process.
    pub context: SupervisorContext,
}

struct Term<'a> {
    task: &'a RolloutTask,
    fencing: FencingNumber,
    state: Mutex<TermState>,
}

struct TermState {
    core: RolloutCore,
    upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl RolloutTask {
    /// Runs until `stop` is raised.
    pub async fn run(self, stop: StopSignal) {
        tokio::select! {
            () = self.run_terms() => {}
            () = stop.raised() => {}
        }
    }

    async fn run_terms(&self) {
        loop {
            if let Some(fencing) = self.lease.fencing_number() {
                let term = Term::new(self, fencing);
                tokio::select! {
                    () = term.follow_document() => {}
                    () = term.poll_and_order() => {}
                    () = self.prune_claims() => {}
                    () = self.wait_for_term_end(fencing) => {}
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn prune_claims(&self) {
        let clock = self.context.clock.clone();
        prune_claims(self.store.clone(), clock, CLAIM_RETENTION).await;
    }

    async fn wait_for_term_end(&self, fencing: FencingNumber) {
        while self.lease.fencing_number() == Some(fencing) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl<'a> Term<'a> {
    fn new(task: &'a RolloutTask, fencing: FencingNumber) -> Self {
        let state = TermState {
            core: RolloutCore::new(task.settings, task.context.clock.now()),
            upstreams: BTreeMap::new(),
        };
        Self {
            task,
            fencing,
            state: Mutex::new(state),
        }
    }

    /// Watches the stored document and applies each version of it.
    async fn follow_document(&self) {
        let mut after = 0;
        loop {
            let store = &self.task.store;
            let Ok(listing) = store.watch(Kind::Document, after, WATCH_TIMEOUT).await else {
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
                continue;
            };
            after = listing.version;
            let mut items = listing.items.into_iter();
            if let Some(object) = items.find(|object| object.name == DOCUMENT_NAME) {
                self.configure(&object.value);
            }
        }
    }

    fn configure(&self, text: &str) {
        let Ok(document) = Document::parse(text) else {
            warn!(
                self.task.context.log,
                "document invalid; keeping the previous rollout targets"
            );
            return;
        };
        let mut state = self.state();
        let is_engine = |upstream: &Upstream| upstream.kind == UpstreamKind::Engine;
        let engines = document.upstreams.iter().filter(|(_, u)| is_engine(u));
        let targets = engines
            .clone()
            .map(|(id, upstream)| (id.clone(), engine_target(&document, upstream)));
        state
            .core
            .configure(self.task.context.clock.now(), targets.collect());
        let known = engines.map(|(id, upstream)| (id.clone(), upstream.clone()));
        state.upstreams.extend(known);
    }

    async fn poll_and_order(&self) {
        loop {
            self.read_due_engines().await;
            self.send_due_orders().await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn read_due_engines(&self) {
        let due = self.state().core.due_reads(self.task.context.clock.now());
        let reads = due.iter().map(|id| async move {
            let state = self.read_engine(id).await;
            let now = self.task.context.clock.now();
            self.state().core.state_read(now, id, state);
        });
        join_all(reads).await;
    }

    async fn send_due_orders(&self) {
        let mut orders = Vec::new();
        while let Some(order) = self.next_order() {
            orders.push(order);
        }
        let sends = orders.iter().map(|order| async move {
            let outcome = self.send_order(order).await;
            info!(self.task.context.log, "order"; "engine" => &order.engine,
                "weight_version" => &order.weight_version, "fencing_number" => order.fencing,
                "answer" => outcome_name(&outcome));
            let now = self.task.context.clock.now();
            self.state()
                .core
                .order_completed(now, &order.engine, outcome);
        });
        join_all(sends).await;
    }

    fn next_order(&self) -> Option<LoadOrder> {
        let held = self.held()?;
        let now = self.task.context.clock.now();
        self.state().core.next_order(now, held)
    }

    /// Returns the held term if it is still this one.
    fn held(&self) -> Option<HeldTerm> {
        let held = self.task.lease.held()?;
        Some(held).filter(|held| held.fencing_number == self.fencing)
    }

    async fn read_engine(&self, id: &UpstreamId) -> Option<EngineState> {
        let request = self.request(id, None)?;
        self.call(request).await.ok()?.1
    }

    /// Sends an order, unless the lease no longer permits it just before sending.
    async fn send_order(&self, order: &LoadOrder) -> OrderOutcome {
        let body = json!({
            "fencing": order.fencing,
            "order": { "load_weights": {
                "model": order.model,
                "weight_version": order.weight_version,
            } },
        });
        let Some(request) = self.request(&order.engine, Some(body.to_string())) else {
            return OrderOutcome::NotSent;
        };
        let now = self.task.context.clock.now();
        let may_send = |held| self.task.settings.may_send(order.fencing_check, held, now);
        if !self.held().is_some_and(may_send) {
            return OrderOutcome::NotSent;
        }
        match self.call(request).await {
            Ok((StatusCode::OK, Some(state))) => OrderOutcome::Accepted(state),
            Ok((StatusCode::CONFLICT, _)) => OrderOutcome::Refused,
            Err(SendError::Connect) => OrderOutcome::NotSent,
            Ok(_) | Err(_) => OrderOutcome::Unknown,
        }
    }

    fn request(&self, id: &UpstreamId, order: Option<String>) -> Option<Request<Full<Bytes>>> {
        let state = self.state();
        let upstream = state.upstreams.get(id)?;
        let uri = format!("http://{}/orders", upstream.address);
        let mut request = match order {
            Some(_) => Request::post(uri).header(CONTENT_TYPE, "application/json"),
            None => Request::get(uri),
        };
        if let Some(credential) = &upstream.credential {
            request = request.header(AUTHORIZATION, format!("Bearer {credential}"));
        }
        request.body(Full::from(order.unwrap_or_default())).ok()
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Option<EngineState>), SendError> {
        // The order is sent within half of the margin, well before a lease with that margin left
        // expires.
        let timeout = self.task.settings.lease_margin / 2;
        let response = self
            .task
            .client
            .send(request, ConnectionReuse::Fresh, timeout);
        let response = response.await?.response;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES).collect();
        let body = tokio::time::timeout(timeout, body).await;
        let body = body.ok().and_then(Result::ok);
        let state = body.and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
        Ok((status, state))
    }

    fn state(&self) -> MutexGuard<'_, TermState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the rollout target of an engine, which has no weight version if its models name several
/// versions or it is leaving.
fn engine_target(document: &Document, upstream: &Upstream) -> EngineTarget {
    let models = upstream.models.iter();
    let mut versions = models.filter_map(|model| document.models.get(model));
    let first = versions.next().map(|model| model.weight_version.clone());
    let is_single_version = versions.all(|model| Some(&model.weight_version) == first.as_ref());
    let is_order_target = is_single_version && upstream.state == UpstreamState::Serving;
    EngineTarget {
        models: upstream.models.clone(),
        weight_version: first.filter(|_| is_order_target),
        fencing: upstream.fencing,
    }
}

fn outcome_name(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted(_) => "accepted",
        OrderOutcome::Refused => "refused",
        OrderOutcome::NotSent => "not_sent",
        OrderOutcome::Unknown => "lost",
    }
}

//! Task that follows the document and gives orders to engines while the lease is held.

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
    EngineState, Held, LeaseView, LoadOrder, OrderAnswer, RolloutCore, RolloutSettings, Target,
};
use crate::config::DOCUMENT_NAME;
use crate::document::{Document, Upstream, UpstreamKind, UpstreamState};
use crate::idempotency::prune_claims;
use crate::ids::{FencingNumber, UpstreamId};
use crate::platform::{Kind, StoreClient};
use crate::supervisor::{StopSignal, SupervisorContext};
use crate::upstream::{ConnectionReuse, SendError, UpstreamClient};

/// How long a claim on an idempotency key is kept after its last change.
const CLAIM_RETENTION: Duration = Duration::from_secs(30 * 60);
/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(100);
/// Wait for changes of the document.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Wait after a failed watch.
const WATCH_RETRY: Duration = Duration::from_secs(1);
/// Largest answer of an engine.
const ANSWER_MAX_BYTES: usize = 65_536;

/// Task that gives orders to engines.
#[derive(Debug, Clone)]
pub struct OrderGiver {
    /// Lease that it acts under.
    pub lease: LeaseView,
    /// Times and bounds.
    pub settings: RolloutSettings,
    /// Store that keeps the document and the claims.
    pub store: StoreClient,
    /// Client of the engines.
    pub client: UpstreamClient,
    /// Clock and log.
    pub context: SupervisorContext,
}

struct Term<'a> {
    giver: &'a OrderGiver,
    fencing: FencingNumber,
    state: Mutex<TermState>,
}

struct TermState {
    core: RolloutCore,
    upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl OrderGiver {
    /// Runs until asked to end.
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
                    () = term.follow() => {}
                    () = term.roll() => {}
                    () = self.prune() => {}
                    () = self.term_ended(fencing) => {}
                }
            }
            tokio::time::sleep(STEP).await;
        }
    }

    async fn prune(&self) {
        let clock = self.context.clock.clone();
        prune_claims(self.store.clone(), clock, CLAIM_RETENTION).await;
    }

    async fn term_ended(&self, fencing: FencingNumber) {
        while self.lease.fencing_number() == Some(fencing) {
            tokio::time::sleep(STEP).await;
        }
    }
}

impl<'a> Term<'a> {
    fn new(giver: &'a OrderGiver, fencing: FencingNumber) -> Self {
        let state = TermState {
            core: RolloutCore::new(giver.settings, giver.context.clock.now()),
            upstreams: BTreeMap::new(),
        };
        Self {
            giver,
            fencing,
            state: Mutex::new(state),
        }
    }

    /// Follows the stored document.
    async fn follow(&self) {
        let mut after = 0;
        loop {
            let store = &self.giver.store;
            let Ok(listing) = store.watch(Kind::Document, after, WATCH_WAIT).await else {
                tokio::time::sleep(WATCH_RETRY).await;
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
            warn!(self.giver.context.log, "document of no use for orders");
            return;
        };
        let mut state = self.state();
        let is_engine = |upstream: &Upstream| upstream.kind == UpstreamKind::Engine;
        let engines = document.upstreams.iter().filter(|(_, u)| is_engine(u));
        let targets = engines
            .clone()
            .map(|(id, upstream)| (id.clone(), target(&document, upstream)));
        state
            .core
            .configure(self.giver.context.clock.now(), targets.collect());
        let known = engines.map(|(id, upstream)| (id.clone(), upstream.clone()));
        state.upstreams.extend(known);
    }

    async fn roll(&self) {
        loop {
            self.read_due().await;
            self.give_orders().await;
            tokio::time::sleep(STEP).await;
        }
    }

    async fn read_due(&self) {
        let due = self.state().core.due_reads(self.giver.context.clock.now());
        let reads = due.iter().map(|id| async move {
            let answer = self.read(id).await;
            let now = self.giver.context.clock.now();
            self.state().core.state_read(now, id, answer);
        });
        join_all(reads).await;
    }

    async fn give_orders(&self) {
        let mut orders = Vec::new();
        while let Some(order) = self.next_order() {
            orders.push(order);
        }
        let sends = orders.iter().map(|order| async move {
            let answer = self.send(order).await;
            info!(self.giver.context.log, "order"; "engine" => &order.engine,
                "weight_version" => &order.weight_version, "fencing_number" => order.fencing,
                "answer" => answer_name(&answer));
            let now = self.giver.context.clock.now();
            self.state().core.order_answered(now, &order.engine, answer);
        });
        join_all(sends).await;
    }

    fn next_order(&self) -> Option<LoadOrder> {
        let held = self.held()?;
        let now = self.giver.context.clock.now();
        self.state().core.next_order(now, held)
    }

    /// Returns this term while it is held.
    fn held(&self) -> Option<Held> {
        let held = self.giver.lease.held()?;
        Some(held).filter(|held| held.fencing_number == self.fencing)
    }

    async fn read(&self, id: &UpstreamId) -> Option<EngineState> {
        let request = self.request(id, None)?;
        self.call(request).await.ok()?.1
    }

    /// Sends an order, if the lease still allows it just before.
    async fn send(&self, order: &LoadOrder) -> OrderAnswer {
        let body = json!({
            "fencing": order.fencing,
            "order": { "load_weights": {
                "model": order.model,
                "weight_version": order.weight_version,
            } },
        });
        let Some(request) = self.request(&order.engine, Some(body.to_string())) else {
            return OrderAnswer::NotSent;
        };
        let now = self.giver.context.clock.now();
        let may_send = |held| self.giver.settings.may_send(order.fencing_check, held, now);
        if !self.held().is_some_and(may_send) {
            return OrderAnswer::NotSent;
        }
        match self.call(request).await {
            Ok((StatusCode::OK, Some(state))) => OrderAnswer::Accepted(state),
            Ok((StatusCode::CONFLICT, _)) => OrderAnswer::Refused,
            Err(SendError::Connect) => OrderAnswer::NotSent,
            Ok(_) | Err(_) => OrderAnswer::Lost,
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
        // An order is over well before a margin's worth of lease has passed.
        let timeout = self.giver.settings.lease_margin / 2;
        let answer = self
            .giver
            .client
            .send(request, ConnectionReuse::Fresh, timeout);
        let response = answer.await?.response;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES).collect();
        let body = tokio::time::timeout(timeout, body).await;
        let body = body.ok().and_then(Result::ok);
        let state = body.and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
        Ok((status, state))
    }

    fn state(&self) -> MutexGuard<'_, TermState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what an engine should have; nothing where its models name several versions.
fn target(document: &Document, upstream: &Upstream) -> Target {
    let models = upstream.models.iter();
    let mut versions = models.filter_map(|model| document.models.get(model));
    let first = versions.next().map(|model| model.weight_version.clone());
    let is_one = versions.all(|model| Some(&model.weight_version) == first.as_ref());
    let takes_orders = is_one && upstream.state == UpstreamState::Serving;
    Target {
        models: upstream.models.clone(),
        weight_version: first.filter(|_| takes_orders),
        fencing: upstream.fencing,
    }
}

fn answer_name(answer: &OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted(_) => "accepted",
        OrderAnswer::Refused => "refused",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::Lost => "lost",
    }
}

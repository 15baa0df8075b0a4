//! State of an engine and the path of a request through it.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode};
use serde_json::json;
use tokio::sync::watch;

use super::cache::{PIECE_TOKENS, Piece, PrefixCache, piece_chain};
use super::call::Call;
use super::control::{LoadReport, Role};
use super::run::{Run, answer};
use super::slots::Slots;
use super::{EngineSettings, EngineTotals};
use crate::fault::{FaultHandle, lock};
use crate::http::{Handler, Reply, SeenRequest, json, named_error};

/// Requests kept for inspection.
const REQUESTS_MAX: usize = 1_000;
/// Shortest prefill that is waited for; shorter ones are lost in the timer's steps.
const PREFILL_MIN: Duration = Duration::from_millis(1);

pub(crate) struct State {
    pub(crate) settings: EngineSettings,
    pub(crate) faults: FaultHandle,
    pub(super) slots: Slots,
    pub(super) inner: Mutex<Inner>,
}

pub(super) struct Inner {
    pub(super) incarnation: u64,
    pub(super) weight_version: String,
    pub(super) fencing: u64,
    pub(super) role: Role,
    pub(super) load_number: u64,
    pub(super) loading: bool,
    pub(super) cache: PrefixCache,
    pub(super) reports: VecDeque<(Instant, LoadReport)>,
    pub(super) stale_report: Option<LoadReport>,
    pub(super) running: HashMap<String, watch::Sender<bool>>,
    pub(super) previous: Option<Call>,
    pub(super) runs: HashMap<String, u64>,
    pub(super) requests: VecDeque<SeenRequest>,
    pub(super) totals: EngineTotals,
}

/// What a started run uses.
pub(crate) struct Started {
    pub(crate) incarnation: u64,
    pub(crate) weight_version: String,
    pub(crate) cached_tokens: u64,
    chain: Vec<String>,
    prefill: Duration,
}

impl Handler for State {
    fn answer(self: Arc<Self>, request: SeenRequest) -> BoxFuture<'static, Option<Reply>> {
        async move { self.route(request).await }.boxed()
    }

    fn has_effect(&self, request: &SeenRequest) -> bool {
        request.method != Method::GET && !request.path.starts_with("/cancel/")
    }

    fn restarting(&self) {
        let mut inner = lock(&self.inner);
        inner.incarnation += 1;
        inner.weight_version = self.settings.weight_version.clone();
        inner.fencing = 0;
        inner.role = Role::Serving;
        inner.load_number += 1;
        inner.loading = false;
        inner.cache = new_cache(&self.settings);
        inner.reports.clear();
        inner.stale_report = None;
        inner.previous = None;
    }
}

fn new_cache(settings: &EngineSettings) -> PrefixCache {
    PrefixCache::new(settings.cache_pieces_max, settings.event_gap_every)
}

impl State {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let inner = Inner {
            incarnation: u64::from(rand::random::<u32>()) + 1,
            weight_version: settings.weight_version.clone(),
            fencing: 0,
            role: Role::Serving,
            load_number: 0,
            loading: false,
            cache: new_cache(&settings),
            reports: VecDeque::new(),
            stale_report: None,
            running: HashMap::new(),
            previous: None,
            runs: HashMap::new(),
            requests: VecDeque::new(),
            totals: EngineTotals::default(),
        };
        Self {
            slots: Slots::new(settings.slots),
            settings,
            faults: FaultHandle::default(),
            inner: Mutex::new(inner),
        }
    }

    async fn route(self: Arc<Self>, request: SeenRequest) -> Option<Reply> {
        let path: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        let reply = match (request.method.as_str(), path.as_slice()) {
            ("POST", ["v1", "chat", "completions"] | ["v1", "completions"]) => {
                return self.complete(&request).await;
            }
            ("GET", ["load"]) => json(StatusCode::OK, &self.load_report()),
            ("GET", ["cache-events"]) => self.cache_events(&request).await,
            ("POST", ["cancel", id]) => {
                json(StatusCode::OK, &json!({ "cancelled": self.cancel(id) }))
            }
            ("GET", ["orders"]) => self.orders(),
            ("POST", ["orders"]) => self.order(&request),
            ("GET", ["kv", hash]) => self.export(hash),
            ("PUT", ["kv", hash]) => self.import(hash, &request),
            ("GET", ["stats"]) => json(StatusCode::OK, &lock(&self.inner).totals),
            _ => named_error(StatusCode::NOT_FOUND, "path"),
        };
        Some(reply)
    }

    async fn complete(self: Arc<Self>, request: &SeenRequest) -> Option<Reply> {
        self.record(request);
        let Some(call) = Call::parse(request) else {
            return Some(named_error(StatusCode::BAD_REQUEST, "body"));
        };
        let (cancel, cancelled) = watch::channel(false);
        let mut run = Run::new(self.clone(), call, cancelled);
        let id = run.call.request_id.clone();
        self.enter(id, cancel);
        run.slot = tokio::select! {
            slot = self.slots.acquire(run.call.batch) => slot,
            () = run.cancelled() => return None,
        };
        let started = match self.begin(&run.call) {
            Ok(started) => started,
            Err((status, name)) => return Some(named_error(status, name)),
        };
        run.is_started = true;
        if started.prefill >= PREFILL_MIN {
            tokio::select! {
                () = tokio::time::sleep(started.prefill) => {}
                () = run.cancelled() => return None,
            }
        }
        self.keep(&run.call, &started);
        let told = self.told_call(&run.call);
        answer(run, told, &started).await
    }

    fn record(&self, request: &SeenRequest) {
        let requests = &mut lock(&self.inner).requests;
        requests.push_back(request.clone());
        if requests.len() > REQUESTS_MAX {
            requests.pop_front();
        }
    }

    /// Notes a request that may be cancelled from now on.
    fn enter(&self, request_id: String, cancel: watch::Sender<bool>) {
        let mut inner = lock(&self.inner);
        inner.running.insert(request_id, cancel);
        self.note_load(&mut inner);
    }

    /// Starts a run, or refuses it before anything was computed.
    fn begin(&self, call: &Call) -> Result<Started, (StatusCode, &'static str)> {
        let mut inner = lock(&self.inner);
        if inner.loading || inner.role == Role::Standby {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "not_serving"));
        }
        let expected = call.expected_weight_version.as_ref();
        if expected.is_some_and(|expected| *expected != inner.weight_version) {
            return Err((StatusCode::CONFLICT, "weight_version"));
        }
        let weight_version = inner.weight_version.clone();
        let chain = piece_chain(&call.salt, &weight_version, &call.prompt);
        let cached_tokens = inner.cache.find(&chain) as u64 * PIECE_TOKENS;
        let missed_tokens = call.prompt_tokens().saturating_sub(cached_tokens);
        *inner.runs.entry(call.request_id.clone()).or_default() += 1;
        inner.totals.runs += 1;
        inner.totals.hit_tokens += cached_tokens;
        inner.totals.prefill_tokens += missed_tokens;
        self.note_load(&mut inner);
        let prefill_us = missed_tokens as f64 * self.settings.prefill_us_per_token;
        Ok(Started {
            incarnation: inner.incarnation,
            weight_version,
            cached_tokens,
            chain,
            prefill: Duration::from_micros(prefill_us as u64),
        })
    }

    /// Keeps the pieces that a run computed.
    fn keep(&self, call: &Call, started: &Started) {
        let mut inner = lock(&self.inner);
        for (piece, hash) in started.chain.iter().enumerate().rev() {
            inner.cache.store(Piece {
                request_id: call.request_id.clone(),
                salt: call.salt.clone(),
                piece,
                hash: hash.clone(),
            });
        }
    }

    /// Returns the call whose id and text the answer carries.
    fn told_call(&self, call: &Call) -> Call {
        let previous = lock(&self.inner).previous.replace(call.clone());
        match self.faults.get().swap_answers {
            true => previous.unwrap_or_else(|| call.other()),
            false => call.clone(),
        }
    }

    /// Ends a run.
    pub(crate) fn ended(&self, request_id: &str, is_cut_short: bool) {
        let mut inner = lock(&self.inner);
        inner.running.remove(request_id);
        inner.totals.cancelled += u64::from(is_cut_short);
        self.note_load(&mut inner);
    }
}

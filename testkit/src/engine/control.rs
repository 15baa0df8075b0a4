//! Load reports, cache events, orders and exported cache of an engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::cache::Piece;
use super::state::{Inner, State};
use crate::fault::lock;
use crate::http::{Reply, SeenRequest, full, json, named_error};

/// Time between two looks for new cache events.
const EVENTS_POLL: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Role {
    Serving,
    Standby,
}

#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(super) struct LoadReport {
    incarnation: u64,
    weight_version: String,
    running: usize,
    queued: usize,
    cached_pieces: usize,
    age_ms: u64,
}

#[derive(Deserialize)]
struct FencedOrder {
    fencing: u64,
    order: Order,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Order {
    LoadWeights { weight_version: String },
    SetRole { role: Role },
}

impl State {
    pub(super) fn cancel(&self, request_id: &str) -> bool {
        let inner = lock(&self.inner);
        let run = inner.running.get(request_id);
        run.is_some_and(|cancel| cancel.send(true).is_ok())
    }

    /// Notes a report of this moment, which shows once it is old enough.
    pub(super) fn note_load(&self, inner: &mut Inner) {
        let (running, queued) = self.slots.load();
        let report = LoadReport {
            incarnation: inner.incarnation,
            weight_version: inner.weight_version.clone(),
            running,
            queued,
            cached_pieces: inner.cache.len(),
            age_ms: self.settings.load_lag.as_millis() as u64,
        };
        inner.reports.push_back((Instant::now(), report));
        let lag = self.settings.load_lag;
        let is_old = |entry: Option<&(Instant, _)>| entry.is_some_and(|e| e.0.elapsed() >= lag);
        while is_old(inner.reports.get(1)) {
            inner.reports.pop_front();
        }
    }

    pub(super) fn load_report(&self) -> LoadReport {
        let mut inner = lock(&self.inner);
        self.note_load(&mut inner);
        let current = inner.reports[0].1.clone();
        match self.faults.get().stale_load {
            true => inner.stale_report.get_or_insert(current).clone(),
            false => {
                inner.stale_report = None;
                current
            }
        }
    }

    pub(super) async fn cache_events(&self, request: &SeenRequest) -> Reply {
        let after = request.query_number("after");
        let wait = Duration::from_millis(request.query_number("wait_ms"));
        let until = Instant::now() + wait;
        loop {
            let (incarnation, events) = {
                let inner = lock(&self.inner);
                let lateness = self.settings.event_lateness;
                (inner.incarnation, inner.cache.events_after(after, lateness))
            };
            if !events.is_empty() || Instant::now() >= until {
                let body = json!({ "incarnation": incarnation, "events": events });
                return json(StatusCode::OK, &body);
            }
            tokio::time::sleep(EVENTS_POLL).await;
        }
    }

    pub(super) fn orders(&self) -> Reply {
        json(StatusCode::OK, &lock(&self.inner).order_state())
    }

    pub(super) fn order(self: &Arc<Self>, request: &SeenRequest) -> Reply {
        let Some(FencedOrder { fencing, order }) = request.json() else {
            return named_error(StatusCode::BAD_REQUEST, "body");
        };
        let mut inner = lock(&self.inner);
        if self.settings.checks_fencing && fencing < inner.fencing {
            return named_error(StatusCode::CONFLICT, "fencing");
        }
        inner.fencing = fencing.max(inner.fencing);
        match order {
            Order::SetRole { role } => inner.role = role,
            Order::LoadWeights { weight_version } => {
                inner.load_number += 1;
                inner.loading = inner.weight_version != weight_version;
                tokio::spawn(self.clone().load(inner.load_number, weight_version));
            }
        }
        json(StatusCode::OK, &inner.order_state())
    }

    /// Finishes loading unless a later order or a crash took its place.
    async fn load(self: Arc<Self>, load_number: u64, weight_version: String) {
        tokio::time::sleep(self.settings.weight_load).await;
        let mut inner = lock(&self.inner);
        if inner.load_number == load_number {
            inner.loading = false;
            inner.weight_version = weight_version;
        }
    }

    pub(super) fn export(&self, hash: &str) -> Reply {
        match lock(&self.inner).cache.get(hash) {
            Some(piece) => {
                let mut reply = json(StatusCode::OK, piece);
                let octets = http::HeaderValue::from_static("application/octet-stream");
                reply.headers_mut().insert("content-type", octets);
                reply
            }
            None => named_error(StatusCode::NOT_FOUND, "piece"),
        }
    }

    pub(super) fn import(&self, hash: &str, request: &SeenRequest) -> Reply {
        match request.json::<Piece>() {
            Some(piece) if piece.hash == hash => {
                lock(&self.inner).cache.store(piece);
                Reply::new(full(""))
            }
            _ => named_error(StatusCode::BAD_REQUEST, "piece"),
        }
    }
}

impl Inner {
    fn order_state(&self) -> Value {
        json!({
            "incarnation": self.incarnation,
            "fencing": self.fencing,
            "weight_version": self.weight_version,
            "role": self.role,
            "loading": self.loading,
        })
    }
}

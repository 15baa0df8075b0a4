//! Plain service that counts what it runs and echoes it.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderValue, StatusCode};
use serde::Deserialize;
use serde_json::json;

use crate::address::own_address;
use crate::fault::{FaultHandle, lock};
use crate::http::{Handler, Reply, SeenRequest, Server, json, server_methods};

/// How to start a [`Service`].
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Runs an idempotency key once and repeats its answer.
    pub honours_idempotency: bool,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            address: own_address(),
            honours_idempotency: false,
        }
    }
}

/// Plain service in this process.
pub struct Service {
    server: Server,
    state: Arc<State>,
}

server_methods!(Service);

impl Service {
    /// Starts a service.
    pub async fn start(settings: ServiceSettings) -> io::Result<Self> {
        let state = Arc::new(State {
            honours_idempotency: settings.honours_idempotency,
            ..State::default()
        });
        let server = Server::start(settings.address, state.faults.clone(), state.clone()).await?;
        Ok(Self { server, state })
    }

    /// Returns the requests that ran, in their order.
    pub fn runs(&self) -> Vec<SeenRequest> {
        lock(&self.state.seen).runs.clone()
    }

    /// Returns the runs by the value of a header, such as `x-request-id`.
    pub fn runs_by_header(&self, name: &str) -> BTreeMap<String, u64> {
        lock(&self.state.seen).runs_by(|run| run.header(name).map(str::to_owned))
    }

    /// Returns the runs by body, read as UTF-8.
    pub fn runs_by_body(&self) -> BTreeMap<String, u64> {
        lock(&self.state.seen).runs_by(|run| Some(run.text()))
    }

    /// Returns the requests that arrived, in their order.
    pub fn requests(&self) -> Vec<SeenRequest> {
        lock(&self.state.seen).requests.clone()
    }
}

#[derive(Default)]
struct State {
    honours_idempotency: bool,
    faults: FaultHandle,
    seen: Mutex<Seen>,
}

#[derive(Default)]
struct Seen {
    requests: Vec<SeenRequest>,
    runs: Vec<SeenRequest>,
    answers: HashMap<String, serde_json::Value>,
}

impl Seen {
    fn runs_by(&self, key: impl Fn(&SeenRequest) -> Option<String>) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for key in self.runs.iter().filter_map(key) {
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    fn stats(&self) -> serde_json::Value {
        let by_header = |name| self.runs_by(|run| run.header(name).map(str::to_owned));
        json!({
            "total": self.runs.len(),
            "by_request_id": by_header("x-request-id"),
            "by_caller_id": by_header("x-caller-id"),
            "by_idempotency_key": by_header("idempotency-key"),
            "by_body": self.runs_by(|run| Some(run.text())),
        })
    }
}

impl Handler for State {
    fn answer(self: Arc<Self>, request: SeenRequest) -> BoxFuture<'static, Option<Reply>> {
        async move { Some(self.run(request)) }.boxed()
    }

    fn has_effect(&self, _request: &SeenRequest) -> bool {
        true
    }
}

impl State {
    fn run(&self, request: SeenRequest) -> Reply {
        let mut seen = lock(&self.seen);
        if request.path == "/stats" {
            return json(StatusCode::OK, &seen.stats());
        }
        seen.requests.push(request.clone());
        let key = request.header("idempotency-key").unwrap_or_default();
        let kept = seen.answers.get(key).filter(|_| self.honours_idempotency);
        if let Some(kept) = kept {
            return reply(request.headers.get("x-request-id"), kept);
        }
        let previous = seen.runs.last().cloned();
        seen.runs.push(request.clone());
        let echo = echo(&request);
        if !key.is_empty() {
            seen.answers.insert(key.to_owned(), echo.clone());
        }
        match previous {
            Some(other) if self.faults.get().swap_answers => {
                reply(other.headers.get("x-request-id"), &self::echo(&other))
            }
            _ => reply(request.headers.get("x-request-id"), &echo),
        }
    }
}

fn echo(request: &SeenRequest) -> serde_json::Value {
    json!({
        "method": request.method.as_str(),
        "path": request.path,
        "query": request.query,
        "body": request.text(),
    })
}

fn reply(request_id: Option<&HeaderValue>, body: &serde_json::Value) -> Reply {
    let mut reply = json(StatusCode::OK, body);
    if let Some(id) = request_id {
        reply.headers_mut().insert("x-request-id", id.clone());
    }
    reply
}

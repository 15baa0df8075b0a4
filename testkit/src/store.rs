//! Platform store: versioned objects with conditional updates and watches.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

use crate::address::own_address;
use crate::fault::{FaultHandle, lock, milliseconds};
use crate::http::{Handler, Reply, SeenRequest, Server, json, named_error, server_methods};

/// Largest value that the store takes.
const VALUE_MAX_BYTES: usize = 1_048_576;

/// How to start a [`Store`].
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Time until a new list of VMs shows.
    #[serde(rename = "vms_lag_ms", with = "milliseconds")]
    pub vms_lag: Duration,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: own_address(),
            vms_lag: Duration::ZERO,
        }
    }
}

/// Object as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredObject {
    /// Kind it belongs to.
    pub kind: String,
    /// Name within its kind.
    pub name: String,
    /// Version of its last write.
    pub version: u64,
    /// Id that its last writer gave.
    pub write_id: String,
    /// Contents.
    pub value: String,
}

/// One row of the list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmRow {
    /// Id of the VM.
    pub vm: String,
    /// Address of its process.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub availability_zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Calls by operation (`GET`, `PUT`, `DELETE`, `LIST`, `WATCH`, `VMS`) and kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(transparent)]
pub struct CallCounts(BTreeMap<&'static str, BTreeMap<String, u64>>);

impl CallCounts {
    /// Returns the calls of one operation on one kind.
    pub fn of(&self, operation: &str, kind: &str) -> u64 {
        let kinds = self.0.get(operation);
        kinds.and_then(|kinds| kinds.get(kind)).map_or(0, |n| *n)
    }

    /// Returns the calls of one operation on all kinds.
    pub fn of_operation(&self, operation: &str) -> u64 {
        let kinds = self.0.get(operation);
        kinds.map_or(0, |kinds| kinds.values().sum())
    }

    /// Returns the writes, successful or not.
    pub fn writes(&self) -> u64 {
        self.of_operation("PUT") + self.of_operation("DELETE")
    }

    /// Returns all calls.
    pub fn total(&self) -> u64 {
        self.0.values().flat_map(BTreeMap::values).sum()
    }
}

/// Platform store in this process.
pub struct Store {
    server: Server,
    state: Arc<State>,
}

server_methods!(Store);

impl Store {
    /// Starts a store without objects.
    pub async fn start(settings: StoreSettings) -> io::Result<Self> {
        let state = Arc::new(State {
            vms_lag: settings.vms_lag,
            ..State::default()
        });
        let server = Server::start(settings.address, FaultHandle::default(), state.clone()).await?;
        Ok(Self { server, state })
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> CallCounts {
        lock(&self.state.calls).clone()
    }

    /// Returns an object without counting a call.
    pub fn object(&self, kind: &str, name: &str) -> Option<StoredObject> {
        let key = (kind.to_owned(), name.to_owned());
        lock(&self.state.objects).items.get(&key).cloned()
    }

    /// Sets the list of VMs, which shows after its lag.
    pub fn set_vms(&self, rows: Vec<VmRow>) {
        self.state.set_vms(rows);
    }
}

#[derive(Default)]
struct State {
    vms_lag: Duration,
    objects: Mutex<Objects>,
    version: watch::Sender<u64>,
    vms: Mutex<VecDeque<(Instant, Vec<VmRow>)>>,
    calls: Mutex<CallCounts>,
}

#[derive(Default)]
struct Objects {
    version: u64,
    items: BTreeMap<(String, String), StoredObject>,
    changed: BTreeMap<String, u64>,
}

impl Objects {
    fn advance(&mut self, kind: &str) -> u64 {
        self.version += 1;
        self.changed.insert(kind.to_owned(), self.version);
        self.version
    }

    fn after(&self, kind: &str, version: u64) -> Vec<&StoredObject> {
        let items = self.items.values();
        items
            .filter(|item| item.kind == kind && item.version > version)
            .collect()
    }
}

#[derive(Deserialize)]
struct Put {
    expected_version: u64,
    write_id: String,
    value: String,
}

#[derive(Deserialize)]
struct Vms {
    items: Vec<VmRow>,
}

impl Handler for State {
    fn answer(self: Arc<Self>, request: SeenRequest) -> BoxFuture<'static, Option<Reply>> {
        async move { Some(self.route(&request).await) }.boxed()
    }

    fn refuses_by_closing(&self) -> bool {
        true
    }
}

impl State {
    async fn route(&self, request: &SeenRequest) -> Reply {
        let path: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["v1", "objects", kind, name]) => self.get(kind, name),
            ("PUT", ["v1", "objects", kind, name]) => self.put(kind, name, request),
            ("DELETE", ["v1", "objects", kind, name]) => self.delete(kind, name, request),
            ("GET", ["v1", "objects", kind]) => self.list(kind),
            ("GET", ["v1", "watch", kind]) => self.watch(kind, request).await,
            ("GET", ["v1", "vms"]) => self.vms(),
            ("GET", ["stats"]) => json(StatusCode::OK, &*lock(&self.calls)),
            ("POST", ["vms"]) => match request.json::<Vms>() {
                Some(vms) => {
                    self.set_vms(vms.items);
                    json(StatusCode::OK, &json!({}))
                }
                None => named_error(StatusCode::BAD_REQUEST, "body"),
            },
            _ => named_error(StatusCode::NOT_FOUND, "path"),
        }
    }

    fn count(&self, operation: &'static str, kind: &str) {
        let mut calls = lock(&self.calls);
        let kinds = calls.0.entry(operation).or_default();
        *kinds.entry(kind.to_owned()).or_default() += 1;
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        self.count("GET", kind);
        let objects = lock(&self.objects);
        match objects.items.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => json(StatusCode::OK, object),
            None => named_error(StatusCode::NOT_FOUND, "object"),
        }
    }

    fn put(&self, kind: &str, name: &str, request: &SeenRequest) -> Reply {
        self.count("PUT", kind);
        let put = match request.json::<Put>() {
            Some(put) if put.value.len() > VALUE_MAX_BYTES => {
                return named_error(StatusCode::PAYLOAD_TOO_LARGE, "value");
            }
            Some(put) => put,
            None => return named_error(StatusCode::BAD_REQUEST, "body"),
        };
        let mut objects = lock(&self.objects);
        let key = (kind.to_owned(), name.to_owned());
        match objects.items.get(&key) {
            Some(object) if object.version != put.expected_version => {
                return json(StatusCode::CONFLICT, object);
            }
            None if put.expected_version != 0 => {
                return json(StatusCode::CONFLICT, &json!({ "version": 0 }));
            }
            _ => {}
        }
        let version = objects.advance(kind);
        let object = StoredObject {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version,
            write_id: put.write_id,
            value: put.value,
        };
        objects.items.insert(key, object);
        drop(objects);
        self.version.send_replace(version);
        json(StatusCode::OK, &json!({ "version": version }))
    }

    fn delete(&self, kind: &str, name: &str, request: &SeenRequest) -> Reply {
        self.count("DELETE", kind);
        let mut objects = lock(&self.objects);
        let key = (kind.to_owned(), name.to_owned());
        match objects.items.get(&key) {
            None => return named_error(StatusCode::NOT_FOUND, "object"),
            Some(object) if object.version != request.query_number("expected_version") => {
                return json(StatusCode::CONFLICT, object);
            }
            Some(_) => {}
        }
        objects.items.remove(&key);
        let version = objects.advance(kind);
        drop(objects);
        self.version.send_replace(version);
        json(StatusCode::OK, &json!({ "version": version }))
    }

    fn list(&self, kind: &str) -> Reply {
        self.count("LIST", kind);
        let objects = lock(&self.objects);
        let items = objects.after(kind, 0);
        let version = objects.version;
        json(
            StatusCode::OK,
            &json!({ "version": version, "items": items }),
        )
    }

    /// Answers once an object of the kind was written or deleted, or the time has passed.
    async fn watch(&self, kind: &str, request: &SeenRequest) -> Reply {
        self.count("WATCH", kind);
        let after = request.query_number("after");
        let wait = Duration::from_millis(request.query_number("wait_ms"));
        let mut version = self.version.subscribe();
        let has_changed = |_: &u64| {
            let objects = lock(&self.objects);
            objects.changed.get(kind).is_some_and(|at| *at > after)
        };
        let _ = tokio::time::timeout(wait, version.wait_for(has_changed)).await;
        let objects = lock(&self.objects);
        let items = objects.after(kind, after);
        let version = objects.version;
        json(
            StatusCode::OK,
            &json!({ "version": version, "items": items }),
        )
    }

    fn set_vms(&self, rows: Vec<VmRow>) {
        lock(&self.vms).push_back((Instant::now() + self.vms_lag, rows));
    }

    fn vms(&self) -> Reply {
        self.count("VMS", "vms");
        let mut lists = lock(&self.vms);
        let now = Instant::now();
        while lists.get(1).is_some_and(|(shows_at, _)| *shows_at <= now) {
            lists.pop_front();
        }
        let shown = lists.front().filter(|(shows_at, _)| *shows_at <= now);
        let items = shown.map(|(_, rows)| rows.as_slice()).unwrap_or_default();
        json(StatusCode::OK, &json!({ "items": items }))
    }
}

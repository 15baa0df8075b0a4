//! Real stewards and engines that record the orders they get.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use celerylever::clock::ManualClock;
use celerylever::document::FencingCheck;
use celerylever::platform::{Kind, StoreClient};
use celerylever::settings::{PlatformSettings, UpstreamSettings};
use celerylever::steward::{
    LeaseHolder, LeaseSettings, LeaseTask, LeaseView, RolloutSettings, RolloutTask,
};
use celerylever::supervisor::{ChildSettings, RunningSupervisor, Supervisor, SupervisorContext};
use celerylever::telemetry::Telemetry;
use celerylever::upstream::UpstreamClient;
use celerylever_testkit::{Store, StoreSettings};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::watch;

pub(crate) const LEASE: Duration = Duration::from_millis(1_500);
const WATCHDOG: Duration = Duration::from_secs(60);
const LOAD: Duration = Duration::from_millis(1_000);

#[derive(Default)]
struct State {
    fencing: u64,
    version: String,
    loading: bool,
    orders: Vec<(u64, bool)>,
    lose_answer: bool,
    hold_next: bool,
    hold_read: bool,
    held: usize,
}

/// Engine that records each order's fencing number and whether it took it.
pub(crate) struct OrderEngine {
    address: SocketAddr,
    check: FencingCheck,
    state: Arc<Mutex<State>>,
    gate: watch::Sender<bool>,
}

impl OrderEngine {
    async fn start(check: FencingCheck, loading: Arc<Loading>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            version: "v1".into(),
            ..State::default()
        }));
        let gate = watch::Sender::new(false);
        let (shared, opened) = (state.clone(), gate.subscribe());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (state, gate, loading) = (shared.clone(), opened.clone(), loading.clone());
                let service = service_fn(move |request| {
                    // Spawned, so that an order counts also after its sender is gone.
                    let call = answer(request, check, state.clone(), gate.clone(), loading.clone());
                    async move { tokio::spawn(call).await.unwrap() }
                });
                let connection = hyper::server::conn::http1::Builder::new();
                tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self {
            address,
            check,
            state,
            gate,
        }
    }

    pub(crate) fn orders(&self) -> Vec<(u64, bool)> {
        self.state.lock().unwrap().orders.clone()
    }

    pub(crate) fn is_at(&self, version: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.version == version && !state.loading
    }

    /// Closes the connection of the next order in place of an answer.
    pub(crate) fn lose_answer(&self) {
        self.state.lock().unwrap().lose_answer = true;
    }

    /// Holds the next order back until released, as a slow network would.
    pub(crate) fn hold_next(&self) {
        self.state.lock().unwrap().hold_next = true;
    }

    /// Holds the answer to the next read back until released.
    pub(crate) fn hold_read(&self) {
        self.state.lock().unwrap().hold_read = true;
    }

    pub(crate) fn is_holding(&self) -> bool {
        self.state.lock().unwrap().held > 0
    }

    pub(crate) fn release(&self) {
        self.gate.send_replace(true);
    }
}

#[derive(Default)]
pub(crate) struct Loading {
    now: AtomicUsize,
    max: AtomicUsize,
}

type Reply = Result<Response<Full<Bytes>>, std::io::Error>;

async fn answer(
    request: Request<Incoming>,
    check: FencingCheck,
    state: Arc<Mutex<State>>,
    mut gate: watch::Receiver<bool>,
    loading: Arc<Loading>,
) -> Reply {
    if request.method() == Method::GET {
        let said = reply(StatusCode::OK, &state.lock().unwrap());
        let is_held = {
            let mut state = state.lock().unwrap();
            state.held += usize::from(state.hold_read);
            std::mem::take(&mut state.hold_read)
        };
        if is_held {
            gate.wait_for(|open| *open).await.unwrap();
        }
        return Ok(said);
    }
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let is_held = {
        let mut state = state.lock().unwrap();
        state.held += usize::from(state.hold_next);
        std::mem::take(&mut state.hold_next)
    };
    if is_held {
        gate.wait_for(|open| *open).await.unwrap();
    }
    let fencing = body["fencing"].as_u64().unwrap();
    let version = body["order"]["load_weights"]["weight_version"].as_str();
    let version = version.unwrap().to_owned();
    let mut guard = state.lock().unwrap();
    let is_taken = check == FencingCheck::Ignores || fencing >= guard.fencing;
    guard.orders.push((fencing, is_taken));
    if !is_taken {
        return Ok(reply(StatusCode::CONFLICT, &guard));
    }
    guard.fencing = fencing.max(guard.fencing);
    if guard.version != version && !guard.loading {
        guard.loading = true;
        let now = loading.now.fetch_add(1, Ordering::SeqCst) + 1;
        loading.max.fetch_max(now, Ordering::SeqCst);
        let state = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LOAD).await;
            let mut state = state.lock().unwrap();
            loading.now.fetch_sub(1, Ordering::SeqCst);
            state.loading = false;
            state.version = version;
        });
    }
    if std::mem::take(&mut guard.lose_answer) {
        return Err(std::io::Error::other("lost"));
    }
    Ok(reply(StatusCode::OK, &guard))
}

fn reply(status: StatusCode, state: &State) -> Response<Full<Bytes>> {
    let body = json!({
        "incarnation": 1,
        "fencing": state.fencing,
        "weight_version": state.version,
        "role": "serving",
        "loading": state.loading,
    });
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    response
}

/// Store, engines and settings of stewards.
pub(crate) struct Stewards {
    store: Store,
    pub(crate) engines: Vec<OrderEngine>,
    loading: Arc<Loading>,
    version: u64,
}

impl Stewards {
    pub(crate) async fn new(checks: &[FencingCheck]) -> Self {
        let loading = Arc::new(Loading::default());
        let mut engines = Vec::new();
        for check in checks {
            engines.push(OrderEngine::start(*check, loading.clone()).await);
        }
        Self {
            store: Store::start(StoreSettings::default()).await.unwrap(),
            engines,
            loading,
            version: 0,
        }
    }

    /// Stores a document that wants this weight version.
    pub(crate) async fn apply(&mut self, weight_version: &str) {
        let mut text = format!(
            "[document]\nenvironment = test\n[model.m]\nweight_version = {weight_version}\n\
             context_max_tokens = 1000\noutput_max_tokens = 100\n"
        );
        for (index, engine) in self.engines.iter().enumerate() {
            let fencing = match engine.check {
                FencingCheck::Refuses => "refuses",
                FencingCheck::Ignores => "ignores",
            };
            text += &format!(
                "[upstream.e{index}]\naddress = {}\navailability_zone = a\nkind = engine\n\
                 models = m\nrepeatable = true\nfencing = {fencing}\n",
                engine.address
            );
        }
        let client = self.client();
        let put = client.put(Kind::Document, "current", self.version, &text);
        let celerylever::platform::PutOutcome::Applied(version) = put.await.unwrap() else {
            panic!("document not stored");
        };
        self.version = version;
    }

    fn client(&self) -> StoreClient {
        StoreClient::new(PlatformSettings {
            store_address: self.store.address(),
            ..PlatformSettings::default()
        })
    }

    /// Runs a steward's tasks in this process; returns them with their lease.
    pub(crate) fn start_here(
        &self,
        clock: ManualClock,
        lease: Duration,
    ) -> (RunningSupervisor, LeaseView) {
        let holder = LeaseHolder {
            vm: "a".into(),
            incarnation: 1,
        };
        let context = SupervisorContext {
            clock: Arc::new(clock.clone()),
            metrics: Telemetry::new().metrics(),
            log: Logger::root(Discard, o!()),
        };
        let settings = LeaseSettings::from_lease_ttl(lease);
        let steward = LeaseTask::new(settings, holder, self.client(), context.clone());
        let view = steward.lease();
        let task = RolloutTask {
            lease: view.clone(),
            settings: RolloutSettings {
                order_settle_window: Duration::ZERO,
                ..RolloutSettings::from_lease_ttl(lease)
            },
            store: self.client(),
            client: UpstreamClient::new(&UpstreamSettings::default(), Arc::new(clock)),
            context: context.clone(),
        };
        let tree = Supervisor::new(context)
            .child("lease", ChildSettings::default(), move |stop| {
                let run = steward.clone().run(stop);
                async {
                    run.await;
                    Ok(())
                }
            })
            .child("orders", ChildSettings::default(), move |stop| {
                let run = task.clone().run(stop);
                async {
                    run.await;
                    Ok(())
                }
            });
        (tree.start(), view)
    }

    pub(crate) fn start(&self, vm: &str) -> Process {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.ini");
        let settings = format!(
            "[process]\nvm = {vm}\navailability_zone = a\n[platform]\nstore_address = {}\n\
             request_timeout_ms = 200\nlease_ms = {}\n",
            self.store.address(),
            LEASE.as_millis()
        );
        std::fs::write(&path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_celerylever-steward"))
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Process {
            child,
            _directory: directory,
        }
    }

    pub(crate) fn all_at(&self, version: &str) -> bool {
        self.engines.iter().all(|engine| engine.is_at(version))
    }

    pub(crate) fn loading_max(&self) -> usize {
        self.loading.max.load(Ordering::SeqCst)
    }
}

pub(crate) struct Process {
    child: Child,
    _directory: TempDir,
}

impl Process {
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let ended = tokio::time::timeout(WATCHDOG, wait).await;
    ended.unwrap_or_else(|_| panic!("never: {what}"));
}

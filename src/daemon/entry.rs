//! Entry daemon: one thread for control state, others for traffic.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, error, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::task::{JoinError, JoinSet};

use super::DaemonArgs;
use super::launch::{launch, stop_requested};
use super::peers::Peers;
use crate::clock::SystemClock;
use crate::config::{self, FollowerContext};
use crate::entry::{App, serve_callers, serve_operators, stop_listening};
use crate::membership::MembershipTask;
use crate::peer::LinksError;
use crate::settings::Settings;
use crate::supervisor::{
    ChildError, ChildSettings, StopSignal, Supervisor, SupervisorContext, SupervisorError,
};
use crate::telemetry::{Event, Telemetry};
use crate::upstream::UpstreamClient;
use crate::{limit, route};

/// Time for the listener's own end after the drain bound.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// Writes of the VM's record that fit into one lease.
const RECORD_WRITES_PER_LEASE: u32 = 3;
/// Time for the error events of streams that passed the drain bound.
const CUT_SLACK: Duration = Duration::from_millis(500);
/// Time for the writes that hand the VM's parts of the rates over.
const HAND_OVER_SLACK: Duration = Duration::from_secs(2);

/// Why an entry ended on its own.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum EntryError {
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
    #[error(transparent)]
    Links(#[from] LinksError),
}

/// Runs an entry until it is told to stop.
pub fn run_entry(args: &DaemonArgs) -> ExitCode {
    launch("celerylever-entry", args, run)
}

fn run(settings: Settings, log: &Logger) -> Result<(), EntryError> {
    let traffic = traffic_runtime(settings.process.traffic_threads)?;
    let control = Builder::new_current_thread().enable_all().build()?;
    let app = Arc::new(App::new(settings, SystemClock::shared(), Telemetry::new()));
    let result = control.block_on(control_tasks(app, traffic.handle(), log));
    traffic.shutdown_background();
    result
}

fn traffic_runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
}

async fn control_tasks(app: Arc<App>, traffic: &Handle, log: &Logger) -> Result<(), EntryError> {
    let process = &app.settings().process;
    let callers = Listener::bind(process.caller_address).await?;
    let operators = Listener::bind(process.operator_address).await?;
    let peers = Peers::bind(&app, log)?;
    info!(log, "listening";
        "vm" => &process.vm,
        "caller_address" => %callers.address,
        "operator_address" => %operators.address,
        "peer_address" => peers.as_ref().map(|peers| peers.links.address().to_string()));
    let context = SupervisorContext {
        clock: SystemClock::shared(),
        metrics: app.metrics().clone(),
        log: log.clone(),
    };
    let supervisor = Supervisor::new(context);
    let supervisor = with_operators(supervisor, &app, operators);
    let supervisor = with_peers(supervisor, &app, peers.clone());
    let supervisor = with_membership(supervisor, &app, &peers, log);
    let supervisor = with_configuration(supervisor, &app, peers, log);
    let supervisor = with_rates(supervisor, &app);
    let supervisor = with_routing(supervisor, &app);
    let supervisor = with_callers(supervisor, &app, callers, traffic, log);
    supervisor.run(drain_requested(app, log.clone())).await?;
    Ok(())
}

fn with_operators(supervisor: Supervisor, app: &Arc<App>, listener: Listener) -> Supervisor {
    let app = app.clone();
    supervisor.child("operators", ChildSettings::default(), move |stop| {
        let (listener, app) = (listener.duplicate(), app.clone());
        async move {
            tokio::select! {
                () = serve_operators(TcpListener::from_std(listener?)?, app) => {}
                () = stop.raised() => {}
            }
            Ok(())
        }
    })
}

/// Adds the VM's lease, which ends after the requests under way.
fn with_membership(
    supervisor: Supervisor,
    app: &Arc<App>,
    peers: &Option<Peers>,
    log: &Logger,
) -> Supervisor {
    let store = app.store_client();
    let task = MembershipTask {
        membership: app.membership().clone(),
        store,
        peer_client: peers.clone(),
        metrics: app.metrics().clone(),
        log: log.clone(),
        write_timeout: app.settings().platform.lease / RECORD_WRITES_PER_LEASE,
    };
    let app = app.clone();
    supervisor.child("membership", ChildSettings::default(), move |stop| {
        let (task, app) = (task.clone(), app.clone());
        let version = move || app.snapshot().map_or(0, |snapshot| snapshot.version);
        async move {
            task.run(version, stop).await;
            Ok(())
        }
    })
}

fn with_peers(supervisor: Supervisor, app: &Arc<App>, peers: Option<Peers>) -> Supervisor {
    let Some(peers) = peers else {
        return supervisor;
    };
    let app = app.clone();
    supervisor.child("peers", ChildSettings::default(), move |stop| {
        until_stopped(peers.clone().run(app.clone()), stop)
    })
}

fn with_configuration(
    supervisor: Supervisor,
    app: &Arc<App>,
    peers: Option<Peers>,
    log: &Logger,
) -> Supervisor {
    let store = app.store_client();
    let context = FollowerContext {
        app: app.clone(),
        links: peers.as_ref().map(|peers| peers.links.clone()),
        advertised_versions: peers
            .map(|peers| peers.advertised_versions)
            .unwrap_or_default(),
        log: log.clone(),
    };
    let app = app.clone();
    supervisor
        .child("configuration", ChildSettings::default(), move |stop| {
            until_stopped(config::follow(context.clone()), stop)
        })
        .child("status", ChildSettings::default(), move |stop| {
            until_stopped(config::report_status(store.clone(), app.clone()), stop)
        })
}

/// Adds what keeps the router's view of the engines fresh.
fn with_routing(supervisor: Supervisor, app: &Arc<App>) -> Supervisor {
    let store = app.store_client();
    // Connections are driven by the runtime that opened them, so those of requests stay apart.
    let client = UpstreamClient::new(&app.settings().upstream, SystemClock::shared());
    let (polling, leaving) = (app.clone(), app.clone());
    supervisor
        .child("engine_reports", ChildSettings::default(), move |stop| {
            let router = polling.router().clone();
            until_stopped(route::poll_engines(router, client.clone()), stop)
        })
        .child("leaving_upstreams", ChildSettings::default(), move |stop| {
            let router = leaving.router().clone();
            until_stopped(route::sync_leaving_upstreams(router, store.clone()), stop)
        })
}

/// Adds what keeps the VM's parts of the rates, and hands them over at the end.
fn with_rates(supervisor: Supervisor, app: &Arc<App>) -> Supervisor {
    let store = app.store_client();
    let watch_wait = app.settings().platform.watch_wait;
    let (limiter, app) = (app.limiter().clone(), app.clone());
    let settings = ChildSettings {
        stop_timeout: limiter.account_settings().grant_ttl + HAND_OVER_SLACK,
        ..ChildSettings::default()
    };
    supervisor
        .child("slots", settings, move |stop| {
            let follow = limit::sync_slot_records(store.clone(), limiter.clone(), watch_wait);
            let (store, limiter) = (store.clone(), limiter.clone());
            async move {
                until_stopped(follow, stop).await?;
                // The requests under way have ended: the callers' child stops before this one.
                limit::hand_over_shares(store, limiter).await;
                Ok(())
            }
        })
        .child("accounts", ChildSettings::default(), move |stop| {
            until_stopped(limit::run_account_exchanges(app.clone()), stop)
        })
}

/// Adds the listener for callers, whose end waits for the requests under way.
fn with_callers(
    supervisor: Supervisor,
    app: &Arc<App>,
    listener: Listener,
    traffic: &Handle,
    log: &Logger,
) -> Supervisor {
    let bound = app.settings().drain.bound;
    let settings = ChildSettings {
        stop_timeout: bound + STOP_SLACK,
        ..ChildSettings::default()
    };
    let (app, traffic, log) = (app.clone(), traffic.clone(), log.clone());
    supervisor.child("callers", settings, move |stop| {
        let (listener, app, log) = (listener.duplicate(), app.clone(), log.clone());
        let traffic = traffic.clone();
        async move {
            let listener = listener?;
            let mut accepting = JoinSet::new();
            accepting.spawn_on(accept_callers(listener.try_clone()?, app.clone()), &traffic);
            tokio::select! {
                ended = accepting.join_next() => return Err(accepting_ended(ended)),
                () = stop.raised() => accepting.shutdown().await,
            }
            stop_listening(&listener)?;
            app.drain().close_idle_connections();
            finish_requests(&app, bound, &log).await;
            Ok(())
        }
    })
}

/// Waits for the requests under way, and ends those that pass the bound.
async fn finish_requests(app: &App, bound: Duration, log: &Logger) {
    if app.drain().wait_idle(bound).await {
        info!(log, "drained");
        return;
    }
    warn!(log, "drain bound passed"; "requests" => app.drain().request_count());
    app.drain().abort_requests();
    app.drain().wait_idle(CUT_SLACK).await;
}

/// Serves callers on a listener made by another runtime.
async fn accept_callers(listener: std::net::TcpListener, app: Arc<App>) -> io::Result<()> {
    serve_callers(TcpListener::from_std(listener)?, app).await;
    Ok(())
}

fn accepting_ended(ended: Option<Result<io::Result<()>, JoinError>>) -> ChildError {
    match ended {
        Some(Ok(Err(error))) => error.into(),
        Some(Err(error)) => error.into(),
        Some(Ok(Ok(()))) | None => "the listener for callers ended".into(),
    }
}

pub(crate) async fn until_stopped(
    work: impl Future<Output = ()>,
    stop: StopSignal,
) -> Result<(), ChildError> {
    tokio::select! {
        () = work => {}
        () = stop.raised() => {}
    }
    Ok(())
}

/// Completes once the entry was told to stop and the balancer had time to turn away.
async fn drain_requested(app: Arc<App>, log: Logger) {
    if let Err(error) = stop_requested().await {
        error!(log, "signals unavailable"; "error" => %error);
        return std::future::pending().await;
    }
    app.drain().start();
    app.membership().leave();
    app.metrics().event(Event::DrainStarted);
    info!(log, "draining"; "requests" => app.drain().request_count());
    tokio::time::sleep(app.settings().drain.pause).await;
}

/// Listener that outlives the runs of the child that serves it.
pub(crate) struct Listener {
    address: SocketAddr,
    socket: std::net::TcpListener,
}

impl Listener {
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?.into_std()?;
        Ok(Self {
            address: socket.local_addr()?,
            socket,
        })
    }

    pub(crate) fn duplicate(&self) -> io::Result<std::net::TcpListener> {
        self.socket.try_clone()
    }
}

//! Entry daemon, with one thread for control tasks and a thread pool for callers' requests.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, error, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::task::{JoinError, JoinSet};

use super::DaemonArgs;
use super::launch::{launch, wait_for_stop_signal};
use super::listener::{SharedListener, wait_until_accepted};
use super::peers::PeerContext;
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

/// Time added to the drain timeout for aborting requests and stopping the callers task.
const CALLERS_STOP_MARGIN: Duration = Duration::from_secs(1);
/// Number of writes of the VM's record that must fit into one lease TTL.
const RECORD_WRITES_PER_LEASE: u32 = 3;
/// Time to send the error events of streams that are aborted after the drain timeout.
const ABORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time added to the grant TTL for the store writes that hand over the VM's rate shares.
const HAND_OVER_MARGIN: Duration = Duration::from_secs(2);

/// Failure that ended an entry.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum EntryError {
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
    #[error(transparent)]
    Links(#[from] LinksError),
}

/// Runs an entry daemon until it receives a stop signal.
pub fn run_entry(args: &DaemonArgs) -> ExitCode {
    launch("celerylever-entry", args, run)
}

fn run(settings: Settings, log: &Logger) -> Result<(), EntryError> {
    let traffic = build_traffic_runtime(settings.process.traffic_threads)?;
    let control = Builder::new_current_thread().enable_all().build()?;
    let app = Arc::new(App::new(settings, SystemClock::shared(), Telemetry::new()));
    let result = control.block_on(run_control_tasks(app, traffic.handle(), log));
    traffic.shutdown_background();
    result
}

fn build_traffic_runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
}

async fn run_control_tasks(
    app: Arc<App>,
    traffic: &Handle,
    log: &Logger,
) -> Result<(), EntryError> {
    let process = &app.settings().process;
    let callers = SharedListener::bind(process.caller_address)?;
    let operators = SharedListener::bind(process.operator_address)?;
    let peers = PeerContext::bind(&app, log)?;
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
    let supervisor = with_operator_listener(supervisor, &app, operators);
    let supervisor = with_peers(supervisor, &app, peers.clone());
    let supervisor = with_membership(supervisor, &app, &peers, log);
    let supervisor = with_configuration(supervisor, &app, peers, log);
    let supervisor = with_limiter(supervisor, &app);
    let supervisor = with_routing(supervisor, &app);
    let supervisor = with_caller_listener(supervisor, &app, callers, traffic, log);
    supervisor.run(wait_for_drain(app, log.clone())).await?;
    Ok(())
}

fn with_operator_listener(
    supervisor: Supervisor,
    app: &Arc<App>,
    listener: SharedListener,
) -> Supervisor {
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

/// Adds the task that renews the VM's lease; it stops after the requests in flight have ended.
fn with_membership(
    supervisor: Supervisor,
    app: &Arc<App>,
    peers: &Option<PeerContext>,
    log: &Logger,
) -> Supervisor {
    let store = app.store_client();
    let task = MembershipTask {
        membership: app.membership().clone(),
        store,
        peer_client: peers.clone(),
        metrics: app.metrics().clone(),
        log: log.clone(),
        write_timeout: app.settings().platform.lease_ttl / RECORD_WRITES_PER_LEASE,
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

fn with_peers(supervisor: Supervisor, app: &Arc<App>, peers: Option<PeerContext>) -> Supervisor {
    let Some(peers) = peers else {
        return supervisor;
    };
    let app = app.clone();
    supervisor.child("peers", ChildSettings::default(), move |stop| {
        run_until_stopped(peers.clone().run(app.clone()), stop)
    })
}

fn with_configuration(
    supervisor: Supervisor,
    app: &Arc<App>,
    peers: Option<PeerContext>,
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
            run_until_stopped(config::follow(context.clone()), stop)
        })
        .child("status", ChildSettings::default(), move |stop| {
            run_until_stopped(config::report_status(store.clone(), app.clone()), stop)
        })
}

/// Adds the tasks that update the router's state of the engines.
fn with_routing(supervisor: Supervisor, app: &Arc<App>) -> Supervisor {
    let store = app.store_client();
    // A connection runs on the runtime that opened it, so polls and requests use separate clients.
    let client = UpstreamClient::new(&app.settings().upstream, SystemClock::shared());
    let (polling, leaving) = (app.clone(), app.clone());
    supervisor
        .child("engine_reports", ChildSettings::default(), move |stop| {
            let router = polling.router().clone();
            run_until_stopped(route::poll_engines(router, client.clone()), stop)
        })
        .child("leaving_upstreams", ChildSettings::default(), move |stop| {
            let router = leaving.router().clone();
            run_until_stopped(route::sync_leaving_upstreams(router, store.clone()), stop)
        })
}

/// Adds the tasks that maintain the VM's rate shares and hand them over on shutdown.
fn with_limiter(supervisor: Supervisor, app: &Arc<App>) -> Supervisor {
    let store = app.store_client();
    let watch_wait = app.settings().platform.watch_wait;
    let (limiter, app) = (app.limiter().clone(), app.clone());
    let settings = ChildSettings {
        stop_timeout: limiter.account_settings().grant_ttl + HAND_OVER_MARGIN,
        ..ChildSettings::default()
    };
    supervisor
        .child("slots", settings, move |stop| {
            let slot_sync = limit::sync_slot_records(store.clone(), limiter.clone(), watch_wait);
            let (store, limiter) = (store.clone(), limiter.clone());
            async move {
                run_until_stopped(slot_sync, stop).await?;
                // No request is in flight here, because the callers task stops before this one.
                limit::hand_over_shares(store, limiter).await;
                Ok(())
            }
        })
        .child("accounts", ChildSettings::default(), move |stop| {
            run_until_stopped(limit::run_account_exchanges(app.clone()), stop)
        })
}

/// Adds the task that serves callers; when stopped, it waits for the requests in flight.
fn with_caller_listener(
    supervisor: Supervisor,
    app: &Arc<App>,
    listener: SharedListener,
    traffic: &Handle,
    log: &Logger,
) -> Supervisor {
    let drain_timeout = app.settings().drain.timeout;
    let settings = ChildSettings {
        stop_timeout: drain_timeout + CALLERS_STOP_MARGIN,
        ..ChildSettings::default()
    };
    let (app, traffic, log) = (app.clone(), traffic.clone(), log.clone());
    supervisor.child("callers", settings, move |stop| {
        let (listener, app, log) = (listener.duplicate(), app.clone(), log.clone());
        let traffic = traffic.clone();
        async move {
            let listener = listener?;
            let mut accept_loop = JoinSet::new();
            accept_loop.spawn_on(accept_callers(listener.try_clone()?, app.clone()), &traffic);
            tokio::select! {
                ended = accept_loop.join_next() => return Err(accept_loop_error(ended)),
                () = stop.raised() => {}
            }
            wait_until_accepted(&listener).await?;
            accept_loop.shutdown().await;
            stop_listening(&listener)?;
            app.drain().close_idle_connections();
            drain_requests(&app, drain_timeout, &log).await;
            Ok(())
        }
    })
}

/// Waits for the requests in flight and aborts those that exceed the drain timeout.
async fn drain_requests(app: &App, drain_timeout: Duration, log: &Logger) {
    if app.drain().wait_idle(drain_timeout).await {
        info!(log, "drained");
        return;
    }
    warn!(log, "drain timeout exceeded"; "requests" => app.drain().request_count());
    app.drain().abort_requests();
    app.drain().wait_idle(ABORT_TIMEOUT).await;
}

/// Serves callers on a listener created on another runtime.
async fn accept_callers(listener: std::net::TcpListener, app: Arc<App>) -> io::Result<()> {
    serve_callers(TcpListener::from_std(listener)?, app).await;
    Ok(())
}

fn accept_loop_error(ended: Option<Result<io::Result<()>, JoinError>>) -> ChildError {
    match ended {
        Some(Ok(Err(error))) => error.into(),
        Some(Err(error)) => error.into(),
        Some(Ok(Ok(()))) | None => "the listener for callers ended".into(),
    }
}

/// Runs `work` until it completes or `stop` is raised.
pub(crate) async fn run_until_stopped(
    work: impl Future<Output = ()>,
    stop: StopSignal,
) -> Result<(), ChildError> {
    tokio::select! {
        () = work => {}
        () = stop.raised() => {}
    }
    Ok(())
}

/// Waits for a stop signal, starts the drain, and gives load balancers time to stop sending
/// requests.
async fn wait_for_drain(app: Arc<App>, log: Logger) {
    if let Err(error) = wait_for_stop_signal().await {
        error!(log, "signals unavailable"; "error" => %error);
        return std::future::pending().await;
    }
    app.drain().start();
    app.membership().leave();
    app.metrics().record_event(Event::DrainStarted);
    info!(log, "draining"; "requests" => app.drain().request_count());
    tokio::time::sleep(app.settings().drain.listener_close_delay).await;
}

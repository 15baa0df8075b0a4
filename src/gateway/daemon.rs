//! Gateway process: a supervisor with one thread for control tasks and one for traffic.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;

use super::crash_guard::quarantine_task::maintain_quarantine;
use super::event_log::{EventLog, LogEvent};
use super::platform_api::{Platform, TrackedKind};
use super::service_rollout;
use super::settings::GatewaySettings;
use super::shutdown::ShutdownPlan;
use super::state::Gateway;
use super::upstream_capacity::send_load_news;
use super::{catch_up, gossip, lease_task, membership, rollout_task, server, store_watch};
use crate::clock::SystemClock;
use crate::daemon::{SharedListener, run_until_stopped, wait_for_stop_signal, wait_until_accepted};
use crate::entry::stop_listening;
use crate::ids::new_incarnation;
use crate::supervisor::{
    ChildError, ChildSettings, Supervisor, SupervisorContext, SupervisorError,
};
use crate::telemetry::Telemetry;

/// Timeout for requests to end after they were aborted at the end of the shutdown.
const ABORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why a gateway could not start or ended without a request to stop.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum GatewayError {
    /// A listener, a socket or a thread could not be created.
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
    /// A task failed too often to be restarted.
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
}

/// Process that is prepared to run a gateway.
#[derive(Debug)]
pub struct GatewayProcess {
    control: Runtime,
    hangups: Hangups,
}

/// SIGHUPs since the start of the process.
type Hangups = Arc<Mutex<Signal>>;

impl GatewayProcess {
    /// Handles SIGHUP from now on, which would end the process otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if a resource of the system is not available.
    pub fn new() -> Result<Self, GatewayError> {
        let control = Builder::new_current_thread().enable_all().build()?;
        let entered = control.enter();
        let hangups = Arc::new(Mutex::new(signal(SignalKind::hangup())?));
        drop(entered);
        Ok(Self { control, hangups })
    }

    /// Runs a gateway until the process is requested to stop.
    ///
    /// # Errors
    ///
    /// Returns the reason why the gateway could not start or continue.
    pub fn run_gateway(
        self,
        settings: GatewaySettings,
        settings_path: &Path,
        platform: Platform,
        log: &Logger,
    ) -> Result<(), GatewayError> {
        let Self { control, hangups } = self;
        let traffic = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let clock = SystemClock::shared();
        let event_log = EventLog::new(log.clone(), clock.clone());
        let incarnation = new_incarnation();
        let telemetry = Telemetry::new();
        let gateway = Gateway::new(settings, platform, clock, event_log, telemetry, incarnation);
        let reload = SettingsReload {
            path: settings_path.to_path_buf(),
            hangups,
        };
        let result = control.block_on(run(Arc::new(gateway), reload, traffic.handle(), log));
        traffic.shutdown_background();
        result
    }
}

async fn run(
    gateway: Arc<Gateway>,
    reload: SettingsReload,
    traffic: &Handle,
    log: &Logger,
) -> Result<(), GatewayError> {
    let settings = &gateway.settings;
    gateway.event_log.log(&LogEvent::Started {
        availability_zone: &settings.availability_zone,
        store: settings.store_address.to_string(),
    });
    let callers = SharedListener::bind(settings.caller_address)?;
    let ready = SharedListener::bind(settings.ready_address)?;
    let metrics = SharedListener::bind(settings.metrics_address)?;
    let peers = SharedListener::bind(settings.peer_address)?;
    let socket = Arc::new(UdpSocket::bind(settings.peer_address).await?);
    // Set once, before any task sends datagrams.
    let _ = gateway.peer_socket.set(socket.clone());
    let context = SupervisorContext {
        clock: gateway.clock.clone(),
        metrics: gateway.telemetry.metrics(),
        log: log.clone(),
    };
    let supervisor = Supervisor::new(context);
    let supervisor = with_store_watches(supervisor, &gateway);
    let supervisor = with_peers(supervisor, &gateway, &socket, peers);
    let supervisor = with_lease_and_rollout(supervisor, &gateway);
    let supervisor = with_operator_listeners(supervisor, &gateway, ready, metrics);
    let supervisor = with_settings_reload(supervisor, &gateway, reload);
    let supervisor = with_callers(supervisor, &gateway, callers, traffic);
    tokio::select! {
        result = supervisor.run(drain_requested(gateway.clone())) => result?,
        () = stop_timed_out(&gateway) => {
            slog::warn!(log, "tasks did not stop within the shutdown timeout; aborted");
        }
    }
    gossip::announce_leaving(&gateway, &socket);
    Ok(())
}

fn with_store_watches(supervisor: Supervisor, gateway: &Arc<Gateway>) -> Supervisor {
    let watch = |supervisor: Supervisor, name, tracked| {
        let gateway = gateway.clone();
        supervisor.child(name, ChildSettings::default(), move |stop| {
            run_until_stopped(store_watch::watch_kind(gateway.clone(), tracked), stop)
        })
    };
    let supervisor = watch(supervisor, "config", TrackedKind::Config);
    let supervisor = watch(supervisor, "upstreams", TrackedKind::Upstreams);
    let supervisor = watch(supervisor, "weights", TrackedKind::Weights);
    let gateway = gateway.clone();
    supervisor.child("catch_up", ChildSettings::default(), move |stop| {
        run_until_stopped(catch_up::catch_up(gateway.clone()), stop)
    })
}

fn with_peers(
    supervisor: Supervisor,
    gateway: &Arc<Gateway>,
    socket: &Arc<UdpSocket>,
    reads: SharedListener,
) -> Supervisor {
    let quarantine_gateway = gateway.clone();
    let (member_gateway, receive_gateway, send_gateway, read_gateway) = (
        gateway.clone(),
        gateway.clone(),
        gateway.clone(),
        gateway.clone(),
    );
    let (receive_socket, send_socket) = (socket.clone(), socket.clone());
    let (news_gateway, news_socket) = (gateway.clone(), socket.clone());
    supervisor
        .child("member", ChildSettings::default(), move |stop| {
            let gateway = member_gateway.clone();
            async move {
                run_until_stopped(membership::maintain_membership(gateway.clone()), stop).await?;
                let vm = gateway.settings.vm.clone();
                if let Err(failure) = gateway.platform.store.unregister(vm).await {
                    let reason = failure.to_string();
                    let event = LogEvent::MembershipCallFailed {
                        call: "unregister",
                        reason,
                    };
                    gateway.event_log.log(&event);
                }
                Ok(())
            }
        })
        .child("quarantine", ChildSettings::default(), move |stop| {
            let gateway = quarantine_gateway.clone();
            run_until_stopped(maintain_quarantine(gateway), stop)
        })
        .child("beats_in", ChildSettings::default(), move |stop| {
            let receive =
                gossip::receive_datagrams(receive_gateway.clone(), receive_socket.clone());
            async move {
                tokio::select! {
                    result = receive => result?,
                    () = stop.raised() => {}
                }
                Ok(())
            }
        })
        .child("beats_out", ChildSettings::default(), move |stop| {
            run_until_stopped(
                gossip::send_heartbeats(send_gateway.clone(), send_socket.clone()),
                stop,
            )
        })
        .child("load_news", ChildSettings::default(), move |stop| {
            run_until_stopped(
                send_load_news(news_gateway.clone(), news_socket.clone()),
                stop,
            )
        })
        .child("reads_by_peers", ChildSettings::default(), move |stop| {
            serve(reads.duplicate(), read_gateway.clone(), stop)
        })
}

fn with_lease_and_rollout(supervisor: Supervisor, gateway: &Arc<Gateway>) -> Supervisor {
    let held = Arc::new(watch::Sender::new(None));
    let ordering = Arc::new(watch::Sender::new(None));
    let (lease_gateway, rollout_gateway) = (gateway.clone(), gateway.clone());
    let (lease_held, lease_ordering) = (held.clone(), ordering.clone());
    service_rollout::supervise(supervisor, gateway, held.clone())
        .child("lease", ChildSettings::default(), move |stop| {
            let (gateway, held) = (lease_gateway.clone(), lease_held.clone());
            let work = lease_task::maintain_lease(gateway, held, lease_ordering.subscribe(), stop);
            async move {
                work.await;
                Ok(())
            }
        })
        .child("rollout", ChildSettings::default(), move |stop| {
            let (gateway, ordering) = (rollout_gateway.clone(), ordering.clone());
            let work = rollout_task::run_rollouts(gateway, held.subscribe(), ordering);
            run_until_stopped(work, stop)
        })
}

fn with_operator_listeners(
    supervisor: Supervisor,
    gateway: &Arc<Gateway>,
    ready: SharedListener,
    metrics: SharedListener,
) -> Supervisor {
    let (ready_gateway, metrics_gateway) = (gateway.clone(), gateway.clone());
    supervisor
        .child("readiness", ChildSettings::default(), move |stop| {
            serve(ready.duplicate(), ready_gateway.clone(), stop)
        })
        .child("metrics", ChildSettings::default(), move |stop| {
            serve(metrics.duplicate(), metrics_gateway.clone(), stop)
        })
}

async fn serve(
    listener: io::Result<std::net::TcpListener>,
    gateway: Arc<Gateway>,
    stop: crate::supervisor::StopSignal,
) -> Result<(), ChildError> {
    let listener = TcpListener::from_std(listener?)?;
    run_until_stopped(server::serve_fleet(listener, gateway), stop).await
}

/// Settings file that is checked again on SIGHUP.
#[derive(Debug, Clone)]
struct SettingsReload {
    path: PathBuf,
    hangups: Hangups,
}

/// Adds a task that checks the settings file again on SIGHUP.
fn with_settings_reload(
    supervisor: Supervisor,
    gateway: &Arc<Gateway>,
    reload: SettingsReload,
) -> Supervisor {
    let gateway = gateway.clone();
    supervisor.child("settings", ChildSettings::default(), move |stop| {
        let (gateway, reload) = (gateway.clone(), reload.clone());
        let reload = async move {
            let mut hangups = reload.hangups.lock().await;
            while hangups.recv().await.is_some() {
                check_settings(&gateway, &reload.path);
            }
        };
        run_until_stopped(reload, stop)
    })
}

/// Logs whether the settings file differs from the active settings, which remain in use until the
/// next start.
fn check_settings(gateway: &Gateway, path: &Path) {
    match GatewaySettings::load(path) {
        Ok(settings) => {
            let is_changed = settings != gateway.settings;
            gateway.event_log.log(&LogEvent::Reloaded { is_changed });
        }
        Err(error) => {
            let code = error.code().number();
            let reason = error.to_string();
            gateway
                .event_log
                .log(&LogEvent::ReloadRefused { code, reason });
        }
    }
}

/// Adds the listener for callers; its stop waits for the requests in flight.
fn with_callers(
    supervisor: Supervisor,
    gateway: &Arc<Gateway>,
    listener: SharedListener,
    traffic: &Handle,
) -> Supervisor {
    let shutdown_timeout = gateway.settings.bounds.shutdown_timeout;
    let settings = ChildSettings {
        stop_timeout: shutdown_timeout,
        ..ChildSettings::default()
    };
    let (gateway, traffic) = (gateway.clone(), traffic.clone());
    supervisor.child("callers", settings, move |stop| {
        let (listener, gateway, traffic) = (listener.duplicate(), gateway.clone(), traffic.clone());
        async move {
            let listener = listener?;
            let accepted = listener.try_clone()?;
            let accepting_gateway = gateway.clone();
            let mut accepting = JoinSet::new();
            let accept = async move {
                server::serve_callers(TcpListener::from_std(accepted)?, accepting_gateway).await;
                io::Result::Ok(())
            };
            accepting.spawn_on(accept, &traffic);
            tokio::select! {
                _ = accepting.join_next() => return Err("the listener for callers ended".into()),
                () = stop.raised() => {}
            }
            wait_until_accepted(&listener).await?;
            accepting.shutdown().await;
            stop_listening(&listener)?;
            let plan = ShutdownPlan::within(shutdown_timeout);
            let bound = plan
                .abort_after
                .saturating_sub(gateway.time_since_stop().unwrap_or_default());
            finish_requests(&gateway, bound).await;
            Ok(())
        }
    })
}

async fn finish_requests(gateway: &Gateway, bound: Duration) {
    let requests_cut = match gateway.drain.wait_idle(bound).await {
        true => 0,
        false => {
            let requests = gateway.drain.request_count();
            gateway.drain.abort_requests();
            gateway.drain.wait_idle(ABORT_TIMEOUT).await;
            requests
        }
    };
    gateway.event_log.log(&LogEvent::Stopped {
        requests_cut,
        connections: gateway.drain.connection_count(),
        stopping_ms: gateway.stopping_ms(),
    });
}

/// Completes when the tasks have to end, whatever they wait for: the process would be killed soon.
async fn stop_timed_out(gateway: &Gateway) {
    gateway.drain.wait_until_refusing().await;
    let plan = ShutdownPlan::within(gateway.settings.bounds.shutdown_timeout);
    let time_since_stop = gateway.time_since_stop().unwrap_or_default();
    tokio::time::sleep(plan.end_after.saturating_sub(time_since_stop)).await;
}

/// Completes once the process was requested to stop and the load balancer had time to stop sending
/// requests.
async fn drain_requested(gateway: Arc<Gateway>) {
    if let Err(error) = wait_for_stop_signal().await {
        slog::error!(gateway.event_log.logger(), "signals unavailable"; "error" => %error);
        return std::future::pending().await;
    }
    let plan = ShutdownPlan::within(gateway.settings.bounds.shutdown_timeout);
    let now = gateway.now();
    // Set only once; a second signal has no effect.
    let _ = gateway.stop_requested_at.set(now);
    gateway.drain.start();
    gateway.state().peers.record_stop(now);
    gateway.heartbeat_due.notify_one();
    let requests = gateway.drain.request_count();
    let connections = gateway.drain.connection_count();
    gateway.event_log.log(&LogEvent::Stopping {
        requests,
        connections,
    });
    tokio::time::sleep(plan.close_idle_after).await;
    gateway.drain.close_idle_connections();
    tokio::time::sleep(plan.refuse_after.saturating_sub(plan.close_idle_after)).await;
    gateway.drain.refuse_requests();
    tokio::time::sleep(plan.stop_listening_after.saturating_sub(plan.refuse_after)).await;
}

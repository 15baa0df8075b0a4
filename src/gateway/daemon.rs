//! Gateway process: a supervisor tree with one thread for control state and one for traffic.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Builder, Handle};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::edge::{Platform, Tracked};
use super::hub::Hub;
use super::journal::{Event, Journal};
use super::settings::GatewaySettings;
use super::shutdown::ShutdownPlan;
use super::{follow, gossip, roll_out, server, steward};
use crate::clock::SystemClock;
use crate::daemon::{Listener, stop_requested, until_stopped};
use crate::entry::stop_listening;
use crate::ids::new_incarnation;
use crate::supervisor::{
    ChildError, ChildSettings, Supervisor, SupervisorContext, SupervisorError,
};
use crate::telemetry::Telemetry;

/// Time for the end of streams that passed the grace.
const CUT_SLACK: Duration = Duration::from_millis(200);

/// Why a gateway ended on its own.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum GatewayError {
    /// A listener or a thread could not be made.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// A task failed too often.
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Returns why it could not start or go on.
pub fn run_gateway(
    settings: GatewaySettings,
    settings_path: &Path,
    platform: Platform,
    log: &Logger,
) -> Result<(), GatewayError> {
    let traffic = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let control = Builder::new_current_thread().enable_all().build()?;
    let clock = SystemClock::shared();
    let journal = Journal::new(log.clone(), clock.clone());
    let incarnation = new_incarnation();
    let telemetry = Telemetry::new();
    let hub = Hub::new(settings, platform, clock, journal, telemetry, incarnation);
    let result = control.block_on(run(Arc::new(hub), settings_path, traffic.handle(), log));
    traffic.shutdown_background();
    result
}

async fn run(
    hub: Arc<Hub>,
    settings_path: &Path,
    traffic: &Handle,
    log: &Logger,
) -> Result<(), GatewayError> {
    let settings = &hub.settings;
    hub.journal.state(&Event::Started {
        availability_zone: &settings.availability_zone,
        store: settings.store_address.to_string(),
    });
    let callers = Listener::bind(settings.caller_address).await?;
    let ready = Listener::bind(settings.ready_address).await?;
    let metrics = Listener::bind(settings.metrics_address).await?;
    let peers = Listener::bind(settings.peer_address).await?;
    let socket = Arc::new(UdpSocket::bind(settings.peer_address).await?);
    // Bound once, before anything sends.
    let _ = hub.peer_socket.set(socket.clone());
    let context = SupervisorContext {
        clock: hub.clock.clone(),
        metrics: hub.telemetry.metrics(),
        log: log.clone(),
    };
    let supervisor = Supervisor::new(context);
    let supervisor = with_store(supervisor, &hub);
    let supervisor = with_peers(supervisor, &hub, &socket, peers);
    let supervisor = with_steward(supervisor, &hub);
    let supervisor = with_pages(supervisor, &hub, ready, metrics);
    let supervisor = with_settings(supervisor, &hub, settings_path.to_path_buf());
    let supervisor = with_callers(supervisor, &hub, callers, traffic);
    supervisor.run(drain_requested(hub.clone())).await?;
    gossip::send_leaving(&hub, &socket);
    Ok(())
}

fn with_store(supervisor: Supervisor, hub: &Arc<Hub>) -> Supervisor {
    let follower = |supervisor: Supervisor, name, tracked| {
        let hub = hub.clone();
        supervisor.child(name, ChildSettings::default(), move |stop| {
            until_stopped(follow::follow(hub.clone(), tracked), stop)
        })
    };
    let supervisor = follower(supervisor, "config", Tracked::Config);
    let supervisor = follower(supervisor, "upstreams", Tracked::Upstreams);
    let supervisor = follower(supervisor, "weights", Tracked::Weights);
    let hub = hub.clone();
    supervisor.child("catch_up", ChildSettings::default(), move |stop| {
        until_stopped(follow::catch_up(hub.clone()), stop)
    })
}

fn with_peers(
    supervisor: Supervisor,
    hub: &Arc<Hub>,
    socket: &Arc<UdpSocket>,
    reads: Listener,
) -> Supervisor {
    let (member_hub, receive_hub, send_hub, read_hub) =
        (hub.clone(), hub.clone(), hub.clone(), hub.clone());
    let (receive_socket, send_socket) = (socket.clone(), socket.clone());
    supervisor
        .child("member", ChildSettings::default(), move |stop| {
            let hub = member_hub.clone();
            async move {
                until_stopped(gossip::keep_member(hub.clone()), stop).await?;
                let vm = hub.settings.vm.clone();
                if let Err(failure) = hub.platform.store.unregister(vm).await {
                    let reason = failure.to_string();
                    let event = Event::MembershipCallFailed {
                        call: "unregister",
                        reason,
                    };
                    hub.journal.state(&event);
                }
                Ok(())
            }
        })
        .child("beats_in", ChildSettings::default(), move |stop| {
            let receive = gossip::receive(receive_hub.clone(), receive_socket.clone());
            async move {
                tokio::select! {
                    result = receive => result?,
                    () = stop.raised() => {}
                }
                Ok(())
            }
        })
        .child("beats_out", ChildSettings::default(), move |stop| {
            until_stopped(
                gossip::send_beats(send_hub.clone(), send_socket.clone()),
                stop,
            )
        })
        .child("reads_by_peers", ChildSettings::default(), move |stop| {
            serve(reads.duplicate(), read_hub.clone(), stop)
        })
}

fn with_steward(supervisor: Supervisor, hub: &Arc<Hub>) -> Supervisor {
    let held = Arc::new(watch::Sender::new(None));
    let (lease_hub, roll_hub, roll_held) = (hub.clone(), hub.clone(), held.clone());
    supervisor
        .child("lease", ChildSettings::default(), move |stop| {
            let work = steward::keep_lease(lease_hub.clone(), held.clone(), stop);
            async move {
                work.await;
                Ok(())
            }
        })
        .child("rollout", ChildSettings::default(), move |stop| {
            until_stopped(
                roll_out::roll_out(roll_hub.clone(), roll_held.subscribe()),
                stop,
            )
        })
}

fn with_pages(
    supervisor: Supervisor,
    hub: &Arc<Hub>,
    ready: Listener,
    metrics: Listener,
) -> Supervisor {
    let (ready_hub, metrics_hub) = (hub.clone(), hub.clone());
    supervisor
        .child("readiness", ChildSettings::default(), move |stop| {
            serve(ready.duplicate(), ready_hub.clone(), stop)
        })
        .child("metrics", ChildSettings::default(), move |stop| {
            serve(metrics.duplicate(), metrics_hub.clone(), stop)
        })
}

async fn serve(
    listener: io::Result<std::net::TcpListener>,
    hub: Arc<Hub>,
    stop: crate::supervisor::StopSignal,
) -> Result<(), ChildError> {
    let listener = TcpListener::from_std(listener?)?;
    until_stopped(server::serve_fleet(listener, hub), stop).await
}

/// Checks the settings file again when told that it has changed.
fn with_settings(supervisor: Supervisor, hub: &Arc<Hub>, path: PathBuf) -> Supervisor {
    let hub = hub.clone();
    supervisor.child("settings", ChildSettings::default(), move |stop| {
        let (hub, path) = (hub.clone(), path.clone());
        async move {
            let mut hangup = signal(SignalKind::hangup())?;
            let reload = async {
                while hangup.recv().await.is_some() {
                    check_settings(&hub, &path);
                }
            };
            until_stopped(reload, stop).await
        }
    })
}

/// Tells whether the settings differ from those in force, which hold until the next start.
fn check_settings(hub: &Hub, path: &Path) {
    match GatewaySettings::load(path) {
        Ok(settings) => {
            let is_changed = settings != hub.settings;
            hub.journal.state(&Event::Reloaded { is_changed });
        }
        Err(error) => {
            let code = error.code().number();
            let reason = error.to_string();
            hub.journal.state(&Event::ReloadRefused { code, reason });
        }
    }
}

/// Adds the listener for callers, whose end waits for the requests under way.
fn with_callers(
    supervisor: Supervisor,
    hub: &Arc<Hub>,
    listener: Listener,
    traffic: &Handle,
) -> Supervisor {
    let grace = hub.settings.bounds.grace;
    let settings = ChildSettings {
        stop_bound: grace,
        ..ChildSettings::default()
    };
    let (hub, traffic) = (hub.clone(), traffic.clone());
    supervisor.child("callers", settings, move |stop| {
        let (listener, hub, traffic) = (listener.duplicate(), hub.clone(), traffic.clone());
        async move {
            let listener = listener?;
            let accepted = listener.try_clone()?;
            let accepting_hub = hub.clone();
            let mut accepting = JoinSet::new();
            let accept = async move {
                server::serve_callers(TcpListener::from_std(accepted)?, accepting_hub).await;
                io::Result::Ok(())
            };
            accepting.spawn_on(accept, &traffic);
            tokio::select! {
                _ = accepting.join_next() => return Err("the listener for callers ended".into()),
                () = stop.raised() => accepting.shutdown().await,
            }
            stop_listening(&listener)?;
            let plan = ShutdownPlan::within(grace);
            let bound = plan
                .abort_after
                .saturating_sub(hub.stopping_for().unwrap_or_default());
            finish_requests(&hub, bound).await;
            Ok(())
        }
    })
}

async fn finish_requests(hub: &Hub, bound: Duration) {
    let requests_cut = match hub.drain.wait_idle(bound).await {
        true => 0,
        false => {
            let requests = hub.drain.under_way();
            hub.drain.cut();
            hub.drain.wait_idle(CUT_SLACK).await;
            requests
        }
    };
    hub.journal.state(&Event::Stopped { requests_cut });
}

/// Completes once the process was told to stop and the balancer had time to turn away.
async fn drain_requested(hub: Arc<Hub>) {
    if let Err(error) = stop_requested().await {
        slog::error!(hub.journal.logger(), "signals unavailable"; "error" => %error);
        return std::future::pending().await;
    }
    let plan = ShutdownPlan::within(hub.settings.bounds.grace);
    // Set once: a second signal changes nothing.
    let _ = hub.stopping_at.set(hub.now());
    hub.drain.start();
    let requests = hub.drain.under_way();
    hub.journal.state(&Event::Stopping { requests });
    tokio::time::sleep(plan.close_idle_after).await;
    hub.drain.close_idle();
    tokio::time::sleep(
        plan.stop_listening_after
            .saturating_sub(plan.close_idle_after),
    )
    .await;
}

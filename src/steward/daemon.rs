//! Steward daemon: a supervised tree of tasks on one thread.

use std::io;
use std::process::ExitCode;

use slog::{Logger, error};

use super::{LeaseHolder, LeaseSettings, LeaseTask, RolloutSettings, RolloutTask, StatusWriter};
use crate::clock::SystemClock;
use crate::daemon::{DaemonArgs, launch, wait_for_stop_signal};
use crate::ids::new_incarnation;
use crate::platform::StoreClient;
use crate::settings::Settings;
use crate::supervisor::{ChildSettings, Supervisor, SupervisorContext, SupervisorError};
use crate::telemetry::Telemetry;
use crate::upstream::UpstreamClient;

#[derive(Debug)]
#[derive(thiserror::Error)]
enum StewardError {
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    #[error(transparent)]
    Supervisor(#[from] SupervisorError),
}

/// Runs the steward daemon until the process receives a stop signal.
pub fn run_steward(args: &DaemonArgs) -> ExitCode {
    launch("celerylever-steward", args, run)
}

fn run(settings: Settings, log: &Logger) -> Result<(), StewardError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let shutdown = async {
            if let Err(error) = wait_for_stop_signal().await {
                error!(log, "signals unavailable"; "error" => %error);
                std::future::pending().await
            }
        };
        build_supervisor(settings, log).run(shutdown).await?;
        Ok(())
    })
}

/// Builds the supervision tree.
///
/// Children stop in reverse order, so the lease task stops before the status writer, which then
/// publishes the release.
fn build_supervisor(settings: Settings, log: &Logger) -> Supervisor {
    let telemetry = Telemetry::new();
    let context = SupervisorContext {
        clock: SystemClock::shared(),
        metrics: telemetry.metrics(),
        log: log.clone(),
    };
    let holder = LeaseHolder {
        vm: settings.process.vm,
        incarnation: new_incarnation(),
    };
    let lease_settings = LeaseSettings::from_lease_ttl(settings.platform.lease_ttl);
    let store = StoreClient::new(settings.platform).with_metrics(telemetry.metrics());
    let lease_task = LeaseTask::new(
        lease_settings,
        holder.clone(),
        store.clone(),
        context.clone(),
    );
    let rollout = RolloutTask {
        lease: lease_task.lease(),
        settings: RolloutSettings::from_lease_ttl(lease_settings.lease_ttl),
        store: store.clone(),
        client: UpstreamClient::new(&settings.upstream, context.clock.clone()),
        context: context.clone(),
    };
    let status = StatusWriter {
        holder,
        store,
        state: lease_task.state(),
        retry_delay: lease_settings.retry_delay,
    };
    let lease_child = ChildSettings {
        stop_timeout: lease_settings.lease_ttl,
        ..ChildSettings::default()
    };
    Supervisor::new(context)
        .child("status", ChildSettings::default(), move |stop| {
            let run = status.clone().run(stop);
            async {
                run.await;
                Ok(())
            }
        })
        .child("lease", lease_child, move |stop| {
            let run = lease_task.clone().run(stop);
            async {
                run.await;
                Ok(())
            }
        })
        .child("orders", ChildSettings::default(), move |stop| {
            let run = rollout.clone().run(stop);
            async {
                run.await;
                Ok(())
            }
        })
}

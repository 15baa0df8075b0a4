//! Supervised task with its runs and restarts.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use slog::warn;
use tokio::task::{JoinError, JoinSet};

use super::{
    ChildError, ChildSettings, RestartDecision, RestartWindow, StopSignal, SupervisorContext,
    SupervisorError,
};

pub(super) type ChildFuture = Pin<Box<dyn Future<Output = Result<(), ChildError>> + Send>>;

/// Task of a supervisor, with the factory that creates the future of each run.
#[derive(Clone)]
pub(super) struct Child {
    pub(super) name: &'static str,
    pub(super) settings: ChildSettings,
    pub(super) factory: Arc<dyn Fn(StopSignal) -> ChildFuture + Send + Sync>,
}

impl Child {
    /// Runs the task until it succeeds, `stop` is raised, or it fails too often.
    pub(super) async fn supervise(
        self,
        context: SupervisorContext,
        stop: StopSignal,
    ) -> Result<(), SupervisorError> {
        let mut window = RestartWindow::new(self.settings.restart_policy);
        loop {
            let Err(cause) = self.run_once(stop.clone()).await else {
                return Ok(());
            };
            if stop.is_raised() {
                return Ok(());
            }
            let child = self.name;
            let delay = match window.record_failure(context.clock.now()) {
                RestartDecision::GiveUp => {
                    return Err(SupervisorError::RestartsExceeded { child, cause });
                }
                RestartDecision::Restart { delay } => delay,
            };
            context.metrics.record_child_restart(child);
            warn!(context.log, "child failed; restarting"; "child" => child, "cause" => cause);
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = stop.clone().raised() => return Ok(()),
            }
        }
    }

    /// Runs the task once; a panic is returned as an error.
    ///
    /// The join set aborts the task when this future is dropped.
    async fn run_once(&self, stop: StopSignal) -> Result<(), String> {
        let factory = Arc::clone(&self.factory);
        let mut run = JoinSet::new();
        run.spawn(async move { factory(stop).await });
        match run.join_next().await {
            None | Some(Ok(Ok(()))) => Ok(()),
            Some(Ok(Err(error))) => Err(error.to_string()),
            Some(Err(error)) => Err(panic_message(error)),
        }
    }
}

fn panic_message(error: JoinError) -> String {
    let Ok(payload) = error.try_into_panic() else {
        return "cancelled".into();
    };
    let text = payload
        .downcast_ref::<&str>()
        .map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    format!("panic: {}", text.unwrap_or_default())
}

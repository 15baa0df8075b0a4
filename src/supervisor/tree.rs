//! Supervisor of a group of tasks, before and after its start.

use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::task::Child;
use super::{ChildError, RestartPolicy, StopSignal, SupervisorError};
use crate::clock::SharedClock;
use crate::telemetry::Metrics;

/// Restart and stop settings of one child.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChildSettings {
    /// Restart policy of the child.
    pub restart: RestartPolicy,
    /// Time that the child may take to stop when requested, before it is aborted.
    pub stop_timeout: Duration,
}

impl Default for ChildSettings {
    fn default() -> Self {
        Self {
            restart: RestartPolicy::default(),
            stop_timeout: Duration::from_secs(5),
        }
    }
}

/// Services of the process that a supervisor uses.
#[derive(Debug, Clone)]
pub struct SupervisorContext {
    /// Source of time.
    pub clock: SharedClock,
    /// Metrics that count restarts.
    pub metrics: Metrics,
    /// Log of restarts and aborted children.
    pub log: Logger,
}

/// Group of named tasks, started in order, restarted on failure and stopped in reverse order.
///
/// A supervisor may be a child of another: its [`run`](Self::run) future returns an error once one
/// of its children fails too often, and the parent then restarts the whole subtree.
pub struct Supervisor {
    context: SupervisorContext,
    children: Vec<Child>,
}

impl Supervisor {
    /// Creates a supervisor without children.
    pub fn new(context: SupervisorContext) -> Self {
        Self {
            context,
            children: Vec::new(),
        }
    }

    /// Adds a child; `factory` creates the future of each of its runs.
    ///
    /// A run that panics or returns an error is restarted; one that succeeds is not.
    pub fn child<F>(
        mut self,
        name: &'static str,
        settings: ChildSettings,
        factory: impl Fn(StopSignal) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Result<(), ChildError>> + Send + 'static,
    {
        self.children.push(Child {
            name,
            settings,
            factory: Arc::new(move |stop| Box::pin(factory(stop))),
        });
        self
    }

    /// Starts all children in order.
    pub fn start(self) -> RunningSupervisor {
        let (failure_sender, failures) = mpsc::unbounded_channel();
        let children = self.children.into_iter().map(|child| {
            let context = self.context.clone();
            RunningChild::start(child, context, failure_sender.clone())
        });
        RunningSupervisor {
            children: children.collect(),
            failures,
            log: self.context.log,
        }
    }

    /// Runs all children until `shutdown` completes, all children succeed, or one fails too often;
    /// then stops them in reverse order.
    ///
    /// # Errors
    ///
    /// Returns the error of the child that failed too often.
    pub async fn run(self, shutdown: impl Future<Output = ()>) -> Result<(), SupervisorError> {
        let mut running = self.start();
        let result = tokio::select! {
            () = shutdown => Ok(()),
            result = running.wait() => result,
        };
        running.stop().await;
        result
    }
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.children.iter().map(|child| child.name);
        f.debug_list().entries(names).finish()
    }
}

/// Started supervisor, whose children are aborted when it is dropped.
#[derive(Debug)]
pub struct RunningSupervisor {
    children: Vec<RunningChild>,
    failures: mpsc::UnboundedReceiver<SupervisorError>,
    log: Logger,
}

impl RunningSupervisor {
    /// Waits until all children have succeeded or one has failed too often.
    ///
    /// # Errors
    ///
    /// Returns the error of the child that failed too often.
    pub async fn wait(&mut self) -> Result<(), SupervisorError> {
        self.failures.recv().await.map_or(Ok(()), Err)
    }

    /// Stops the children one by one in reverse order, and aborts those that exceed their stop
    /// timeout.
    pub async fn stop(mut self) {
        while let Some(child) = self.children.pop() {
            let name = child.name;
            if child.stop().await.is_err() {
                warn!(self.log, "child did not stop within its timeout; aborted"; "child" => name);
            }
        }
    }
}

#[derive(Debug)]
struct RunningChild {
    name: &'static str,
    stop_timeout: Duration,
    stop: watch::Sender<bool>,
    task: JoinSet<()>,
}

impl RunningChild {
    fn start(
        child: Child,
        context: SupervisorContext,
        failures: mpsc::UnboundedSender<SupervisorError>,
    ) -> Self {
        let (stop, signal) = StopSignal::new();
        let (name, stop_timeout) = (child.name, child.settings.stop_timeout);
        let mut task = JoinSet::new();
        task.spawn(async move {
            if let Err(error) = child.supervise(context, signal).await {
                // The receiver is dropped only when the supervisor has stopped.
                let _ = failures.send(error);
            }
        });
        Self {
            name,
            stop_timeout,
            stop,
            task,
        }
    }

    async fn stop(mut self) -> Result<(), tokio::time::error::Elapsed> {
        self.stop.send_replace(true);
        let ended = tokio::time::timeout(self.stop_timeout, self.task.join_next()).await;
        self.task.shutdown().await;
        ended.map(|_| ())
    }
}

//! Check whether an engine whose connections broke has crashed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::record::QuarantineSource;
use super::suspect::{Suspect, SuspectKind};
use super::watch::{BrokenConnection, InterruptedRun};
use crate::gateway::attempt_failure::AttemptFailure;
use crate::gateway::event_log::LogEvent;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::process_hash::hash_process;
use crate::gateway::prompt::hash_part;
use crate::gateway::request::AdmittedRequest;
use crate::gateway::state::Gateway;
use crate::gateway::upstream_registry::UpstreamInstance;

/// Timeout of a check; a path that is cut answers nothing.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a process that ends closes its listener after its first connection.
const LISTENER_END_TIME: Duration = Duration::from_millis(50);
/// Time until a connection that was reset is opened again.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl AdmittedRequest {
    /// Checks whether an engine has crashed, after the connection of this request to it broke.
    ///
    /// One check serves all requests that were at the engine.
    pub(in crate::gateway) fn check_crash(&self, dispatched: &DispatchedRequest) {
        let (instance, address) = (&dispatched.instance, dispatched.address);
        // A process that leaves may end with streams unfinished.
        if !self.is_in_service(dispatched) {
            return;
        }
        let gateway = &self.gateway;
        let mut state = gateway.state();
        let process = hash_process(instance);
        let run = self.interrupted_run(dispatched);
        let part_ids = self.shared_part_ids();
        let part_ids = part_ids.map(|id| (Suspect::Part(hash_part(id)), id));
        let now = gateway.now();
        let broken = state.crash_guard.record_broken(process, run, part_ids, now);
        drop(state);
        match broken {
            BrokenConnection::CheckDue => {
                let (gateway, instance) = (gateway.clone(), instance.clone());
                tokio::spawn(async move { gateway.run_crash_check(&instance, address).await });
            }
            BrokenConnection::CheckRunning => {}
            BrokenConnection::Crashed => gateway.heartbeat_due.notify_one(),
        }
    }

    /// Checks that an engine did not end when it closed the connection that ended an answer.
    ///
    /// The close of a connection by a process that ends looks like one that ends an answer. An
    /// engine that leaves may be taken away before it has ended its answers.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt if nothing listens at the engine's address.
    pub(in crate::gateway) async fn check_end_by_close(
        &self,
        dispatched: &DispatchedRequest,
    ) -> Result<(), AttemptFailure> {
        match is_listening(dispatched.address).await {
            true => Ok(()),
            false => Err(AttemptFailure::connection(
                "the engine no longer listens, and its answer had no other end than the close",
            )),
        }
    }

    /// Returns whether an engine is listed and does not leave.
    fn is_in_service(&self, dispatched: &DispatchedRequest) -> bool {
        let mut state = self.gateway.state();
        let upstream = state.upstreams.instance_mut(&dispatched.instance);
        upstream.is_some_and(|upstream| upstream.is_ready())
    }

    /// Records that the request ran to its end at an engine.
    pub(in crate::gateway) fn record_end(&self, dispatched: &DispatchedRequest) {
        let process = hash_process(&dispatched.instance);
        let now = self.gateway.now();
        let run = self.interrupted_run(dispatched);
        let mut state = self.gateway.state();
        let change = state.crash_guard.record_end(process, &run, now);
        drop(state);
        self.gateway
            .record_quarantine_changes(change.as_slice(), QuarantineSource::Own);
    }

    /// Returns the fingerprint of the request, for log lines.
    pub(in crate::gateway) fn fingerprint(&self) -> String {
        let mut suspects = self.placement_request.suspects.iter();
        let request = suspects.find(|suspect| suspect.kind() == SuspectKind::Request);
        format!("{:016x}", request.map_or(0, |request| request.hash()))
    }

    /// Returns the identifiers of the parts of the prompt that other prompts may share.
    pub(in crate::gateway) fn shared_part_ids(&self) -> impl Iterator<Item = &str> {
        let prompt = self.placement_request.prompt.iter();
        let parts = prompt.flat_map(|prompt| prompt.shared_parts());
        parts.map(|part| part.id.as_str())
    }

    /// Returns why the request is refused for what is held.
    pub(in crate::gateway) fn quarantine_reason(&self, held: Suspect) -> String {
        match held {
            Suspect::Request(_) => "copies of the request crash engines".to_owned(),
            Suspect::Part(part) => {
                let mut names = self.shared_part_ids();
                let name = names.find(|id| hash_part(id) == part).unwrap_or("unknown");
                format!("a part of the prompt crashes engines: {name}")
            }
        }
    }

    fn interrupted_run(&self, dispatched: &DispatchedRequest) -> InterruptedRun {
        InterruptedRun {
            suspects: self.placement_request.suspects.clone(),
            began_at: dispatched.placed_at,
        }
    }
}

impl Gateway {
    async fn run_crash_check(self: &Arc<Self>, instance: &UpstreamInstance, address: SocketAddr) {
        let process = hash_process(instance);
        if is_listening(address).await {
            return self.state().crash_guard.record_listening(process);
        }
        let requests = self.state().crash_guard.record_crash(process);
        // The other VMs hear of the crash at once.
        self.heartbeat_due.notify_one();
        self.metrics.count_crash();
        self.event_log.log(&LogEvent::UpstreamCrashed {
            upstream: &instance.id,
            born_ms: instance.born_ms,
            process: format!("{process:016x}"),
            requests,
        });
    }
}

/// Returns `false` only if no process listens at the address.
///
/// A process that ends may close its connections before its listener, which then resets the
/// connections that wait there. One that goes on may reset a connection too, if it has too many.
async fn is_listening(address: SocketAddr) -> bool {
    let end = tokio::time::Instant::now() + LISTENER_END_TIME;
    loop {
        let mut stream = match connect(address).await {
            Connected::Refused => return false,
            Connected::Unknown => return true,
            Connected::Open(stream) => stream,
        };
        let mut byte = [0];
        let closed = tokio::time::timeout_at(end, stream.read(&mut byte)).await;
        if !matches!(closed, Ok(Ok(0) | Err(_))) {
            return true;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

enum Connected {
    Open(TcpStream),
    /// No process listens.
    Refused,
    Unknown,
}

async fn connect(address: SocketAddr) -> Connected {
    match tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Connected::Open(stream),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Connected::Refused,
        Ok(Err(_)) | Err(_) => Connected::Unknown,
    }
}

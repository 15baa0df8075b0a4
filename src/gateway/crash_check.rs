//! Check whether an engine whose connections broke has crashed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::crash_watch::{BrokenConnection, hash_process};
use super::dispatch::DispatchedRequest;
use super::event_log::LogEvent;
use super::request::AdmittedRequest;
use super::state::Gateway;
use super::upstream_registry::UpstreamInstance;

/// Timeout of a check; a path that is cut answers nothing.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

impl AdmittedRequest {
    /// Checks whether an engine has crashed, after the connection of this request to it broke.
    ///
    /// One check serves all requests that were at the engine.
    pub(super) fn check_crash(&self, dispatched: &DispatchedRequest) {
        let (instance, address) = (&dispatched.instance, dispatched.address);
        let gateway = &self.gateway;
        let mut state = gateway.state();
        // A process that leaves may end with streams unfinished.
        let is_in_service = state
            .upstreams
            .instance_mut(instance)
            .is_some_and(|upstream| upstream.is_ready());
        if !is_in_service {
            return;
        }
        let process = hash_process(instance);
        let part_ids = self.shared_part_ids();
        let shared_parts = &self.placement_request.shared_parts;
        let broken =
            state
                .crash_guard
                .record_broken(process, shared_parts, part_ids, gateway.now());
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

    /// Records that the request ran to its end at an engine.
    pub(super) fn record_end(&self, dispatched: &DispatchedRequest) {
        let process = hash_process(&dispatched.instance);
        let now = self.gateway.now();
        let parts = &self.placement_request.shared_parts;
        let mut state = self.gateway.state();
        state.crash_guard.record_end(process, parts, now);
    }
}

impl Gateway {
    async fn run_crash_check(self: &Arc<Self>, instance: &UpstreamInstance, address: SocketAddr) {
        let process = hash_process(instance);
        if is_listening(address).await {
            return self.state().crash_guard.record_listening(process);
        }
        let now = self.now();
        let requests = self.state().crash_guard.record_crash(process, now);
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
async fn is_listening(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

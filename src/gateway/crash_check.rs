//! Check whether an engine whose connections broke has crashed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::crash_watch::{BrokenConnection, hash_process};
use super::dispatch::DispatchedRequest;
use super::event_log::LogEvent;
use super::prompt::PartHash;
use super::state::Gateway;
use super::upstream_registry::UpstreamInstance;

/// Timeout of a check; a path that is cut answers nothing.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

impl Gateway {
    /// Checks whether an engine has crashed, after the connection of a request to it broke.
    ///
    /// One check serves all requests that were at the engine.
    pub(super) fn check_crash(
        self: &Arc<Self>,
        dispatched: &DispatchedRequest,
        parts: &Arc<[PartHash]>,
    ) {
        let (instance, address) = (&dispatched.instance, dispatched.address);
        let mut state = self.state();
        // A process that leaves may end with streams unfinished.
        let is_in_service = state
            .upstreams
            .instance_mut(instance)
            .is_some_and(|upstream| upstream.is_ready());
        if !is_in_service {
            return;
        }
        let now = self.now();
        let process = hash_process(instance);
        match state.crash_watch.record_broken(process, parts, now) {
            BrokenConnection::CheckDue => {
                let (gateway, instance) = (self.clone(), instance.clone());
                tokio::spawn(async move { gateway.run_crash_check(&instance, address).await });
            }
            BrokenConnection::CheckRunning | BrokenConnection::Crashed => {}
        }
    }

    async fn run_crash_check(&self, instance: &UpstreamInstance, address: SocketAddr) {
        let process = hash_process(instance);
        if is_listening(address).await {
            return self.state().crash_watch.record_listening(process);
        }
        let requests = self.state().crash_watch.record_crash(process);
        self.metrics.count_crash();
        self.event_log.log(&LogEvent::UpstreamCrashed {
            upstream: &instance.id,
            born_ms: instance.born_ms,
            process: format!("{process:016x}"),
            requests: requests.len(),
        });
    }
}

/// Returns `false` only if no process listens at the address.
async fn is_listening(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

//! Connections that find whether the path to a service is lost, and when it is restored.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IteratorRandom;

use super::paths::{PathChange, PathState};
use crate::gateway::event_log::LogEvent;
use crate::gateway::pool;
use crate::gateway::state::Gateway;

/// Number of upstreams to which connections are tried before a service counts as cut.
const CHECKED_UPSTREAMS: usize = 3;
/// Time between two probes of a service.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

impl Gateway {
    /// Returns the path from this VM to a service.
    pub(in crate::gateway) fn path_state(&self, service: &str) -> PathState {
        let now = self.now();
        self.state().upstream_paths.state(service, now)
    }

    /// Returns whether requests of a service should be handled by another VM.
    pub(in crate::gateway) fn is_cut_from(&self, service: &str) -> bool {
        self.path_state(service) == PathState::Cut && self.may_ask_for_help()
    }

    /// Returns whether another VM may help, as far as is known.
    pub(in crate::gateway) fn may_ask_for_help(&self) -> bool {
        let now = self.now();
        self.state().helpers.may_help(now)
    }

    /// Records that a new connection to an upstream could not be opened.
    pub(in crate::gateway) fn record_connect_failed(
        self: &Arc<Self>,
        service: &str,
        upstream: &str,
    ) {
        let now = self.now();
        let mut state = self.state();
        let upstreams = state.upstreams.ready(service).count();
        let paths = &mut state.upstream_paths;
        let change = paths.record_failed(service, upstream, upstreams, now);
        drop(state);
        if change == Some(PathChange::Suspected) {
            let (gateway, service) = (self.clone(), service.to_owned());
            tokio::spawn(async move { gateway.check_path(&service).await });
        }
    }

    /// Opens connections to a few upstreams of a service, which is cut if all fail.
    async fn check_path(&self, service: &str) {
        let addresses = {
            let state = self.state();
            let paths = &state.upstream_paths;
            let upstreams = state.upstreams.ready(service).map(|upstream| {
                let has_failed = paths.has_failed(service, &upstream.instance.id);
                (has_failed, rand::random::<u32>(), upstream.entry.address)
            });
            // Those that have not failed come first.
            let mut upstreams: Vec<_> = upstreams.collect();
            upstreams.sort_unstable();
            upstreams.truncate(CHECKED_UPSTREAMS);
            upstreams
        };
        let connections = addresses.into_iter().map(|(_, _, address)| async move {
            let connected = pool::connect(address).await;
            if connected.is_ok() {
                self.record_connected(service);
            }
        });
        join_all(connections).await;
        let now = self.now();
        let change = self
            .state()
            .upstream_paths
            .record_check_failed(service, now);
        if change == Some(PathChange::Lost) {
            self.event_log.log(&LogEvent::PathLost { service });
            self.probe_until_restored(service).await;
        }
    }

    /// Records that a new connection to an upstream was opened.
    pub(in crate::gateway) fn record_connected(&self, service: &str) {
        let now = self.now();
        let change = self.state().upstream_paths.record_connected(service, now);
        if let Some(PathChange::Restored(after)) = change {
            let after_ms = after.as_millis() as u64;
            self.event_log
                .log(&LogEvent::PathRestored { service, after_ms });
        }
    }

    /// Opens a connection to one upstream of a service at intervals, until that succeeds.
    ///
    /// One VM makes two such connections a second, whatever its load.
    async fn probe_until_restored(&self, service: &str) {
        while self.path_state(service) != PathState::Open {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let address = {
                let state = self.state();
                let upstreams = state.upstreams.ready(service);
                let upstream = upstreams.choose(&mut rand::rng());
                upstream.map(|upstream| upstream.entry.address)
            };
            if let Some(address) = address
                && pool::connect(address).await.is_ok()
            {
                self.record_connected(service);
            }
        }
    }
}

//! What limits mean for the choice of upstreams at this VM, and for requests that wait.

use std::time::Duration;

use super::limits::UpstreamLimits;
use super::permit_exchange::PERMIT_TIMEOUT;
use crate::clock::Instant;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::process_hash::{ProcessHash, hash_process};
use crate::gateway::state::GatewayState;
use crate::gateway::upstream_registry::Upstream;

/// Longest time after which a request that waits for permits is expected to be sent.
const WAIT_MAX: Duration = Duration::from_secs(10);

impl GatewayState {
    /// Returns whether requests to an upstream need a permit.
    pub(in crate::gateway) fn needs_permit(&self, upstream: &Upstream) -> bool {
        let limits = &self.upstream_limits;
        !limits.is_empty() && limits.rate(hash_process(&upstream.instance)).is_some()
    }

    /// Records that a request was placed while upstreams of its service name limits.
    pub(in crate::gateway) fn record_limited_choice(
        &mut self,
        service: &str,
        dispatched: &DispatchedRequest,
        now: Instant,
    ) {
        self.record_held_back(service, now);
        if dispatched.needs_permit {
            // Until the reply, no other request of this VM asks.
            let process = hash_process(&dispatched.instance);
            self.upstream_limits.set_wait(process, now + PERMIT_TIMEOUT);
        }
    }

    /// Records that a request passed over the upstreams of its service that wait for permits.
    pub(in crate::gateway) fn record_held_back(&mut self, service: &str, now: Instant) {
        let limits: &UpstreamLimits = &self.upstream_limits;
        if limits.is_empty() {
            return;
        }
        let processes = self
            .upstreams
            .ready(service)
            .map(|upstream| hash_process(&upstream.instance));
        let waiting: Vec<ProcessHash> = processes
            .filter(|process| limits.waits_until(*process, now).is_some())
            .collect();
        for process in waiting {
            self.upstream_limits.record_held_back(process);
        }
    }

    /// Returns the time at which a request is expected to be sent after some others of this VM, if
    /// all upstreams of the service name limits, and `first_at` is the time of the next permit.
    pub(in crate::gateway) fn permit_expected_at(
        &self,
        service: &str,
        requests_ahead: usize,
        first_at: Option<Instant>,
        now: Instant,
    ) -> Option<Instant> {
        if self.upstream_limits.is_empty() {
            return None;
        }
        let upstreams = self.serving(service, now);
        let rates: Option<Vec<f64>> = upstreams
            .map(|upstream| {
                let rate = self
                    .upstream_limits
                    .rate(hash_process(&upstream.instance))?;
                Some(rate.permitted_per_s())
            })
            .collect();
        // An equal part for each VM; what the others leave is not known here.
        let rate = rates?.iter().sum::<f64>() / self.fleet_size() as f64;
        let ahead = Duration::try_from_secs_f64(requests_ahead as f64 / rate);
        Some(first_at.unwrap_or(now) + ahead.unwrap_or(WAIT_MAX).min(WAIT_MAX))
    }
}

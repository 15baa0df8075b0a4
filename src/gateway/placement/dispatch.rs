//! Accounting of a request that was dispatched to an upstream.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::StatusCode;
use rand::Rng;

use super::choice::PlacementSettings;
use crate::clock::Instant;
use crate::gateway::brittle_upstream::{SendKeeper, SendPermit};
use crate::gateway::event_log::LogEvent;
use crate::gateway::model::{ServiceId, SoftwareVersion, WeightNumber};
use crate::gateway::name_hash::hash_name;
use crate::gateway::platform_api::ResponseHead;
use crate::gateway::process_hash::hash_process;
use crate::gateway::service_rollout::{CountedRun, RequestOutcome};
use crate::gateway::state::Gateway;
use crate::gateway::upstream_capacity::LoadEstimate;
use crate::gateway::upstream_limit::RequestRate;
use crate::gateway::upstream_registry::{Upstream, UpstreamInstance, UpstreamLoad};
use crate::ids::Tokens;

/// Weight of a new sample in the moving average of the engines' prompt speed.
const SPEED_SMOOTHING: f64 = 0.05;
/// Minimum uncached prompt length of a speed sample; shorter ones are too inaccurate.
const SPEED_SAMPLE_TOKENS_MIN: Tokens = 4_000;
/// Limits of a speed sample.
const SPEED_RANGE_TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 10.0..=500.0;

/// Time for which an engine that rejects requests while it is idle is assumed to execute an order.
/// Loading weights takes up to a second; the spread lets few VMs at a time try whether it is over.
const ASSUMED_ORDER_TIME: std::ops::Range<Duration> =
    Duration::from_millis(500)..Duration::from_millis(1_000);

/// Multiple of a request's expected work after which its response is overdue.
const OVERDUE_WORK_FACTOR: u32 = 3;
/// Time added to the due time of each response.
const OVERDUE_SLACK: Duration = Duration::from_millis(200);

/// Request dispatched to an upstream; its load is subtracted on drop.
#[derive(Debug)]
pub(in crate::gateway) struct DispatchedRequest {
    gateway: Arc<Gateway>,
    pub(in crate::gateway) instance: UpstreamInstance,
    pub(in crate::gateway) address: SocketAddr,
    pub(in crate::gateway) service: ServiceId,
    /// Software that the upstream has for as long as its process runs.
    pub(in crate::gateway) software: Option<SoftwareVersion>,
    /// Weights that the engine is assumed to have, and that must serve the request.
    pub(in crate::gateway) weights: Option<WeightNumber>,
    /// Prompt tokens that the engine is assumed to have cached.
    pub(in crate::gateway) cached_tokens: Tokens,
    /// Address of the engine or cache store that holds as much of the prompt or more.
    pub(in crate::gateway) fetch_from: Option<SocketAddr>,
    /// Cache store to save the prompt to, as its shared prefix was not known to be cached.
    pub(in crate::gateway) save_to: Option<SocketAddr>,
    /// Prompt tokens that the engine processes before this request.
    pub(in crate::gateway) ahead_tokens: Tokens,
    /// Number of the attempt, from 1; set when the request is to be sent.
    pub(in crate::gateway) attempt: u32,
    /// Time at which the request was placed.
    pub(in crate::gateway) placed_at: Instant,
    /// Time for which the engine had lacked target weights when the request was placed.
    pub(in crate::gateway) time_behind: Duration,
    /// Whether the upstream names a limit, so that the request needs a permit.
    pub(in crate::gateway) needs_permit: bool,
    /// Requests that the upstream processes at once.
    pub(in crate::gateway) slots: u32,
    /// Permit of the request if the upstream is brittle.
    pub(in crate::gateway) send_permit: Option<SendPermit>,
    /// Estimate of the upstream's load without this request, in services that are load-aware.
    pub(in crate::gateway) load_estimate: Option<LoadEstimate>,
    /// Count of the run once the request is sent, if the service has a rollout.
    counted_run: OnceLock<CountedRun>,
    number: u64,
    load: UpstreamLoad,
    is_awaiting_first_response: bool,
}

impl DispatchedRequest {
    /// Creates the record of a request; the caller adds its load to the upstream.
    pub(in crate::gateway) fn new(
        gateway: &Arc<Gateway>,
        upstream: &Upstream,
        load: UpstreamLoad,
        weights: Option<WeightNumber>,
    ) -> Self {
        Self {
            gateway: gateway.clone(),
            instance: upstream.instance.clone(),
            address: upstream.entry.address,
            service: upstream.entry.service.clone(),
            software: upstream.entry.software.clone(),
            weights,
            cached_tokens: 0,
            fetch_from: None,
            save_to: None,
            ahead_tokens: 0,
            attempt: 0,
            placed_at: gateway.now(),
            time_behind: Duration::ZERO,
            needs_permit: false,
            slots: upstream.entry.slots,
            send_permit: None,
            load_estimate: None,
            counted_run: OnceLock::new(),
            number: gateway.next_request_number.fetch_add(1, Ordering::Relaxed),
            load,
            is_awaiting_first_response: true,
        }
    }

    pub(in crate::gateway) fn with_cached(
        mut self,
        cached_tokens: Tokens,
        fetch_from: Option<SocketAddr>,
    ) -> Self {
        self.cached_tokens = cached_tokens;
        self.fetch_from = fetch_from;
        self
    }

    pub(in crate::gateway) fn with_save_to(mut self, save_to: Option<SocketAddr>) -> Self {
        self.save_to = save_to;
        self
    }

    pub(in crate::gateway) fn with_tokens_ahead(mut self, ahead_tokens: Tokens) -> Self {
        self.ahead_tokens = ahead_tokens;
        self
    }

    pub(in crate::gateway) fn with_time_behind(mut self, time_behind: Duration) -> Self {
        self.time_behind = time_behind;
        self
    }

    pub(in crate::gateway) fn with_needs_permit(mut self, needs_permit: bool) -> Self {
        self.needs_permit = needs_permit;
        self
    }

    pub(in crate::gateway) fn with_load_estimate(mut self, estimate: Option<LoadEstimate>) -> Self {
        self.load_estimate = estimate;
        self
    }

    /// Returns the number that identifies the request at this VM.
    pub(in crate::gateway) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the time at which the first event or the response is overdue, from the expected
    /// work and the request's objective.
    pub(in crate::gateway) fn response_due(
        &self,
        expected_work: Duration,
        objective: Duration,
    ) -> Instant {
        self.placed_at + (expected_work * OVERDUE_WORK_FACTOR).max(objective) + OVERDUE_SLACK
    }

    /// Returns whether neither the first event nor the response has arrived.
    pub(in crate::gateway) fn is_awaiting_first_response(&self) -> bool {
        self.is_awaiting_first_response
    }

    /// Records that the first event or the response has arrived; returns `false` if it had before.
    pub(in crate::gateway) fn record_first_response(&mut self) -> bool {
        if !std::mem::take(&mut self.is_awaiting_first_response) {
            return false;
        }
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let speed_sample = self.update_prefill_speed(&mut state.placement_settings, now);
        let common_tokens_per_ms = state.placement_settings.prefill_tokens_per_ms;
        if let Some(upstream) = state.upstreams.instance_mut(&self.instance) {
            upstream.own_load.prefill_tokens = upstream
                .own_load
                .prefill_tokens
                .saturating_sub(self.load.prefill_tokens);
            upstream.clear_expected_response(self.number);
            upstream.record_success(now);
            if let Some(estimate) = &self.load_estimate {
                let speed = &mut upstream.usual_speed;
                if self.is_plain() {
                    let time = now.saturating_sub(self.placed_at);
                    speed.record_response(time, estimate.work_multiple());
                }
                if let Some(tokens_per_ms) = speed_sample {
                    speed.record_prefill(tokens_per_ms, estimate.slowness, common_tokens_per_ms);
                }
            }
        }
        drop(state);
        self.gateway.place_queued();
        true
    }

    /// Counts the request as sent if its service has a rollout.
    pub(in crate::gateway) fn count_run(&self, route: &str) {
        if let Some(run) = CountedRun::start(&self.gateway, self, route) {
            // The request is sent once.
            let _ = self.counted_run.set(run);
        }
    }

    /// Counts the time to the first byte of a response that is no failure.
    pub(in crate::gateway) fn count_response(&self) {
        if let Some(run) = self.counted_run.get() {
            run.respond();
        }
    }

    /// Counts the outcome of the request.
    pub(in crate::gateway) fn count_outcome(&self, outcome: RequestOutcome) {
        if let Some(run) = self.counted_run.get() {
            run.conclude(outcome);
        }
    }

    /// Records the weights that served the request.
    pub(in crate::gateway) fn record_weights(&mut self, weights: WeightNumber, model: &str) {
        if let Some(upstream) = self.gateway.state().upstreams.instance_mut(&self.instance) {
            upstream.record_weights(model, weights);
        }
    }

    /// Records a failure of the upstream; see [`Upstream::record_failure`] for `weight`.
    pub(in crate::gateway) fn record_failure(&self, weight: f64) {
        let now = self.gateway.now();
        if let Some(upstream) = self.gateway.state().upstreams.instance_mut(&self.instance) {
            upstream.record_failure(weight, now);
        }
    }

    /// Records what a response says of its upstream beyond the request.
    pub(in crate::gateway) fn record_announcements(&self, status: StatusCode, head: &ResponseHead) {
        let is_end = head.is_not_run || self.is_plain();
        let ended_request = is_end.then_some(self.number);
        self.gateway
            .record_announcements(&self.instance, status, head, ended_request);
    }

    /// Records that the upstream rejected the request without running it.
    pub(in crate::gateway) fn record_rejection(&self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let fleet_size = state.fleet_size();
        let rejections_max = state.brittle_services.rejections_max(&self.service);
        // A keeper counts the rejection, if there is one.
        let has_keeper = rejections_max.is_none()
            || state.send_keeper(hash_process(&self.instance), now) != SendKeeper::Nobody;
        let hold_off = match has_keeper {
            true => None,
            false => state.brittle_services.hold_off(&self.service, fleet_size),
        };
        let mut fleet_requests = 0;
        if let Some(upstream) = state.upstreams.get(&self.instance.id) {
            fleet_requests = state.total_load(upstream).requests;
        }
        // The estimate tells that the service is load-aware.
        let may_assume_order = self.load_estimate.is_some() && rejections_max.is_none();
        let is_known_by_peers = state.peer_view.is_in_rollout(hash_name(&self.instance.id));
        let Some(upstream) = state.upstreams.instance_mut(&self.instance) else {
            return;
        };
        let has_hold_off = upstream.held_off_until(now).is_some();
        let is_order_assumed = may_assume_order
            && !has_hold_off
            && !upstream.entry.models.is_empty()
            && upstream.load_record.is_idle_rejection();
        if is_order_assumed {
            let time = rand::rng().random_range(ASSUMED_ORDER_TIME);
            upstream.assume_order(now + time, !is_known_by_peers);
        }
        upstream.record_rejection(now);
        upstream.load_record.record_rejection(now);
        let announced = upstream.load_record.latest();
        if let Some(time) = hold_off {
            upstream.record_hold_off(time, now);
        }
        let event = LogEvent::UpstreamRejected {
            upstream: &self.instance.id,
            own_requests: upstream.own_load.requests,
            fleet_requests,
            slots: upstream.entry.slots,
            announced_running: announced.map(|load| load.running),
            announced_waiting: announced.map(|load| load.waiting),
            rejections_max_per_s: rejections_max.map(RequestRate::per_s),
        };
        drop(state);
        let is_brittle = rejections_max.is_some();
        self.gateway.metrics.count_rejection(is_brittle);
        if is_order_assumed && !is_known_by_peers {
            self.gateway.heartbeat_due.notify_one();
        }
        self.gateway.event_log.log(&event);
    }

    /// Records that the upstream could not be reached.
    pub(in crate::gateway) fn record_unreachable(&self) {
        let now = self.gateway.now();
        self.gateway.pool.close_idle(&self.instance);
        if let Some(upstream) = self.gateway.state().upstreams.instance_mut(&self.instance) {
            upstream.record_unreachable(now);
        }
    }

    /// Returns whether the request has no prompt.
    fn is_plain(&self) -> bool {
        self.weights.is_none()
    }

    /// Updates the common prompt speed; returns the measured one if the prompt is long enough.
    fn update_prefill_speed(&self, placement: &mut PlacementSettings, now: Instant) -> Option<f64> {
        let tokens = self.load.prefill_tokens + self.ahead_tokens;
        let elapsed_ms = now.saturating_sub(self.placed_at).as_secs_f64() * 1_000.0;
        if self.load.prefill_tokens < SPEED_SAMPLE_TOKENS_MIN || elapsed_ms < 1.0 {
            return None;
        }
        let sample = (tokens as f64 / elapsed_ms).clamp(
            *SPEED_RANGE_TOKENS_PER_MS.start(),
            *SPEED_RANGE_TOKENS_PER_MS.end(),
        );
        let speed = &mut placement.prefill_tokens_per_ms;
        *speed += SPEED_SMOOTHING * (sample - *speed);
        Some(sample)
    }
}

impl Drop for DispatchedRequest {
    fn drop(&mut self) {
        if let Some(upstream) = self.gateway.state().upstreams.instance_mut(&self.instance) {
            upstream.clear_expected_response(self.number);
            upstream.load_record.record_returned(self.number);
            let own_load = &mut upstream.own_load;
            own_load.requests = own_load.requests.saturating_sub(1);
            own_load.memory_tokens = own_load
                .memory_tokens
                .saturating_sub(self.load.memory_tokens);
            if self.is_awaiting_first_response {
                own_load.prefill_tokens = own_load
                    .prefill_tokens
                    .saturating_sub(self.load.prefill_tokens);
            }
        }
        self.gateway.place_queued();
    }
}

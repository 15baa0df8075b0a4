//! Request that was sent to an upstream, and what it takes there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::model::WeightNumber;
use super::placement::PlacementSettings;
use super::state::Gateway;
use super::upstream_registry::{Upstream, UpstreamInstance, UpstreamLoad};
use crate::clock::Instant;
use crate::ids::Tokens;

/// Weight of a new sample in the estimate of an engine's reading speed.
const SPEED_SMOOTHING: f64 = 0.05;
/// Shortest prompt whose reading time says something about the speed.
const SPEED_SAMPLE_TOKENS_MIN: Tokens = 4_000;
/// Speeds that an estimate may have, in tokens a millisecond.
const SPEED_RANGE_TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 10.0..=500.0;

/// Times its expected work that an upstream may stay silent.
const SILENCE_WORK_FACTOR: u32 = 3;
/// Time beyond that.
const SILENCE_SLACK: Duration = Duration::from_millis(200);

/// Request sent to an upstream; what it takes there is given back on drop.
#[derive(Debug)]
pub(super) struct DispatchedRequest {
    gateway: Arc<Gateway>,
    pub(super) instance: UpstreamInstance,
    pub(super) address: SocketAddr,
    /// Weights that the engine is believed to have, and must have.
    pub(super) weights: Option<WeightNumber>,
    /// Tokens of the prompt that the engine is believed to hold.
    pub(super) cached_tokens: Tokens,
    /// Engine that holds more of the prompt.
    pub(super) fetch_from: Option<SocketAddr>,
    /// Store that keeps the prompt, as no engine was known to hold its shared parts.
    pub(super) save_to: Option<SocketAddr>,
    /// Prompt tokens that the engine reads before.
    pub(super) ahead_tokens: Tokens,
    /// When the request was placed.
    pub(super) placed_at: Instant,
    number: u64,
    load: UpstreamLoad,
    is_awaiting_first_response: bool,
}

impl DispatchedRequest {
    /// Creates the record of a request that is counted at its upstream already.
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        upstream: &Upstream,
        load: UpstreamLoad,
        weights: Option<WeightNumber>,
    ) -> Self {
        Self {
            gateway: gateway.clone(),
            instance: upstream.instance.clone(),
            address: upstream.entry.address,
            weights,
            cached_tokens: 0,
            fetch_from: None,
            save_to: None,
            ahead_tokens: 0,
            placed_at: gateway.now(),
            number: gateway.next_request.fetch_add(1, Ordering::Relaxed),
            load,
            is_awaiting_first_response: true,
        }
    }

    pub(super) fn with_cached(
        mut self,
        cached_tokens: Tokens,
        fetch_from: Option<SocketAddr>,
    ) -> Self {
        self.cached_tokens = cached_tokens;
        self.fetch_from = fetch_from;
        self
    }

    pub(super) fn with_save_to(mut self, save_to: Option<SocketAddr>) -> Self {
        self.save_to = save_to;
        self
    }

    pub(super) fn with_tokens_ahead(mut self, ahead_tokens: Tokens) -> Self {
        self.ahead_tokens = ahead_tokens;
        self
    }

    /// Returns the request's number at this VM.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Returns by when the upstream should show something, where its work takes some time.
    pub(super) fn response_due(&self, expected_work: Duration, objective: Duration) -> Instant {
        self.placed_at + (expected_work * SILENCE_WORK_FACTOR).max(objective) + SILENCE_SLACK
    }

    /// Notes that the first event or the answer has come.
    pub(super) fn record_first_response(&mut self) {
        if !std::mem::take(&mut self.is_awaiting_first_response) {
            return;
        }
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        self.update_prefill_speed(&mut state.placement, now);
        if let Some(upstream) = state.fleet.instance_mut(&self.instance) {
            upstream.own_load.prefill_tokens = upstream
                .own_load
                .prefill_tokens
                .saturating_sub(self.load.prefill_tokens);
            upstream.clear_expected_response(self.number);
            upstream.record_success();
        }
        drop(state);
        self.gateway.place_queued();
    }

    /// Notes the weights that answer.
    pub(super) fn record_weights(&mut self, weights: WeightNumber, model: &str) {
        if let Some(upstream) = self.gateway.state().fleet.instance_mut(&self.instance) {
            upstream.record_weights(model, weights);
        }
    }

    /// Notes a failure of the upstream; `weight` is below one where it says little.
    pub(super) fn record_failure(&self, weight: f64) {
        let now = self.gateway.now();
        if let Some(upstream) = self.gateway.state().fleet.instance_mut(&self.instance) {
            upstream.record_failure(weight, now);
        }
    }

    /// Notes that the upstream turned the request away.
    pub(super) fn record_rejection(&self) {
        let now = self.gateway.now();
        if let Some(upstream) = self.gateway.state().fleet.instance_mut(&self.instance) {
            upstream.record_rejection(now);
        }
    }

    /// Notes that the upstream could not be reached.
    pub(super) fn record_unreachable(&self) {
        let now = self.gateway.now();
        self.gateway.pool.close_idle(&self.instance);
        if let Some(upstream) = self.gateway.state().fleet.instance_mut(&self.instance) {
            upstream.record_unreachable(now);
        }
    }

    fn update_prefill_speed(&self, placement: &mut PlacementSettings, now: Instant) {
        let tokens = self.load.prefill_tokens + self.ahead_tokens;
        let elapsed_ms = now.saturating_sub(self.placed_at).as_secs_f64() * 1_000.0;
        if self.load.prefill_tokens < SPEED_SAMPLE_TOKENS_MIN || elapsed_ms < 1.0 {
            return;
        }
        let sample = (tokens as f64 / elapsed_ms).clamp(
            *SPEED_RANGE_TOKENS_PER_MS.start(),
            *SPEED_RANGE_TOKENS_PER_MS.end(),
        );
        let speed = &mut placement.prefill_tokens_per_ms;
        *speed += SPEED_SMOOTHING * (sample - *speed);
    }
}

impl Drop for DispatchedRequest {
    fn drop(&mut self) {
        if let Some(upstream) = self.gateway.state().fleet.instance_mut(&self.instance) {
            upstream.clear_expected_response(self.number);
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

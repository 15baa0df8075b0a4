//! Request that was sent to an upstream, and what it takes there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::fleet::{Engine, Instance, Work};
use super::model::WeightNumber;
use super::placement::PlacementSettings;
use super::state::Gateway;
use crate::clock::Instant;
use crate::ids::Tokens;

/// Weight of a new sample in the estimate of an engine's reading speed.
const SPEED_SHARE: f64 = 0.05;
/// Shortest prompt whose reading time says something about the speed.
const SPEED_TOKENS_MIN: Tokens = 4_000;
/// Speeds that an estimate may have, in tokens a millisecond.
const SPEED_RANGE: std::ops::RangeInclusive<f64> = 10.0..=500.0;

/// Times its expected work that an upstream may stay silent.
const SILENCE_WORK_TIMES: u32 = 3;
/// Time beyond that.
const SILENCE_SLACK: Duration = Duration::from_millis(200);

/// Request sent to an upstream; what it takes there is given back on drop.
#[derive(Debug)]
pub(super) struct Dispatched {
    gateway: Arc<Gateway>,
    pub(super) instance: Instance,
    pub(super) address: SocketAddr,
    /// Weights that the engine is believed to have, and must have.
    pub(super) weights: Option<WeightNumber>,
    /// Tokens of the prompt that the engine is believed to hold.
    pub(super) held_tokens: Tokens,
    /// Engine that holds more of the prompt.
    pub(super) fetch_from: Option<SocketAddr>,
    /// Store that keeps the prompt, as no engine was known to hold its shared parts.
    pub(super) save_to: Option<SocketAddr>,
    /// Prompt tokens that the engine reads before.
    pub(super) ahead_tokens: Tokens,
    /// When the request was placed.
    pub(super) at: Instant,
    number: u64,
    work: Work,
    is_reading: bool,
}

impl Dispatched {
    /// Creates the record of a request that is counted at its upstream already.
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        engine: &Engine,
        work: Work,
        weights: Option<WeightNumber>,
    ) -> Self {
        Self {
            gateway: gateway.clone(),
            instance: engine.instance.clone(),
            address: engine.entry.address,
            weights,
            held_tokens: 0,
            fetch_from: None,
            save_to: None,
            ahead_tokens: 0,
            at: gateway.now(),
            number: gateway.next_request.fetch_add(1, Ordering::Relaxed),
            work,
            is_reading: true,
        }
    }

    pub(super) fn with_found(
        mut self,
        held_tokens: Tokens,
        fetch_from: Option<SocketAddr>,
    ) -> Self {
        self.held_tokens = held_tokens;
        self.fetch_from = fetch_from;
        self
    }

    pub(super) fn with_save_to(mut self, save_to: Option<SocketAddr>) -> Self {
        self.save_to = save_to;
        self
    }

    pub(super) fn with_ahead(mut self, ahead_tokens: Tokens) -> Self {
        self.ahead_tokens = ahead_tokens;
        self
    }

    /// Returns the request's number at this VM.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Returns by when the upstream should show something, where its work takes some time.
    pub(super) fn due(&self, work: Duration, objective: Duration) -> Instant {
        self.at + (work * SILENCE_WORK_TIMES).max(objective) + SILENCE_SLACK
    }

    /// Notes that the first event or the answer has come.
    pub(super) fn started(&mut self) {
        if !std::mem::take(&mut self.is_reading) {
            return;
        }
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        self.learn_speed(&mut state.placement, now);
        if let Some(engine) = state.fleet.instance_mut(&self.instance) {
            engine.own.reading_tokens = engine
                .own
                .reading_tokens
                .saturating_sub(self.work.reading_tokens);
            engine.expect_no_more(self.number);
            engine.succeeded();
        }
        drop(state);
        self.gateway.pump();
    }

    /// Notes the weights that answer.
    pub(super) fn saw_weights(&mut self, weights: WeightNumber, model: &str) {
        if let Some(engine) = self.gateway.state().fleet.instance_mut(&self.instance) {
            engine.saw_weights(model, weights);
        }
    }

    /// Notes a failure of the upstream; `weight` is below one where it says little.
    pub(super) fn failed(&self, weight: f64) {
        let now = self.gateway.now();
        if let Some(engine) = self.gateway.state().fleet.instance_mut(&self.instance) {
            engine.failed(weight, now);
        }
    }

    /// Notes that the upstream turned the request away.
    pub(super) fn turned_away(&self) {
        let now = self.gateway.now();
        if let Some(engine) = self.gateway.state().fleet.instance_mut(&self.instance) {
            engine.turned_away(now);
        }
    }

    /// Notes that the upstream could not be reached.
    pub(super) fn unreachable(&self) {
        let now = self.gateway.now();
        self.gateway.pool.close_idle(&self.instance);
        if let Some(engine) = self.gateway.state().fleet.instance_mut(&self.instance) {
            engine.unreachable(now);
        }
    }

    fn learn_speed(&self, placement: &mut PlacementSettings, now: Instant) {
        let tokens = self.work.reading_tokens + self.ahead_tokens;
        let elapsed_ms = now.saturating_sub(self.at).as_secs_f64() * 1_000.0;
        if self.work.reading_tokens < SPEED_TOKENS_MIN || elapsed_ms < 1.0 {
            return;
        }
        let sample = (tokens as f64 / elapsed_ms).clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end());
        let speed = &mut placement.read_tokens_per_ms;
        *speed += SPEED_SHARE * (sample - *speed);
    }
}

impl Drop for Dispatched {
    fn drop(&mut self) {
        if let Some(engine) = self.gateway.state().fleet.instance_mut(&self.instance) {
            engine.expect_no_more(self.number);
            let own = &mut engine.own;
            own.requests = own.requests.saturating_sub(1);
            own.memory_tokens = own.memory_tokens.saturating_sub(self.work.memory_tokens);
            if self.is_reading {
                own.reading_tokens = own.reading_tokens.saturating_sub(self.work.reading_tokens);
            }
        }
        self.gateway.pump();
    }
}

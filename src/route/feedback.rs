//! Feedback to the chooser: responses, failures, load reports and cache events of engines.

use std::net::SocketAddr;
use std::time::Duration;

use super::{
    Choice, Chooser, EngineFailure, EngineNumber, HealthChange, LoadReport, PIECE_TOKENS, Reason,
    RoutingRequest,
};
use crate::clock::Instant;
use crate::ids::{Incarnation, Tokens, UpstreamId, WeightVersion};

/// Metadata in the head of an engine's response.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseHead {
    /// Incarnation of the engine's process, if reported.
    pub incarnation: Option<Incarnation>,
    /// Weight version that answered, if reported.
    pub weight_version: Option<WeightVersion>,
    /// Prompt tokens found in the cache, if reported.
    pub cached_tokens: Option<Tokens>,
    /// Whether the head arrived with the first token instead of with the whole response.
    pub is_first_token: bool,
}

/// Engine to poll next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollTarget {
    /// Number of the engine.
    pub engine: EngineNumber,
    /// Name of the engine.
    pub upstream: UpstreamId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Credential to send to it, if any.
    pub credential: Option<String>,
    /// Whether the engine is down, so that only a new connection proves it to be up.
    pub is_probe: bool,
}

impl Chooser {
    /// Records the head of the response to a request.
    pub fn record_response(
        &mut self,
        request: &RoutingRequest,
        choice: &Choice,
        head: &ResponseHead,
        now: Instant,
    ) {
        let engine = self.engine_table.engine_mut(choice.engine);
        engine.remove_pending_tokens(choice.missed_tokens);
        engine.health.record_response();
        let is_current = head
            .incarnation
            .is_none_or(|incarnation| engine.record_incarnation(incarnation, choice.at, now));
        if let Some(weight_version) = &head.weight_version {
            engine.record_weight_version(weight_version, now);
        }
        let is_expected = head.weight_version.as_ref() == Some(&request.weight_version);
        let Some(cached_tokens) = head.cached_tokens else {
            return;
        };
        if choice.held_pieces > 0 && is_current {
            let cached_pieces = (cached_tokens / PIECE_TOKENS) as usize;
            let age = now.saturating_sub(choice.held_at);
            engine.observe_cache_lifetime(age, cached_pieces >= choice.held_pieces);
            if choice.reason != Reason::Home {
                self.hit_ratio.observe(choice.held_pieces, cached_pieces);
            }
        }
        if head.is_first_token {
            let missed = request.prefix.prompt_tokens().saturating_sub(cached_tokens);
            self.observe_wait(choice, missed, now);
        }
        if is_current && is_expected {
            self.index
                .record_cached(&request.prefix, choice.engine, now);
        }
    }

    /// Records that a request failed before the head of its response.
    ///
    /// `failure` is `None` if the failure does not concern the engine.
    pub fn record_failure(
        &mut self,
        choice: &Choice,
        failure: Option<EngineFailure>,
        now: Instant,
    ) -> Option<HealthChange> {
        let engine = self.engine_table.engine_mut(choice.engine);
        engine.remove_pending_tokens(choice.missed_tokens);
        let failure = failure?;
        if failure == EngineFailure::NotServing {
            engine.record_refusal(now);
        }
        self.record_engine_failure(choice.engine, failure, now)
    }

    /// Records that an engine refused a request for its weight version.
    pub fn record_weight_refusal(&mut self, choice: &Choice, now: Instant) {
        let engine = self.engine_table.engine_mut(choice.engine);
        engine.record_refusal(now);
        engine.forget_cache(now);
    }

    /// Records the end of a request.
    pub fn record_finish(&mut self, engine: EngineNumber) {
        self.engine_table.engine_mut(engine).record_finish();
    }

    /// Applies a load report that was requested at `requested_at`.
    pub fn apply_report(
        &mut self,
        engine: EngineNumber,
        report: &LoadReport,
        requested_at: Instant,
        is_new_connection: bool,
        now: Instant,
    ) -> Option<HealthChange> {
        let engine = self.engine_table.engine_mut(engine);
        engine.apply_report(report, requested_at, now);
        if is_new_connection {
            return engine.health.record_response_on_new_connection();
        }
        engine.health.record_response();
        None
    }

    /// Records the failure of a poll or of a stream in progress.
    pub fn record_engine_failure(
        &mut self,
        engine: EngineNumber,
        failure: EngineFailure,
        now: Instant,
    ) -> Option<HealthChange> {
        let engine = self.engine_table.engine_mut(engine);
        engine.polled_at = Some(now);
        let change = engine.health.record_failure(failure, now);
        if change == Some(HealthChange::Down) {
            engine.forget_cache(now);
        }
        change
    }

    /// Records a cache event by which an engine evicted a piece.
    pub fn record_eviction(&mut self, engine: EngineNumber, hash: super::PrefixHash) {
        self.index.record_evicted(hash, engine);
    }

    /// Records a gap in an engine's cache events, after which its cache content is unknown.
    pub fn record_event_gap(&mut self, engine: EngineNumber, now: Instant) {
        self.engine_table.engine_mut(engine).forget_cache(now);
    }

    /// Returns the engine to poll next, if any is due.
    ///
    /// Prefers engines that are down, then those in use or in this VM's zone, then those whose last
    /// poll is the oldest.
    pub fn next_poll(&mut self, min_interval: Duration, now: Instant) -> Option<PollTarget> {
        let members = self.engine_table.members();
        let due = |number: &EngineNumber| {
            let engine = self.engine_table.engine(*number);
            match engine.health.is_up() {
                true => engine.polled_at.is_none_or(|at| now >= at + min_interval),
                false => {
                    engine.health.is_probe_due(now)
                        && engine.polled_at.is_none_or(|at| now >= at + min_interval)
                }
            }
        };
        let rank = |number: &EngineNumber| {
            let engine = self.engine_table.engine(*number);
            let is_wanted =
                engine.in_flight > 0 || self.engine_table.is_same_zone[usize::from(*number)];
            (engine.health.is_up(), !is_wanted, engine.polled_at)
        };
        let number = members.into_iter().filter(due).min_by_key(rank)?;
        let engine = self.engine_table.engine_mut(number);
        engine.polled_at = Some(now);
        let address = engine.address;
        let credential = engine.credential.clone();
        let is_probe = !engine.health.is_up();
        Some(PollTarget {
            engine: number,
            upstream: self.engine_table.names[usize::from(number)].clone(),
            address,
            credential,
            is_probe,
        })
    }

    /// Sets the addresses that the platform lists as leaving.
    pub fn set_leaving(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.engine_table.leaving = addresses.into_iter().collect();
    }

    /// Returns the number of further requests up to an engine's limit.
    pub fn room(&self, engine: EngineNumber) -> usize {
        let engine = self.engine_table.engine(engine);
        engine.in_flight_limit().saturating_sub(engine.in_flight)
    }

    /// Returns the number of this VM's requests in flight at an engine, and the limit on it.
    pub fn in_flight(&self, upstream: &str) -> Option<(usize, usize)> {
        let engine = self
            .engine_table
            .engine(self.engine_table.number_of(upstream)?);
        Some((engine.in_flight, engine.in_flight_limit()))
    }

    /// Returns whether an engine is up.
    pub fn is_up(&self, upstream: &str) -> bool {
        self.engine_table
            .number_of(upstream)
            .is_some_and(|number| self.engine_table.engine(number).health.is_up())
    }

    fn observe_wait(&mut self, choice: &Choice, missed: Tokens, now: Instant) {
        let elapsed = now.saturating_sub(choice.at);
        self.cost.observe(elapsed, missed);
        let own_compute = self.cost.per_token() * u32::try_from(missed).unwrap_or(u32::MAX);
        let engine = self.engine_table.engine_mut(choice.engine);
        let wait = elapsed.saturating_sub(own_compute);
        engine.record_wait(wait, now);
        self.mean_wait.observe(wait, now);
    }
}

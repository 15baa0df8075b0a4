//! State of one engine as known to this VM.

use std::net::SocketAddr;
use std::time::Duration;

use super::Health;
use crate::clock::Instant;
use crate::ids::{Incarnation, Tokens, WeightVersion};

/// Age from which on a load report is ignored.
pub const REPORT_AGE_MAX: Duration = Duration::from_secs(2);
/// Half-life of an engine's last observed wait.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(300);
/// Half-life of the mean wait while no new wait is observed.
const MEAN_WAIT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Weight of a new observation in the mean wait.
const MEAN_WAIT_EWMA_WEIGHT: f64 = 0.1;
/// Bounds of the estimated time for which a piece stays cached.
const CACHE_LIFETIME_MIN: Duration = Duration::from_millis(200);
const CACHE_LIFETIME_MAX: Duration = Duration::from_secs(60);
/// Time for which an engine gets no new requests after it refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);
/// Initial value and bounds of the limit on this VM's requests in flight at one engine.
const IN_FLIGHT_LIMIT_INITIAL: f64 = 64.0;
const IN_FLIGHT_LIMIT_MIN: f64 = 2.0;
const IN_FLIGHT_LIMIT_MAX: f64 = 512.0;
/// Requests that may queue at the engine, as a ratio to the running ones.
const QUEUED_TO_RUNNING_RATIO: f64 = 0.5;
/// Further requests that may queue at the engine, so that it never idles for lack of them.
const QUEUED_REQUESTS_MIN: f64 = 8.0;

/// Load reported by an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Weight version that the engine has loaded.
    pub weight_version: WeightVersion,
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Age of the figures when the report arrived.
    pub age: Duration,
}

/// State of one engine as known to this VM.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) address: SocketAddr,
    pub(super) credential: Option<String>,
    pub(super) health: Health,
    pub(super) in_flight: usize,
    pub(super) last_used: Instant,
    pub(super) polled_at: Option<Instant>,
    pub(super) weight_version: Option<WeightVersion>,
    pending_tokens: Tokens,
    in_flight_limit: f64,
    incarnation: Option<Incarnation>,
    cache_known_since: Instant,
    cache_lifetime: Duration,
    refused_until: Instant,
    last_wait: ObservedWait,
    other_vms: Option<OtherVmsLoad>,
}

/// Exponentially decaying mean of the recent waits at all engines.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanWait(ObservedWait);

impl MeanWait {
    pub(super) fn get(self, now: Instant) -> Duration {
        let age = now.saturating_sub(self.0.at).as_secs_f64();
        let recency_weight = 0.5_f64.powf(age / MEAN_WAIT_HALF_LIFE.as_secs_f64());
        self.0.duration.mul_f64(recency_weight)
    }

    pub(super) fn observe(&mut self, duration: Duration, now: Instant) {
        let mean = self.get(now);
        self.0 = ObservedWait {
            duration: mean.mul_f64(1.0 - MEAN_WAIT_EWMA_WEIGHT)
                + duration.mul_f64(MEAN_WAIT_EWMA_WEIGHT),
            at: now,
        };
    }
}

/// Wait of a request before its own prompt was computed.
#[derive(Debug, Clone, Copy, Default)]
struct ObservedWait {
    duration: Duration,
    at: Instant,
}

/// Load that other VMs put on the engine.
#[derive(Debug, Clone, Copy)]
struct OtherVmsLoad {
    queued: usize,
    reported_at: Instant,
}

impl Engine {
    pub(super) fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            credential: None,
            health: Health::default(),
            in_flight: 0,
            last_used: now,
            polled_at: None,
            weight_version: None,
            pending_tokens: 0,
            in_flight_limit: IN_FLIGHT_LIMIT_INITIAL,
            incarnation: None,
            cache_known_since: now,
            cache_lifetime: CACHE_LIFETIME_MAX,
            refused_until: Instant::ZERO,
            last_wait: ObservedWait::default(),
            other_vms: None,
        }
    }

    /// Returns whether this VM has reached its limit of requests in flight at the engine.
    pub(super) fn is_saturated(&self) -> bool {
        self.in_flight as f64 >= self.in_flight_limit
    }

    /// Returns the number of requests that this VM may have in flight at the engine.
    pub(super) fn in_flight_limit(&self) -> usize {
        self.in_flight_limit as usize
    }

    /// Returns whether the engine may get a request for a weight version.
    pub(super) fn accepts(&self, weight_version: &str, now: Instant) -> bool {
        let holds = self.weight_version.as_deref();
        now >= self.refused_until && holds.is_none_or(|version| version == weight_version)
    }

    /// Returns whether a prefix known to be cached at `at` may still be cached at `now`.
    pub(super) fn may_have_cached(&self, at: Instant, now: Instant) -> bool {
        at > self.cache_known_since && now.saturating_sub(at) <= self.cache_lifetime
    }

    /// Returns the estimated wait before a request's own prompt is computed.
    ///
    /// As the last observed wait ages, the mean wait of all engines replaces it, so that an engine
    /// without recent observations does not look idle.
    pub(super) fn backlog(&self, token_cost: Duration, mean: Duration, now: Instant) -> Duration {
        let pending_compute = token_cost * self.pending_tokens.min(u64::from(u32::MAX)) as u32;
        let age = now.saturating_sub(self.last_wait.at);
        let recency_weight = 0.5_f64.powf(age.as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64());
        let recent_wait =
            self.last_wait.duration.mul_f64(recency_weight) + mean.mul_f64(1.0 - recency_weight);
        pending_compute
            .max(recent_wait)
            .max(self.queued_by_others(token_cost, now))
    }

    fn queued_by_others(&self, token_cost: Duration, now: Instant) -> Duration {
        const TOKENS_PER_QUEUED_REQUEST: u32 = 1_000;
        let Some(other_vms) = self.other_vms else {
            return Duration::ZERO;
        };
        let age = now.saturating_sub(other_vms.reported_at);
        if age >= REPORT_AGE_MAX {
            return Duration::ZERO;
        }
        let recency_weight = 1.0 - age.as_secs_f64() / REPORT_AGE_MAX.as_secs_f64();
        (token_cost * TOKENS_PER_QUEUED_REQUEST).mul_f64(other_vms.queued as f64 * recency_weight)
    }

    pub(super) fn record_start(&mut self, missed_tokens: Tokens, now: Instant) {
        self.in_flight += 1;
        self.pending_tokens += missed_tokens;
        self.last_used = now;
    }

    pub(super) fn add_pending_tokens(&mut self, missed_tokens: Tokens) {
        self.pending_tokens += missed_tokens;
    }

    /// Records that a request's prompt was computed, or will not be.
    pub(super) fn remove_pending_tokens(&mut self, missed_tokens: Tokens) {
        self.pending_tokens = self.pending_tokens.saturating_sub(missed_tokens);
    }

    pub(super) fn record_finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn record_wait(&mut self, duration: Duration, now: Instant) {
        self.last_wait = ObservedWait { duration, at: now };
    }

    pub(super) fn record_refusal(&mut self, now: Instant) {
        self.refused_until = now + REFUSAL_PAUSE;
        self.in_flight_limit = (self.in_flight as f64 / 2.0).max(IN_FLIGHT_LIMIT_MIN);
    }

    /// Treats every prefix known to be cached so far as no longer cached.
    pub(super) fn forget_cache(&mut self, now: Instant) {
        self.cache_known_since = now;
    }

    /// Records the incarnation in the response to a call made at `called_at`.
    ///
    /// Returns whether the response is from the current incarnation. A response from another one is
    /// outdated if the call was made before the current state became known.
    pub(super) fn record_incarnation(
        &mut self,
        incarnation: Incarnation,
        called_at: Instant,
        now: Instant,
    ) -> bool {
        match self.incarnation {
            Some(known) if known == incarnation => true,
            Some(_) if called_at < self.cache_known_since => false,
            Some(_) => {
                self.incarnation = Some(incarnation);
                self.forget_cache(now);
                self.other_vms = None;
                true
            }
            None => {
                self.incarnation = Some(incarnation);
                true
            }
        }
    }

    /// Records the weight version in a response; after a change, all cached prefixes are forgotten.
    pub(super) fn record_weight_version(&mut self, weight_version: &str, now: Instant) {
        match self.weight_version.as_deref() {
            Some(known) if known == weight_version => {}
            None => self.weight_version = Some(weight_version.to_owned()),
            Some(_) => {
                self.weight_version = Some(weight_version.to_owned());
                self.forget_cache(now);
            }
        }
    }

    /// Adjusts the estimated cache lifetime by whether a piece of some age was still cached.
    pub(super) fn observe_cache_lifetime(&mut self, age: Duration, was_cached: bool) {
        let cache_lifetime = match was_cached {
            true => self.cache_lifetime.max(age * 2),
            false => self.cache_lifetime.min((self.cache_lifetime + age) / 2),
        };
        self.cache_lifetime = cache_lifetime.clamp(CACHE_LIFETIME_MIN, CACHE_LIFETIME_MAX);
    }

    /// Applies a load report that was requested at `requested_at`.
    pub(super) fn apply_report(
        &mut self,
        report: &LoadReport,
        requested_at: Instant,
        now: Instant,
    ) {
        self.polled_at = Some(now);
        if !self.record_incarnation(
            report.incarnation,
            requested_at.saturating_sub(report.age),
            now,
        ) {
            return;
        }
        self.record_weight_version(&report.weight_version, now);
        let total = report.running + report.queued;
        let foreign_share = 1.0 - (self.in_flight as f64 / total.max(1) as f64).min(1.0);
        self.other_vms = Some(OtherVmsLoad {
            queued: (report.queued as f64 * foreign_share).round() as usize,
            reported_at: requested_at.saturating_sub(report.age),
        });
        if report.age < REPORT_AGE_MAX {
            self.adapt_in_flight_limit(report);
        }
    }

    fn adapt_in_flight_limit(&mut self, report: &LoadReport) {
        let running = report.running as f64;
        let target = running * (1.0 + QUEUED_TO_RUNNING_RATIO) + QUEUED_REQUESTS_MIN;
        let total = running + report.queued as f64;
        let in_flight_limit = match total > target {
            true => self
                .in_flight_limit
                .min(self.in_flight as f64 * target / total),
            false if self.in_flight as f64 * 2.0 >= self.in_flight_limit => {
                self.in_flight_limit * 1.25 + 1.0
            }
            false => self.in_flight_limit,
        };
        self.in_flight_limit = in_flight_limit.clamp(IN_FLIGHT_LIMIT_MIN, IN_FLIGHT_LIMIT_MAX);
    }
}

//! Estimates of how long engines and the cache store retain cached prompts.
//!
//! Load pattern: engines and the cache store evict what was used least recently. A store that
//! serves few engines retains prompts for longer than they do; one that serves many evicts them
//! sooner. The retention time follows from the capacity and the rate of additions, so no fixed
//! time suits all deployments.

use std::collections::HashMap;
use std::time::Duration;

use super::model::ServiceId;
use crate::clock::Instant;
use crate::ids::Tokens;

/// Averaging window of the addition rates; about the retention time of an engine.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Maximum retention time that is assumed, as the store may have restarted in the meantime.
const RETENTION_MAX: Duration = Duration::from_secs(60);

/// Rates at which requests of this VM add tokens to caches.
#[derive(Debug, Default)]
pub struct CacheRetention {
    prefills: HashMap<ServiceId, DecayingRate>,
    store_writes: DecayingRate,
}

#[derive(Debug, Default)]
struct DecayingRate {
    tokens_per_s: f64,
    updated_at: Instant,
}

impl CacheRetention {
    /// Creates an estimate without any additions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records tokens that an engine of a service adds to its cache, by prefill or fetch.
    pub fn record_prefill(&mut self, service: &str, tokens: Tokens, now: Instant) {
        match self.prefills.get_mut(service) {
            Some(rate) => rate.add(tokens, now),
            None => {
                let rate = self.prefills.entry(service.to_owned()).or_default();
                rate.add(tokens, now);
            }
        }
    }

    /// Records tokens that are sent to the cache store.
    pub fn record_store_write(&mut self, tokens: Tokens, now: Instant) {
        self.store_writes.add(tokens, now);
    }

    /// Returns the retention time of an engine, if each VM adds as much as this one.
    pub fn engine_retention(
        &self,
        service: &str,
        memory_tokens: Tokens,
        engines: usize,
        vms: usize,
        now: Instant,
    ) -> Duration {
        let rate = self.prefills.get(service);
        let tokens_per_s = rate.map_or(0.0, |rate| rate.at(now)) * vms as f64;
        retention_time(memory_tokens, tokens_per_s / engines.max(1) as f64)
    }

    /// Returns the retention time of the cache store, if each VM adds as much as this one.
    pub fn cache_store_retention(
        &self,
        capacity_tokens: Tokens,
        vms: usize,
        now: Instant,
    ) -> Duration {
        retention_time(capacity_tokens, self.store_writes.at(now) * vms as f64)
    }
}

/// Returns whether the cache store is likelier than an engine to still hold a prefix.
///
/// Compares the time since the prefix was last used at each, relative to the retention time there.
pub fn is_store_likelier(
    store_age: Duration,
    store_retention: Duration,
    engine_age: Duration,
    engine_retention: Duration,
) -> bool {
    let relative_age =
        |age: Duration, retention: Duration| age.as_secs_f64() / retention.as_secs_f64().max(0.001);
    relative_age(store_age, store_retention) < relative_age(engine_age, engine_retention)
}

fn retention_time(capacity_tokens: Tokens, added_tokens_per_s: f64) -> Duration {
    let seconds = capacity_tokens as f64 / added_tokens_per_s.max(1.0);
    Duration::from_secs_f64(seconds.min(RETENTION_MAX.as_secs_f64()))
}

impl DecayingRate {
    fn add(&mut self, tokens: Tokens, now: Instant) {
        self.tokens_per_s = self.at(now) + tokens as f64 / RATE_WINDOW.as_secs_f64();
        self.updated_at = now;
    }

    fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens_per_s * (-elapsed / RATE_WINDOW.as_secs_f64()).exp()
    }
}

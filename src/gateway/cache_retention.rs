//! For how long cached parts of prompts are kept.
//!
//! Load pattern: engines and the store of cached prompts forget what was used least recently. A
//! store that serves few engines keeps parts for longer than these do; one before many engines
//! forgets sooner. Which of them still holds a part follows from its memory and from what is added
//! to it, so no fixed time is right for all fleets.

use std::collections::HashMap;
use std::time::Duration;

use super::model::ServiceId;
use crate::clock::Instant;
use crate::ids::Tokens;

/// Time over which what is added is averaged; about the time for which an engine keeps parts.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Longest time that is believed, as the store may have started anew in between.
const RETENTION_MAX: Duration = Duration::from_secs(60);

/// Tokens that requests of this VM add to caches.
#[derive(Debug, Default)]
pub struct CacheRetention {
    prefills: HashMap<ServiceId, DecayingRate>,
    store_writes: DecayingRate,
}

#[derive(Debug, Default)]
struct DecayingRate {
    per_s: f64,
    updated_at: Instant,
}

impl CacheRetention {
    /// Creates one that knows of nothing added.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an engine of a service reads tokens, or fetches them.
    pub fn record_prefill(&mut self, service: &str, tokens: Tokens, now: Instant) {
        match self.prefills.get_mut(service) {
            Some(rate) => rate.add(tokens, now),
            None => {
                let rate = self.prefills.entry(service.to_owned()).or_default();
                rate.add(tokens, now);
            }
        }
    }

    /// Notes that the store of cached prompts is sent tokens.
    pub fn record_store_write(&mut self, tokens: Tokens, now: Instant) {
        self.store_writes.add(tokens, now);
    }

    /// Returns for how long an engine keeps parts, where each VM adds as much as this one.
    pub fn engine_retention(
        &self,
        service: &str,
        memory_tokens: Tokens,
        engines: usize,
        vms: usize,
        now: Instant,
    ) -> Duration {
        let rate = self.prefills.get(service);
        let per_s = rate.map_or(0.0, |rate| rate.at(now)) * vms as f64;
        retention_time(memory_tokens, per_s / engines.max(1) as f64)
    }

    /// Returns for how long the store keeps parts, where each VM adds as much as this one.
    pub fn cache_store_retention(
        &self,
        capacity_tokens: Tokens,
        vms: usize,
        now: Instant,
    ) -> Duration {
        retention_time(capacity_tokens, self.store_writes.at(now) * vms as f64)
    }
}

/// Returns whether the store is likelier than an engine to hold a part, by the time since its use
/// at each against the time for which each keeps parts.
pub fn is_store_likelier(
    store_age: Duration,
    store_retention: Duration,
    engine_age: Duration,
    engine_retention: Duration,
) -> bool {
    let part =
        |age: Duration, retention: Duration| age.as_secs_f64() / retention.as_secs_f64().max(0.001);
    part(store_age, store_retention) < part(engine_age, engine_retention)
}

fn retention_time(capacity_tokens: Tokens, added_per_s: f64) -> Duration {
    let seconds = capacity_tokens as f64 / added_per_s.max(1.0);
    Duration::from_secs_f64(seconds.min(RETENTION_MAX.as_secs_f64()))
}

impl DecayingRate {
    fn add(&mut self, tokens: Tokens, now: Instant) {
        self.per_s = self.at(now) + tokens as f64 / RATE_WINDOW.as_secs_f64();
        self.updated_at = now;
    }

    fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s * (-elapsed / RATE_WINDOW.as_secs_f64()).exp()
    }
}

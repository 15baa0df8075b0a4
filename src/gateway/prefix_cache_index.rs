//! Index of the prompt prefixes that engines have cached.
//!
//! Load pattern: many prompts share long prefixes, engines evict them within seconds, and each VM
//! sees only part of the traffic. VMs announce the prefixes that their requests made engines
//! process, so that the next request with the prefix goes to that engine, or its engine fetches the
//! prefix from there.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::model::WeightNumber;
use super::name_hash::NameHash;
use super::prompt::PrefixHash;
use crate::clock::Instant;

/// Time since its last use for which a prefix counts as cached; about the retention time of an
/// engine.
const CACHED_TTL: Duration = Duration::from_secs(10);
/// Number of prefixes above which expired ones are removed.
const PREFIXES_SWEEP_THRESHOLD: usize = 8_192;
/// Maximum number of holders kept per prefix.
const HOLDERS_PER_PREFIX_MAX: usize = 8;
/// Maximum number of cached prefixes queued for announcement to other zones.
const UNANNOUNCED_TO_ZONES_MAX: usize = 64;
/// Time after which a cached prefix that is still used is announced again.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);

/// Prefix that an engine has cached, as announced to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Hash of the prefix, truncated.
    pub prefix: NameHash,
    /// Hash of the engine's name.
    pub engine: NameHash,
    /// Weights under which the prefix was cached.
    pub weights: WeightNumber,
    /// Whether it is long enough to be worth a transfer; these are announced first.
    pub is_long: bool,
}

/// Cached prefixes known to this VM, with their holders.
#[derive(Debug, Default)]
pub struct PrefixCacheIndex {
    prefixes: HashMap<NameHash, Vec<PrefixHolder>>,
    unannounced: Vec<CachedPrefix>,
    unannounced_to_zones: Vec<CachedPrefix>,
}

/// Engine or cache store that holds a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHolder {
    /// Hash of the engine's name.
    pub engine: NameHash,
    /// Time at which the prefix was last used there.
    pub last_used_at: Instant,
    weights: WeightNumber,
    announced_at: Instant,
}

impl PrefixCacheIndex {
    /// Records that a request of this VM makes an engine cache a prefix, and queues the
    /// announcement.
    pub fn record_prefill(&mut self, cached: CachedPrefix, now: Instant) {
        let holder = self.record(cached, now);
        let is_announced =
            holder.announced_at + REANNOUNCE_INTERVAL > now && holder.announced_at != Instant::ZERO;
        if !is_announced {
            holder.announced_at = now;
            self.unannounced.push(cached);
            self.queue_for_zones(cached);
        }
    }

    /// Records an announcement of a peer; one from this zone is queued for the other zones.
    pub fn record_from_peer(&mut self, cached: CachedPrefix, is_own_zone: bool, now: Instant) {
        self.record(cached, now).announced_at = now;
        if is_own_zone {
            self.queue_for_zones(cached);
        }
    }

    /// Removes and returns up to `max` cached prefixes of this zone that are queued for the other
    /// zones.
    pub fn take_unannounced_to_zones(&mut self, max: usize) -> Vec<CachedPrefix> {
        let count = self.unannounced_to_zones.len().min(max);
        self.unannounced_to_zones.drain(..count).collect()
    }

    /// Queues a cached prefix for the other zones, as only the zone's representative sends them.
    ///
    /// If there are too many, short ones are left out and the oldest are discarded.
    fn queue_for_zones(&mut self, cached: CachedPrefix) {
        let queued = self.unannounced_to_zones.len();
        if !cached.is_long && queued >= UNANNOUNCED_TO_ZONES_MAX / 2 {
            return;
        }
        if queued >= UNANNOUNCED_TO_ZONES_MAX {
            self.unannounced_to_zones.remove(0);
        }
        self.unannounced_to_zones.push(cached);
    }

    /// Removes and returns up to `max` cached prefixes that are queued for the VMs of this zone.
    pub fn take_unannounced(&mut self, max: usize) -> Vec<CachedPrefix> {
        let count = self.unannounced.len().min(max);
        self.unannounced.drain(..count).collect()
    }

    /// Returns whether an engine is assumed to have a prefix cached under some weights.
    pub fn is_cached(
        &self,
        prefix: PrefixHash,
        engine: NameHash,
        weights: WeightNumber,
        now: Instant,
    ) -> bool {
        let mut holders = self.holders(prefix, weights, now);
        holders.any(|holder| holder.engine == engine)
    }

    /// Returns when a prefix was last used at an engine, regardless of how long ago.
    pub fn last_used_at(
        &self,
        prefix: PrefixHash,
        engine: NameHash,
        weights: WeightNumber,
    ) -> Option<Instant> {
        let mut holders = self.prefixes.get(&(prefix as NameHash))?.iter();
        let holder = holders.find(|holder| holder.engine == engine && holder.weights == weights)?;
        Some(holder.last_used_at)
    }

    /// Returns the engines that are assumed to have a prefix cached under some weights, most
    /// recently used first.
    pub fn holders(
        &self,
        prefix: PrefixHash,
        weights: WeightNumber,
        now: Instant,
    ) -> impl Iterator<Item = PrefixHolder> {
        let holders = self
            .prefixes
            .get(&(prefix as NameHash))
            .into_iter()
            .flatten();
        let is_fresh = move |holder: &&PrefixHolder| {
            holder.weights == weights && now.saturating_sub(holder.last_used_at) < CACHED_TTL
        };
        holders.filter(is_fresh).copied()
    }

    /// Removes an engine from all prefixes, as it restarted with an empty cache.
    pub fn remove_engine(&mut self, engine: NameHash) {
        for holders in self.prefixes.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Removes expired holders if the index has more than `PREFIXES_SWEEP_THRESHOLD` prefixes.
    pub fn sweep(&mut self, now: Instant) {
        if self.prefixes.len() <= PREFIXES_SWEEP_THRESHOLD {
            return;
        }
        self.prefixes.retain(|_, holders| {
            holders.retain(|holder| now.saturating_sub(holder.last_used_at) < CACHED_TTL);
            !holders.is_empty()
        });
    }

    fn record(&mut self, cached: CachedPrefix, now: Instant) -> &mut PrefixHolder {
        let holders = self.prefixes.entry(cached.prefix).or_default();
        let known = holders
            .iter()
            .position(|holder| holder.engine == cached.engine && holder.weights == cached.weights);
        let holder = match known {
            Some(index) => PrefixHolder {
                last_used_at: now,
                ..holders.remove(index)
            },
            None => PrefixHolder {
                engine: cached.engine,
                weights: cached.weights,
                last_used_at: now,
                announced_at: Instant::ZERO,
            },
        };
        holders.insert(0, holder);
        holders.truncate(HOLDERS_PER_PREFIX_MAX);
        &mut holders[0]
    }
}

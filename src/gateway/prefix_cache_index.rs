//! Which engines have read which chains of prompt parts.
//!
//! Load pattern: many prompts share long parts, engines forget within seconds, and each VM sees
//! part of the traffic only. VMs tell each other what their requests made engines read, so that the
//! next reader goes there, or its engine fetches the parts from there.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::beat::ShortName;
use super::model::WeightNumber;
use super::prompt::PrefixHash;
use crate::clock::Instant;

/// Age up to which parts that were read count as cached; engines forget after about as long.
const CACHED_TTL: Duration = Duration::from_secs(10);
/// Chains remembered.
const PREFIXES_SWEEP_THRESHOLD: usize = 8_192;
/// Engines remembered for one chain.
const HOLDERS_PER_PREFIX_MAX: usize = 8;
/// Holdings kept for other zones.
const UNANNOUNCED_TO_ZONES_MAX: usize = 64;
/// Time after which a holding that is still used is told again.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);

/// Chain that an engine has read, as told to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Chain, cut to the length of a short name.
    pub prefix: ShortName,
    /// Engine.
    pub engine: ShortName,
    /// Weights that it had.
    pub weights: WeightNumber,
}

/// Holdings known to this VM.
#[derive(Debug, Default)]
pub struct PrefixCacheIndex {
    prefixes: HashMap<ShortName, Vec<PrefixHolder>>,
    unannounced: Vec<CachedPrefix>,
    unannounced_to_zones: Vec<CachedPrefix>,
}

/// Engine that holds a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHolder {
    /// Engine.
    pub engine: ShortName,
    /// When the chain was used there last.
    pub last_used_at: Instant,
    weights: WeightNumber,
    announced_at: Instant,
}

impl PrefixCacheIndex {
    /// Notes that a request of this VM makes an engine read a chain.
    pub fn record_prefill(
        &mut self,
        prefix: PrefixHash,
        engine: ShortName,
        weights: WeightNumber,
        now: Instant,
    ) {
        let cached = CachedPrefix {
            prefix: prefix as ShortName,
            engine,
            weights,
        };
        let holder = self.record(cached, now);
        let is_announced =
            holder.announced_at + REANNOUNCE_INTERVAL > now && holder.announced_at != Instant::ZERO;
        if !is_announced {
            holder.announced_at = now;
            self.unannounced.push(cached);
            self.queue_for_zones(cached);
        }
    }

    /// Takes what a peer tells; what a VM of this zone tells is kept for the other zones.
    pub fn record_from_peer(&mut self, cached: CachedPrefix, is_own_zone: bool, now: Instant) {
        self.record(cached, now).announced_at = now;
        if is_own_zone {
            self.queue_for_zones(cached);
        }
    }

    /// Returns up to some of the holdings of this zone that the others were not told yet.
    pub fn take_unannounced_to_zones(&mut self, max: usize) -> Vec<CachedPrefix> {
        let count = self.unannounced_to_zones.len().min(max);
        self.unannounced_to_zones.drain(..count).collect()
    }

    /// Only the zone's speaker tells them, so the oldest go where there are too many.
    fn queue_for_zones(&mut self, cached: CachedPrefix) {
        if self.unannounced_to_zones.len() >= UNANNOUNCED_TO_ZONES_MAX {
            self.unannounced_to_zones.remove(0);
        }
        self.unannounced_to_zones.push(cached);
    }

    /// Returns up to some of the holdings that peers were not told yet.
    pub fn take_unannounced(&mut self, max: usize) -> Vec<CachedPrefix> {
        let count = self.unannounced.len().min(max);
        self.unannounced.drain(..count).collect()
    }

    /// Returns whether an engine holds a chain under some weights.
    pub fn is_cached(
        &self,
        prefix: PrefixHash,
        engine: ShortName,
        weights: WeightNumber,
        now: Instant,
    ) -> bool {
        let mut holders = self.holders(prefix, weights, now);
        holders.any(|holder| holder.engine == engine)
    }

    /// Returns when a chain was used last at an engine, however long ago.
    pub fn last_used_at(
        &self,
        prefix: PrefixHash,
        engine: ShortName,
        weights: WeightNumber,
    ) -> Option<Instant> {
        let mut holders = self.prefixes.get(&(prefix as ShortName))?.iter();
        let holder = holders.find(|holder| holder.engine == engine && holder.weights == weights)?;
        Some(holder.last_used_at)
    }

    /// Returns the engines that hold a chain under some weights, latest use first.
    pub fn holders(
        &self,
        prefix: PrefixHash,
        weights: WeightNumber,
        now: Instant,
    ) -> impl Iterator<Item = PrefixHolder> {
        let holders = self
            .prefixes
            .get(&(prefix as ShortName))
            .into_iter()
            .flatten();
        let is_fresh = move |holder: &&PrefixHolder| {
            holder.weights == weights && now.saturating_sub(holder.last_used_at) < CACHED_TTL
        };
        holders.filter(is_fresh).copied()
    }

    /// Forgets what an engine held, as it started anew.
    pub fn remove_engine(&mut self, engine: ShortName) {
        for holders in self.prefixes.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Forgets what is too old to matter.
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

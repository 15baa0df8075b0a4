//! Which engines have read which chains of prompt parts.
//!
//! Load pattern: many prompts share long parts, engines forget within seconds, and each VM sees
//! part of the traffic only. VMs tell each other what their requests made engines read, so that the
//! next reader goes there, or its engine fetches the parts from there.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::heartbeat::NameHash;
use super::model::WeightNumber;
use super::prompt::ChainHash;
use crate::clock::Instant;

/// Age up to which parts that were read count as cached; engines forget after about as long.
const FRESH: Duration = Duration::from_secs(10);
/// Chains remembered.
const CHAINS_MAX: usize = 8_192;
/// Engines remembered for one chain.
const HOLDERS_MAX: usize = 8;
/// Holdings kept for other zones.
const UNTOLD_MAX: usize = 64;
/// Time after which a holding that is still used is told again.
const TELL_AGAIN: Duration = Duration::from_secs(3);

/// Chain that an engine has read, as told to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Holding {
    /// Chain, cut to the length of a short name.
    pub chain: NameHash,
    /// Engine.
    pub engine: NameHash,
    /// Weights that it had.
    pub weights: WeightNumber,
}

/// Holdings known to this VM.
#[derive(Debug, Default)]
pub struct Holdings {
    chains: HashMap<NameHash, Vec<Holder>>,
    untold: Vec<Holding>,
    untold_of_zone: Vec<Holding>,
}

/// Engine that holds a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Engine.
    pub engine: NameHash,
    /// When the chain was used there last.
    pub used_at: Instant,
    weights: WeightNumber,
    told_at: Instant,
}

impl Holdings {
    /// Notes that a request of this VM makes an engine read a chain.
    pub fn read(
        &mut self,
        chain: ChainHash,
        engine: NameHash,
        weights: WeightNumber,
        now: Instant,
    ) {
        let holding = Holding {
            chain: chain as NameHash,
            engine,
            weights,
        };
        let holder = self.note(holding, now);
        let is_told = holder.told_at + TELL_AGAIN > now && holder.told_at != Instant::ZERO;
        if !is_told {
            holder.told_at = now;
            self.untold.push(holding);
            self.keep_for_zones(holding);
        }
    }

    /// Takes what a peer tells; what a VM of this zone tells is kept for the other zones.
    pub fn told(&mut self, holding: Holding, is_own_zone: bool, now: Instant) {
        self.note(holding, now).told_at = now;
        if is_own_zone {
            self.keep_for_zones(holding);
        }
    }

    /// Returns up to some of the holdings of this zone that the others were not told yet.
    pub fn take_untold_of_zone(&mut self, max: usize) -> Vec<Holding> {
        let count = self.untold_of_zone.len().min(max);
        self.untold_of_zone.drain(..count).collect()
    }

    /// Only the zone's speaker tells them, so the oldest go where there are too many.
    fn keep_for_zones(&mut self, holding: Holding) {
        if self.untold_of_zone.len() >= UNTOLD_MAX {
            self.untold_of_zone.remove(0);
        }
        self.untold_of_zone.push(holding);
    }

    /// Returns up to some of the holdings that peers were not told yet.
    pub fn take_untold(&mut self, max: usize) -> Vec<Holding> {
        let count = self.untold.len().min(max);
        self.untold.drain(..count).collect()
    }

    /// Returns whether an engine holds a chain under some weights.
    pub fn holds(
        &self,
        chain: ChainHash,
        engine: NameHash,
        weights: WeightNumber,
        now: Instant,
    ) -> bool {
        let mut holders = self.holders(chain, weights, now);
        holders.any(|holder| holder.engine == engine)
    }

    /// Returns when a chain was used last at an engine, however long ago.
    pub fn used_at(
        &self,
        chain: ChainHash,
        engine: NameHash,
        weights: WeightNumber,
    ) -> Option<Instant> {
        let mut holders = self.chains.get(&(chain as NameHash))?.iter();
        let holder = holders.find(|holder| holder.engine == engine && holder.weights == weights)?;
        Some(holder.used_at)
    }

    /// Returns the engines that hold a chain under some weights, latest use first.
    pub fn holders(
        &self,
        chain: ChainHash,
        weights: WeightNumber,
        now: Instant,
    ) -> impl Iterator<Item = Holder> {
        let holders = self.chains.get(&(chain as NameHash)).into_iter().flatten();
        let is_fresh = move |holder: &&Holder| {
            holder.weights == weights && now.saturating_sub(holder.used_at) < FRESH
        };
        holders.filter(is_fresh).copied()
    }

    /// Forgets what an engine held, as it started anew.
    pub fn forget_engine(&mut self, engine: NameHash) {
        for holders in self.chains.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Forgets what is too old to matter.
    pub fn sweep(&mut self, now: Instant) {
        if self.chains.len() <= CHAINS_MAX {
            return;
        }
        self.chains.retain(|_, holders| {
            holders.retain(|holder| now.saturating_sub(holder.used_at) < FRESH);
            !holders.is_empty()
        });
    }

    fn note(&mut self, holding: Holding, now: Instant) -> &mut Holder {
        let holders = self.chains.entry(holding.chain).or_default();
        let known = holders.iter().position(|holder| {
            holder.engine == holding.engine && holder.weights == holding.weights
        });
        let holder = match known {
            Some(index) => Holder {
                used_at: now,
                ..holders.remove(index)
            },
            None => Holder {
                engine: holding.engine,
                weights: holding.weights,
                used_at: now,
                told_at: Instant::ZERO,
            },
        };
        holders.insert(0, holder);
        holders.truncate(HOLDERS_MAX);
        &mut holders[0]
    }
}

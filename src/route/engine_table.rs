//! Table of all known engines, and the engines and placement of each model.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::engine::Engine;
use super::placement::Placements;
use super::{EngineNumber, Placement};
use crate::clock::Instant;
use crate::document::{Snapshot, UpstreamKind};
use crate::ids::{AvailabilityZoneId, ModelId, ObjectVersion, UpstreamId};

/// Engines by number; a name keeps its number for the lifetime of the process.
#[derive(Debug, Default)]
pub(super) struct EngineTable {
    pub(super) version: ObjectVersion,
    pub(super) engines: Vec<Engine>,
    pub(super) names: Vec<UpstreamId>,
    pub(super) is_same_zone: Vec<bool>,
    pub(super) leaving: HashSet<SocketAddr>,
    numbers: HashMap<UpstreamId, EngineNumber>,
    pools: HashMap<ModelId, ModelPool>,
}

/// Engines that serve one model, and the placement of prefixes on them.
#[derive(Debug, Default)]
pub(super) struct ModelPool {
    pub(super) members: Vec<EngineNumber>,
    is_member: Vec<bool>,
    pub(super) placement: Placement,
}

impl ModelPool {
    pub(super) fn contains(&self, number: EngineNumber) -> bool {
        self.is_member.get(usize::from(number)) == Some(&true)
    }
}

impl EngineTable {
    /// Applies the engines of a newer configuration.
    pub(super) fn configure(
        &mut self,
        snapshot: &Snapshot,
        mut placements: Placements,
        zone: &str,
        now: Instant,
    ) {
        self.version = snapshot.version;
        self.pools.clear();
        let upstreams = &snapshot.document.upstreams;
        for (name, upstream) in upstreams {
            if upstream.kind != UpstreamKind::Engine {
                continue;
            }
            let number = self.get_or_insert(name, upstream.address, now);
            let zones = (&upstream.availability_zone, zone);
            self.is_same_zone[usize::from(number)] = is_equal(zones);
            self.engine_mut(number).credential = upstream.credential.clone();
        }
        for model in snapshot.document.models.keys() {
            let names: Vec<&UpstreamId> = snapshot.engines_for(model).map(|(id, _)| id).collect();
            let members: Vec<EngineNumber> = names.iter().map(|name| self.numbers[*name]).collect();
            let mut is_member = vec![false; self.engines.len()];
            for number in &members {
                is_member[usize::from(*number)] = true;
            }
            let pool = ModelPool {
                members,
                is_member,
                placement: placements.remove(model).unwrap_or_default(),
            };
            self.pools.insert(model.clone(), pool);
        }
        self.forget_cache_of_not_serving(snapshot, now);
    }

    pub(super) fn pool(&self, model: &str) -> Option<&ModelPool> {
        self.pools
            .get(model)
            .filter(|pool| !pool.members.is_empty())
    }

    pub(super) fn engine(&self, number: EngineNumber) -> &Engine {
        &self.engines[usize::from(number)]
    }

    pub(super) fn engine_mut(&mut self, number: EngineNumber) -> &mut Engine {
        &mut self.engines[usize::from(number)]
    }

    pub(super) fn number_of(&self, name: &str) -> Option<EngineNumber> {
        self.numbers.get(name).copied()
    }

    /// Returns whether the platform lists an engine as leaving.
    pub(super) fn is_leaving(&self, number: EngineNumber) -> bool {
        !self.leaving.is_empty() && self.leaving.contains(&self.engine(number).address)
    }

    /// Returns the sorted numbers of the engines that serve at least one model.
    pub(super) fn members(&self) -> Vec<EngineNumber> {
        let all = self.pools.values().flat_map(|pool| &pool.members);
        let mut numbers: Vec<EngineNumber> = all.copied().collect();
        numbers.sort_unstable();
        numbers.dedup();
        numbers
    }

    fn get_or_insert(
        &mut self,
        name: &UpstreamId,
        address: SocketAddr,
        now: Instant,
    ) -> EngineNumber {
        if let Some(number) = self.number_of(name) {
            let engine = self.engine_mut(number);
            if engine.address != address {
                let in_flight = engine.in_flight;
                *engine = Engine::new(address, now);
                engine.in_flight = in_flight;
            }
            return number;
        }
        let number = EngineNumber::try_from(self.engines.len()).unwrap_or(EngineNumber::MAX);
        self.engines.push(Engine::new(address, now));
        self.names.push(name.clone());
        self.is_same_zone.push(false);
        self.numbers.insert(name.clone(), number);
        number
    }

    /// Forgets the cache content of engines that are not in the configuration or not serving.
    fn forget_cache_of_not_serving(&mut self, snapshot: &Snapshot, now: Instant) {
        let serving = |name: &UpstreamId| {
            snapshot
                .upstream(name)
                .is_some_and(|up| up.state == crate::document::UpstreamState::Serving)
        };
        for (name, engine) in self.names.iter().zip(&mut self.engines) {
            if !serving(name) {
                engine.forget_cache(now);
            }
        }
    }
}

fn is_equal((one, other): (&AvailabilityZoneId, &str)) -> bool {
    one == other
}

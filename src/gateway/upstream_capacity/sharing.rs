//! Applies the shares of the room that is left at engines to the candidates for a request.

use super::headroom::{Headroom, HeadroomCause};
use crate::clock::Instant;
use crate::gateway::placement::{
    Candidate, PlacementRequest, ResourceDemand, required_memory_tokens,
};
use crate::gateway::state::{Gateway, GatewayState};
use crate::gateway::upstream_registry::Upstream;

/// Places within this fraction of the most count as equally many.
const EQUAL_PLACES_FRACTION: f64 = 0.9;

/// Numbers of engines that a placement passed over, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::gateway) struct HeadroomRefusals {
    slots: u64,
    memory: u64,
    rejection: u64,
}

impl HeadroomRefusals {
    fn count(&mut self, cause: HeadroomCause) {
        match cause {
            HeadroomCause::Slots => self.slots += 1,
            HeadroomCause::Memory => self.memory += 1,
            HeadroomCause::Rejection => self.rejection += 1,
        }
    }

    /// Returns the causes with their numbers.
    pub(in crate::gateway) fn by_cause(&self) -> [(HeadroomCause, u64); 3] {
        [
            (HeadroomCause::Slots, self.slots),
            (HeadroomCause::Memory, self.memory),
            (HeadroomCause::Rejection, self.rejection),
        ]
    }
}

impl GatewayState {
    /// Sets the estimated loads and present speeds of the engines of a load-aware service, and which
    /// of them this VM must not use as its share of their room is used.
    pub(in crate::gateway) fn apply_engine_loads<'a>(
        &self,
        gateway: &Gateway,
        request: &PlacementRequest,
        demand: &ResourceDemand,
        engines: impl Iterator<Item = (&'a Upstream, &'a mut Candidate)>,
        now: Instant,
    ) -> HeadroomRefusals {
        let vms = self.fleet_size();
        let mut refusals = HeadroomRefusals::default();
        let mut with_places = Vec::new();
        for (engine, candidate) in engines {
            let estimate = self.load_estimate(engine, now);
            candidate.prefill_tokens_per_ms = Some(self.engine_tokens_per_ms(engine, now));
            // Requests that heartbeats do not tell of hold as much memory as the others.
            if candidate.requests > 0 {
                let ratio = estimate.requests / f64::from(candidate.requests);
                let memory_tokens = (candidate.memory_tokens as f64 * ratio) as u64;
                candidate.memory_tokens = memory_tokens.max(engine.own_load.memory_tokens);
            }
            candidate.requests = estimate.requests.round() as u32;
            let memory_max =
                candidate.memory_capacity_tokens as f64 * self.placement_settings.memory_fraction;
            let headroom = Headroom {
                requests: f64::from(candidate.slots) - f64::from(candidate.requests),
                memory_tokens: memory_max - candidate.memory_tokens as f64,
                vms,
            };
            let memory_tokens = required_memory_tokens(demand, candidate.cached_tokens);
            let refusal = match estimate.is_full {
                true => Some(HeadroomCause::Rejection),
                false => {
                    let seed = u64::from(engine.name_hash) ^ gateway.incarnation;
                    headroom.refusal(memory_tokens, engine.recent_use, seed, now)
                }
            };
            if let Some(cause) = refusal {
                refusals.count(cause);
            }
            candidate.is_share_used = refusal.is_some();
            let (places, _) = headroom.places(memory_tokens);
            with_places.push((candidate, places));
        }
        if request.is_only_attempt {
            keep_most_places(with_places, vms);
        }
        refusals
    }
}

/// Leaves the engines at which each VM could send one more request or, if there is none, those with
/// the most places.
fn keep_most_places(engines: Vec<(&mut Candidate, f64)>, vms: usize) {
    let most = engines.iter().map(|(_, places)| *places);
    let most = most.fold(0.0, f64::max);
    let places_min = (most * EQUAL_PLACES_FRACTION).min(vms as f64);
    for (candidate, places) in engines {
        candidate.is_share_used |= places < places_min;
    }
}

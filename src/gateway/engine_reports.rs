//! What VMs tell each other about engines: loaded weights, and engines that do not respond.

use super::model::WeightNumber;
use super::name_hash::NameHash;
use super::peer_forward::PathState;
use super::state::GatewayState;
use crate::clock::Instant;

impl GatewayState {
    /// Returns the weights of engines that are newer than those listed in the store.
    pub(super) fn unlisted_weights(&self) -> Vec<(NameHash, WeightNumber)> {
        let engines = self.upstreams.iter();
        let newer = engines.flat_map(|upstream| {
            let listed = upstream.entry.models.iter();
            let newer = listed.filter_map(|loaded| {
                let current = upstream.weights(&loaded.model)?;
                (current > loaded.weights).then_some((upstream.name_hash, current))
            });
            newer.take(1)
        });
        newer.collect()
    }

    /// Returns the engines that this VM finds unreachable.
    pub(super) fn unreachable_engines(&self, now: Instant) -> Vec<(NameHash, u16)> {
        let upstreams = self.upstreams.iter();
        // A path of this VM alone says nothing about the engines.
        let unreachable = upstreams.filter(|upstream| {
            upstream.is_unreachable(now)
                && self.upstream_paths.state(&upstream.entry.service, now) == PathState::Open
        });
        unreachable
            .map(|upstream| (upstream.name_hash, 1))
            .collect()
    }

    /// Records weights that a peer reported before the store lists them.
    pub(super) fn record_peer_weights(&mut self, reported: &[(NameHash, WeightNumber)]) {
        for (name, weights) in reported {
            if let Some(upstream) = self.upstreams.by_hash_mut(*name) {
                upstream.record_single_model_weights(*weights);
            }
        }
    }
}

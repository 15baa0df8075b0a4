//! Application of the heartbeats that this VM receives.

use super::heartbeat::{Heartbeat, HeartbeatScope};
use super::object_mirror::ObjectMirror;
use super::platform_api::TrackedKind;
use super::state::Gateway;
use crate::platform::era_of;

/// What a received heartbeat means for this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct HeartbeatNews {
    /// Whether it is newer than the recorded one.
    pub(super) is_newer: bool,
    /// Whether the sender has seen newer revisions of the store than this VM.
    pub(super) is_ahead: bool,
    /// Whether the sender is a process of this zone that this VM did not know.
    pub(super) is_new_process: bool,
}

impl Gateway {
    /// Applies a heartbeat of a peer.
    pub(super) fn apply_heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatNews {
        let revisions = heartbeat.revisions;
        self.observe_store_era(era_of(revisions.upstreams.max(revisions.weights)));
        let own_revisions = self.revisions();
        let now = self.now();
        let mut state = self.state();
        if state.peers.is_urgent(&heartbeat) && state.peers.is_zone_representative(now) {
            self.heartbeat_due.notify_one();
        }
        state.record_peer_weights(&heartbeat.unlisted_weights);
        // The representative has announced to the other zones what its own zone's sums contain.
        let is_for_zones = heartbeat.availability_zone == self.settings.availability_zone
            && heartbeat.scope == HeartbeatScope::Vm;
        for cached_prefix in &heartbeat.new_cached_prefixes {
            state
                .prefix_cache_index
                .record_from_peer(*cached_prefix, is_for_zones, now);
        }
        let is_new_process = heartbeat.scope == HeartbeatScope::Vm
            && !heartbeat.is_leaving
            && heartbeat.availability_zone == self.settings.availability_zone
            && !state
                .peers
                .knows_process(&heartbeat.vm, heartbeat.incarnation);
        if !state.peers.record_heartbeat(heartbeat, now) {
            return HeartbeatNews::default();
        }
        state.peer_view.record_heartbeat();
        let seen = |tracked| {
            state
                .mirrors
                .get(&tracked)
                .map_or(0, ObjectMirror::revision)
        };
        let is_ahead = revisions.config > own_revisions.config
            || revisions.upstreams > seen(TrackedKind::Upstreams)
            || revisions.weights > seen(TrackedKind::Weights);
        HeartbeatNews {
            is_newer: true,
            is_ahead,
            is_new_process,
        }
    }
}

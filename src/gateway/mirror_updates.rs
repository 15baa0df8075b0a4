//! Application of changes, from the store or from peers, to the state of this VM.

use super::event_log::LogEvent;
use super::model::{TargetWeights, WeightNumber};
use super::object_mirror::ObjectMirror;
use super::platform_api::{Listing, ObjectChange, ObjectRecord, TrackedKind};
use super::state::Gateway;
use super::table::RoutingTable;
use crate::clock::Instant;
use crate::ids::{ModelId, ObjectVersion};

/// Times at which target weights were set, as far as their source knows.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetTimes {
    /// Time for weights that are not in `known`.
    pub(super) default: Instant,
    /// Times of known weights, replaced ones included.
    pub(super) known: Vec<(ModelId, WeightNumber, Instant)>,
}

impl TargetTimes {
    /// Returns times that are the same for all models.
    pub(super) fn all_at(time: Instant) -> Self {
        Self {
            default: time,
            known: Vec::new(),
        }
    }

    fn of_model(&self, model: &str) -> impl Iterator<Item = (WeightNumber, Instant)> {
        let known = self.known.iter();
        let of_model = known.filter(move |(known, _, _)| known == model);
        of_model.map(|(_, weights, at)| (*weights, *at))
    }
}

impl Gateway {
    pub(super) fn mirror_revision(&self, tracked: TrackedKind) -> ObjectVersion {
        self.state()
            .mirrors
            .get(&tracked)
            .map_or(0, ObjectMirror::revision)
    }

    /// Returns all objects of a kind that this VM has seen, or `None` before the first listing.
    pub(super) fn listing(&self, tracked: TrackedKind) -> Option<Listing> {
        self.state().mirrors.get(&tracked)?.listing()
    }

    /// Replaces all objects of a kind, unless newer changes were seen.
    pub(super) fn apply_listing(
        &self,
        tracked: TrackedKind,
        listing: Listing,
        target_times: &TargetTimes,
    ) {
        let revision = listing.revision;
        let new_changes = self
            .state()
            .mirrors
            .entry(tracked)
            .or_default()
            .replace(listing);
        self.apply_new_changes(tracked, new_changes, revision, target_times);
    }

    /// Applies changes received from the store or from a peer.
    pub(super) fn apply_changes(
        &self,
        tracked: TrackedKind,
        changes: Vec<ObjectChange>,
        revision: ObjectVersion,
        target_times: &TargetTimes,
    ) {
        let new_changes = self
            .state()
            .mirrors
            .entry(tracked)
            .or_default()
            .apply(changes, revision);
        self.apply_new_changes(tracked, new_changes, revision, target_times);
    }

    fn apply_new_changes(
        &self,
        tracked: TrackedKind,
        new_changes: Vec<ObjectChange>,
        revision: ObjectVersion,
        target_times: &TargetTimes,
    ) {
        let has_changes = !new_changes.is_empty();
        for change in new_changes {
            self.apply_change(tracked, change, revision, target_times);
        }
        if has_changes {
            self.mirror_changed.notify_waiters();
        }
    }

    fn apply_change(
        &self,
        tracked: TrackedKind,
        change: ObjectChange,
        revision: ObjectVersion,
        target_times: &TargetTimes,
    ) {
        let now = self.now();
        let name = &change.name;
        match change.record {
            Some(ObjectRecord::Config(config)) => self.set_table(RoutingTable::new(&config)),
            Some(ObjectRecord::Upstream(entry)) => {
                let is_ready = entry.stage == super::model::UpstreamStage::Ready;
                let mut state = self.state();
                let known = state.upstreams.get(name);
                // Each load of weights changes the entry. Logged at every VM, these changes would
                // grow with VMs and engines; the holder of the lease logs the loads.
                let is_news = known.is_none_or(|known| {
                    known.is_ready() != is_ready || known.entry.born_ms != entry.born_ms
                });
                if is_news {
                    self.event_log.log(&LogEvent::UpstreamListed {
                        upstream: name,
                        service: &entry.service,
                        software: entry.software.as_deref(),
                        born_ms: entry.born_ms,
                        is_ready,
                        revision,
                    });
                }
                let software = entry.software.as_ref();
                let service = entry.service.as_str();
                state.rollouts.observe_version(service, software, now);
                state.upstreams.apply(name, Some(entry), now);
            }
            Some(ObjectRecord::Weights(target)) => {
                self.apply_target_weights(&target, revision, target_times);
            }
            Some(ObjectRecord::Rollout(entry)) => self.record_rollout(entry),
            // An order that was rewritten and cannot be read stays in force as it was.
            Some(ObjectRecord::Unusable(reason)) => {
                self.event_log.log(&LogEvent::ObjectUnusable {
                    tracked,
                    name,
                    reason: &reason,
                });
                if tracked == TrackedKind::Upstreams {
                    self.state().upstreams.apply(name, None, now);
                }
            }
            None if tracked == TrackedKind::Upstreams => {
                self.event_log.log(&LogEvent::UpstreamGone {
                    upstream: name,
                    revision,
                });
                self.state().upstreams.apply(name, None, now);
            }
            None if tracked == TrackedKind::Rollouts => self.remove_rollout(name, revision),
            None => {}
        }
    }

    fn apply_target_weights(
        &self,
        target: &TargetWeights,
        revision: ObjectVersion,
        target_times: &TargetTimes,
    ) {
        let (model, weights) = (&target.model, target.weights);
        let known = target_times
            .of_model(model)
            .find(|(known, _)| *known == weights);
        let set_at = known.map_or(target_times.default, |(_, at)| at);
        let age_ms = self.now().saturating_sub(set_at).as_millis() as u64;
        self.event_log.log(&LogEvent::WeightsNamed {
            model,
            weights,
            revision,
            age_ms,
        });
        let mut state = self.state();
        let history = state.weight_histories.entry(model.clone()).or_default();
        history.record(weights, set_at);
        for (earlier, at) in target_times.of_model(model) {
            history.record_earlier(earlier, at);
        }
        drop(state);
        self.target_weights_changed.send_replace(());
    }
}

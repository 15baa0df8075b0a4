//! History of the target weights that the operator set for a model.
//!
//! It shows since when an engine with older weights has been behind.

use crate::clock::Instant;

use super::model::WeightNumber;

/// Versions kept; an engine that is further behind counts from the oldest of them.
const VERSIONS_MAX: usize = 32;

/// Target weights of one model, in the order in which they were set.
#[derive(Debug, Clone, Default)]
pub struct WeightHistory {
    versions: Vec<(WeightNumber, Instant)>,
}

impl WeightHistory {
    /// Records target weights that were set at `set_at`; returns whether they are the newest.
    pub fn record(&mut self, weights: WeightNumber, set_at: Instant) -> bool {
        let is_newer = weights > self.newest();
        if is_newer {
            self.versions
                .push((weights, set_at.max(self.newest_at().unwrap_or_default())));
            if self.versions.len() > VERSIONS_MAX {
                self.versions.remove(0);
            }
        }
        is_newer
    }

    /// Records target weights that were replaced before this VM learned of the model.
    ///
    /// Engines that lack them are behind since then, and not only since the newest ones were set.
    pub fn record_earlier(&mut self, weights: WeightNumber, set_at: Instant) {
        let index = self.versions.partition_point(|(known, _)| *known < weights);
        match self.versions.get(index) {
            Some((next, next_at)) if *next > weights => {
                let entry = (weights, set_at.min(*next_at));
                self.versions.insert(index, entry);
            }
            // Known, or newer than all known ones.
            _ => {}
        }
    }

    /// Returns all target weights with the time at which they were set, in order.
    pub fn versions(&self) -> &[(WeightNumber, Instant)] {
        &self.versions
    }

    /// Returns the newest target weights; 0 before the first.
    pub fn newest(&self) -> WeightNumber {
        self.versions.last().map_or(0, |(weights, _)| *weights)
    }

    /// Returns when the newest target weights were set.
    pub fn newest_at(&self) -> Option<Instant> {
        self.versions.last().map(|(_, at)| *at)
    }

    /// Returns the earliest of the times since which engines with the weights `current` have been
    /// behind; `None` if none is behind.
    pub fn earliest_behind_since(
        &self,
        current: impl Iterator<Item = WeightNumber>,
    ) -> Option<Instant> {
        current
            .filter_map(|current| self.behind_since(current))
            .min()
    }

    /// Returns since when an engine with the weights `current` has been behind; `None` if it is
    /// not.
    ///
    /// The time counts from the first version that the engine lacks, even if that version has been
    /// replaced since.
    pub fn behind_since(&self, current: WeightNumber) -> Option<Instant> {
        let first = self.versions.iter().find(|(weights, _)| *weights > current);
        first.map(|(_, at)| *at)
    }
}

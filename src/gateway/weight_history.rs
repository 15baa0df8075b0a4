//! Weights that the operator named, and how far an engine is behind them.

use crate::clock::Instant;

use super::model::WeightNumber;

/// Names remembered; engines that are further behind count from the oldest of these.
const VERSIONS_MAX: usize = 32;

/// Weights of one model, in the order in which they were named.
#[derive(Debug, Clone, Default)]
pub struct WeightHistory {
    versions: Vec<(WeightNumber, Instant)>,
}

impl WeightHistory {
    /// Notes weights that this VM learned of; returns whether they are the newest.
    pub fn record(&mut self, weights: WeightNumber, now: Instant) -> bool {
        let is_newer = weights > self.newest();
        if is_newer {
            self.versions.push((weights, now));
            if self.versions.len() > VERSIONS_MAX {
                self.versions.remove(0);
            }
        }
        is_newer
    }

    /// Returns the newest weights; 0 before any were named.
    pub fn newest(&self) -> WeightNumber {
        self.versions.last().map_or(0, |(weights, _)| *weights)
    }

    /// Returns when the newest weights were named.
    pub fn newest_at(&self) -> Option<Instant> {
        self.versions.last().map(|(_, at)| *at)
    }

    /// Returns when the first weights were named that some engine lacks.
    pub fn earliest_behind_since(
        &self,
        current: impl Iterator<Item = WeightNumber>,
    ) -> Option<Instant> {
        current
            .filter_map(|current| self.behind_since(current))
            .min()
    }

    /// Returns since when an engine with some weights is behind; nothing where it is not.
    ///
    /// Each name counts from its own time, so one that was replaced still makes an engine late.
    pub fn behind_since(&self, current: WeightNumber) -> Option<Instant> {
        let first = self.versions.iter().find(|(weights, _)| *weights > current);
        first.map(|(_, at)| *at)
    }
}

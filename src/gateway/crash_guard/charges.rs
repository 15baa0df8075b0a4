//! What is held against one suspect, and whether it suffices.

use std::collections::VecDeque;
use std::time::Duration;

use super::evidence::CrashThresholds;
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;

/// One in this many crashes may lack a report of a suspect that was there.
pub(super) const ALIKE_DIVISOR: usize = 4;

/// Crash that is held against a suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct Charge {
    pub(super) process: ProcessHash,
    pub(super) at: Instant,
    pub(super) began_at: Instant,
    /// Whether a held request explains the crash as well.
    pub(super) is_explained: bool,
}

/// What is held against one suspect.
#[derive(Debug, Default)]
pub(super) struct Charges {
    /// Crashes since the last complete answer, in order of time.
    pub(super) crashes: Vec<Charge>,
    pub(super) is_proven: bool,
}

impl Charges {
    /// Returns whether the evidence has been sufficient for long enough.
    ///
    /// `processes` are all crashes that are not explained.
    pub(super) fn is_ripe(
        &self,
        thresholds: CrashThresholds,
        separate_after: Duration,
        processes: &VecDeque<(ProcessHash, Instant)>,
        now: Instant,
    ) -> bool {
        let is_only_explained = self.crashes.iter().all(|charge| charge.is_explained);
        if self.crashes.len() < thresholds.crashes || is_only_explained {
            return false;
        }
        let mut events = 0;
        let mut event_at = None;
        let own = self
            .crashes
            .iter()
            .filter(|charge| self.was_at_nearly_all(charge.at, separate_after, processes));
        for (number, charge) in own.enumerate() {
            let is_separate = |since: Instant| {
                let is_chained = thresholds.counts_chains && charge.began_at >= since;
                charge.at >= since + separate_after || is_chained
            };
            if event_at.is_none_or(is_separate) {
                events += 1;
                event_at = Some(charge.at);
            }
            if number + 1 >= thresholds.crashes && events >= thresholds.events {
                return now >= charge.at + thresholds.settle_time;
            }
        }
        false
    }

    /// Returns whether the suspect was at nearly all engines that crashed together with one of them.
    fn was_at_nearly_all(
        &self,
        crashed_at: Instant,
        separate_after: Duration,
        processes: &VecDeque<(ProcessHash, Instant)>,
    ) -> bool {
        let is_together = |at: Instant| at.abs_diff(crashed_at) < separate_after;
        let together = processes.iter().filter(|(_, at)| is_together(*at));
        let all = together.clone().count();
        let own = together
            .filter(|(process, _)| self.was_at(*process))
            .count();
        all - own <= own / ALIKE_DIVISOR
    }

    pub(super) fn was_at(&self, process: ProcessHash) -> bool {
        self.crashes.iter().any(|charge| charge.process == process)
    }

    /// Returns the number of crashes that both suspects were at.
    pub(super) fn crashes_shared_with(&self, other: &Self) -> usize {
        let shared = self.crashes.iter();
        shared.filter(|charge| other.was_at(charge.process)).count()
    }
}

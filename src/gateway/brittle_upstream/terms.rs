//! Times in which this VM keeps ledgers.

use std::collections::VecDeque;
use std::time::Duration;

use super::ARRIVAL_MAX;
use super::keeper::{KeeperView, SendKeeper};
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;

/// Time for which a VM that becomes the keeper permits nothing: requests that the one before has
/// permitted may be rejected until then.
const HANDOVER: Duration = ARRIVAL_MAX.saturating_add(Duration::from_secs(1));
/// Time without a look at the other VMs after which these may have chosen another keeper.
const PAUSE_MIN: Duration = Duration::from_millis(800);

/// What this VM has lately known of the VMs that keep ledgers.
#[derive(Debug)]
pub struct KeeperTerms {
    current: KeeperView,
    /// Earlier views, each with the time at which another one replaced it.
    earlier: VecDeque<(KeeperView, Instant)>,
    observed_at: Instant,
}

impl KeeperTerms {
    /// Creates the state of a VM that starts; other VMs may have kept all ledgers before.
    pub fn new(now: Instant) -> Self {
        Self {
            current: KeeperView::default(),
            earlier: VecDeque::from([(KeeperView::default(), now)]),
            observed_at: now,
        }
    }

    /// Records what this VM knows now.
    pub fn observe(&mut self, view: KeeperView, now: Instant) {
        while self
            .earlier
            .front()
            .is_some_and(|(_, at)| *at + HANDOVER <= now)
        {
            self.earlier.pop_front();
        }
        let observed_at = std::mem::replace(&mut self.observed_at, now);
        if now.saturating_sub(observed_at) >= PAUSE_MIN {
            self.earlier.push_back((KeeperView::default(), now));
        }
        if view != self.current {
            let earlier = std::mem::replace(&mut self.current, view);
            self.earlier.push_back((earlier, now));
        }
    }

    /// Returns the VM that keeps the ledger of a process.
    pub fn keeper(&self, process: ProcessHash) -> SendKeeper {
        self.current.keeper(process)
    }

    /// Returns the time from which this VM may permit requests to a process, if it is the keeper.
    pub fn opens_at(&self, process: ProcessHash) -> Instant {
        let mut others = self.earlier.iter().rev();
        let other = others.find(|(view, _)| !view.keeps(process));
        other.map_or(Instant::ZERO, |(_, at)| *at + HANDOVER)
    }
}

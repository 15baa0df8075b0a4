//! Time for which a VM has been the coordinator of the fleet without interruption.

use std::time::Duration;

use crate::clock::Instant;

/// Time from the begin of a term to the first permit, in which the news of the coordinator before
/// arrive.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time without a check after which a term ends: the process was paused, and another VM may have
/// become the coordinator meanwhile.
const CHECK_GAP_MAX: Duration = Duration::from_millis(800);

/// Term of a VM as coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CoordinatorTerm {
    since: Option<Instant>,
    checked_at: Instant,
}

impl CoordinatorTerm {
    /// Records whether this VM is the coordinator.
    pub fn record_check(&mut self, is_coordinator: bool, now: Instant) {
        let is_interrupted = now.saturating_sub(self.checked_at) > CHECK_GAP_MAX;
        self.since = match self.since {
            _ if !is_coordinator => None,
            Some(since) if !is_interrupted => Some(since),
            _ => Some(now),
        };
        self.checked_at = now;
    }

    /// Returns whether this VM may permit what one VM alone may permit.
    pub fn may_permit(&self, now: Instant) -> bool {
        let is_recent = now.saturating_sub(self.checked_at) <= CHECK_GAP_MAX;
        is_recent && self.since.is_some_and(|since| now >= since + SETTLE_TIME)
    }
}

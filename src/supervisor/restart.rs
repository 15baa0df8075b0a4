//! Restart policy: decides whether and when a failed task is restarted.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;

/// Limits on the restarts of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestartPolicy {
    /// Restarts allowed within `window`.
    pub max_restarts: usize,
    /// Sliding window in which restarts are counted.
    pub window: Duration,
    /// Delay before the first restart in the window; it doubles with each further restart.
    pub backoff_min: Duration,
    /// Upper limit of the delay before a restart.
    pub backoff_max: Duration,
}

impl Default for RestartPolicy {
    fn default() -> Self {
        Self {
            max_restarts: 20,
            window: Duration::from_secs(60),
            backoff_min: Duration::from_millis(10),
            backoff_max: Duration::from_secs(5),
        }
    }
}

/// Decision about a failed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartDecision {
    /// Restart the task after a delay.
    Restart {
        /// Delay before the restart.
        after: Duration,
    },
    /// Stop restarting the task; the supervisor fails.
    GiveUp,
}

/// Restarts of one task within the window of its policy.
#[derive(Debug, Clone)]
pub struct RestartWindow {
    policy: RestartPolicy,
    restarts: VecDeque<Instant>,
}

impl RestartWindow {
    /// Creates a window without restarts.
    pub fn new(policy: RestartPolicy) -> Self {
        Self {
            policy,
            restarts: VecDeque::new(),
        }
    }

    /// Records a failure at `now` and decides about a restart.
    pub fn record_failure(&mut self, now: Instant) -> RestartDecision {
        let window = self.policy.window;
        let expired = |restart: &Instant| now.saturating_sub(*restart) >= window;
        while self.restarts.front().is_some_and(expired) {
            self.restarts.pop_front();
        }
        if self.restarts.len() >= self.policy.max_restarts {
            return RestartDecision::GiveUp;
        }
        let after = self.backoff();
        self.restarts.push_back(now);
        RestartDecision::Restart { after }
    }

    fn backoff(&self) -> Duration {
        let doublings = u32::try_from(self.restarts.len()).unwrap_or(u32::MAX);
        let factor = 2_u32.saturating_pow(doublings);
        let backoff = self.policy.backoff_min.saturating_mul(factor);
        backoff.min(self.policy.backoff_max)
    }
}

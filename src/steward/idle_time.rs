//! Time for which no holder of the lease can have acted.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which no holder of the lease can have acted, which grows until one may act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleTime {
    /// Idle time at `as_of`.
    pub duration: Duration,
    /// Time of the process's own clock to which `duration` refers.
    pub as_of: Instant,
}

impl IdleTime {
    /// Creates the idle time of a record that was written at `as_of` or earlier.
    pub fn from_millis(idle_ms: u64, as_of: Instant) -> Self {
        Self {
            duration: Duration::from_millis(idle_ms),
            as_of,
        }
    }

    /// Returns the idle time at `now`.
    pub fn at(&self, now: Instant) -> Duration {
        self.duration.saturating_add(now.saturating_sub(self.as_of))
    }

    /// Returns the idle time at `now` in whole milliseconds.
    pub fn millis_at(&self, now: Instant) -> u64 {
        u64::try_from(self.at(now).as_millis()).unwrap_or(u64::MAX)
    }
}

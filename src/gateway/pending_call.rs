//! Time for which a call is known to have had no response.
//!
//! A process that was paused, or runs too slowly, notices a response long after it has arrived. The
//! time at which it notices the response therefore does not tell when the response was made.

use std::pin::pin;
use std::time::Duration;

use crate::clock::{Instant, SharedClock};

/// Interval between two checks of a pending call.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks from which the process counts as paused in between.
const PUNCTUAL_CHECK_MAX: Duration = Duration::from_millis(200);

/// Call with the time until which it is known to have had no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingCall {
    started_at: Instant,
    checked_at: Instant,
    pending_until: Instant,
}

impl PendingCall {
    /// Creates the record of a call that starts.
    pub fn start(now: Instant) -> Self {
        Self {
            started_at: now,
            checked_at: now,
            pending_until: now,
        }
    }

    /// Records that no response has been noticed.
    ///
    /// If the process ran since the previous check, it would have noticed a response that arrived
    /// before that check.
    pub fn record_check(&mut self, now: Instant) {
        if now.saturating_sub(self.checked_at) < PUNCTUAL_CHECK_MAX {
            self.pending_until = self.checked_at;
        }
        self.checked_at = now;
    }

    /// Returns the time before which no response has arrived.
    pub fn pending_until(&self) -> Instant {
        self.pending_until
    }

    /// Returns for how long the call is known to have waited.
    pub fn waited(&self) -> Duration {
        self.pending_until.saturating_sub(self.started_at)
    }
}

/// Returns whether the process was paused, or ran too slowly, when a timer was due: what has arrived
/// meanwhile may not have been noticed yet.
pub(super) fn was_paused_since(due: Instant, now: Instant) -> bool {
    now.saturating_sub(due) >= PUNCTUAL_CHECK_MAX
}

/// Awaits a call and returns its result with the time for which it was pending.
pub(super) async fn observe<T>(
    clock: &SharedClock,
    call: impl Future<Output = T>,
) -> (T, PendingCall) {
    let mut pending = PendingCall::start(clock.now());
    let mut call = pin!(call);
    loop {
        match tokio::time::timeout(CHECK_INTERVAL, call.as_mut()).await {
            Ok(result) => return (result, pending),
            Err(_) => pending.record_check(clock.now()),
        }
    }
}

//! How long watches of the store wait, and when the changes that they return were made.
//!
//! Load pattern: the store, a path to it or a relay falls silent without closing connections, so
//! that a watch that waits longest notices it last. At least one zone therefore always has a watch
//! that ends before a VM counts as connected again.

use std::time::Duration;

use super::pending_call::PendingCall;
use crate::clock::Instant;

/// Part of the contact timeout that is left to repeat a watch and to inform the other VMs.
const RECOVERY_MARGIN: Duration = Duration::from_millis(1_000);
/// Minimum wait of a watch of a working path.
const WAIT_MIN: Duration = Duration::from_millis(500);
/// Wait of the first watch after a failed call, which shows whether the path works again.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// Time from which a call counts as waiting for a change that was made meanwhile.
const PROMPT_WAIT_MIN: Duration = Duration::from_millis(300);

/// Purpose of a watch, which determines how long it may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchPurpose {
    /// To check a path on which the previous call failed.
    Probe,
    /// To notice an interruption in time for all zones.
    Fleet,
    /// To receive the changes for one zone, while this many other zones watch as well.
    Zone {
        /// Number of other zones with recent heartbeats.
        other_zones: u32,
    },
}

/// Returns the limits of the wait of a watch; a random time between them avoids that the watches of
/// several zones end together.
pub fn watch_wait(
    purpose: WatchPurpose,
    contact_timeout: Duration,
) -> std::ops::RangeInclusive<Duration> {
    let base = contact_timeout
        .saturating_sub(RECOVERY_MARGIN)
        .max(WAIT_MIN);
    match purpose {
        WatchPurpose::Probe => PROBE_WAIT..=PROBE_WAIT,
        WatchPurpose::Fleet => base..=base,
        WatchPurpose::Zone { other_zones } => {
            let longest = base * (1 + other_zones);
            (longest / 2).max(base)..=longest
        }
    }
}

/// Returns the earliest time at which a change may have been made that a call returned at `now`.
///
/// A call that waited returns a change when it is made, thus not before the time until which the
/// call was pending. Otherwise the change is newer than `confirmed_at`, the time of the last
/// response without it. A change that may be older than `age_max` counts as that old.
pub fn earliest_change(
    call: &PendingCall,
    confirmed_at: Option<Instant>,
    age_max: Duration,
    now: Instant,
) -> Instant {
    let oldest = now.saturating_sub(age_max);
    match confirmed_at {
        Some(_) if call.waited() >= PROMPT_WAIT_MIN => call.pending_until().max(oldest),
        Some(at) => at.max(oldest),
        None => oldest,
    }
}

//! What a VM still does after it was told to stop.
//!
//! Load pattern: VMs are stopped one after the other while callers press. The balancer turns away
//! within a few seconds; until then requests arrive on new and on kept connections. Those that come
//! too late to end within the grace are sent to another VM at once.

use std::time::Duration;

/// Time after which idle connections of callers are closed.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(1_200);
/// Time after which requests are sent elsewhere. The balancer asks once a second and needs two
/// answers, and what is taken later than this must not be cut.
const REFUSE_AFTER: Duration = Duration::from_millis(2_800);
/// Time after which nothing is accepted any more.
const STOP_LISTENING_AFTER: Duration = Duration::from_millis(3_300);
/// Time kept for ending what passes the grace.
const ABORT_MARGIN: Duration = Duration::from_millis(500);

/// Times of a shutdown, counted from the request to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// When idle connections of callers are closed.
    pub close_idle_after: Duration,
    /// When new requests are sent elsewhere.
    pub refuse_after: Duration,
    /// When nothing is accepted any more.
    pub stop_listening_after: Duration,
    /// When requests still under way are ended.
    pub abort_after: Duration,
}

impl ShutdownPlan {
    /// Plans a shutdown within a grace; a short grace shortens every part of it.
    pub fn within(grace: Duration) -> Self {
        let abort_after = grace.saturating_sub(ABORT_MARGIN);
        let share = |time: Duration| time.min(abort_after / 2);
        Self {
            close_idle_after: share(CLOSE_IDLE_AFTER),
            refuse_after: share(REFUSE_AFTER),
            stop_listening_after: share(STOP_LISTENING_AFTER),
            abort_after,
        }
    }
}

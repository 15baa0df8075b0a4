//! Stages of a graceful shutdown.
//!
//! Load pattern: VMs are stopped one after the other under load. The load balancer stops sending
//! requests within a few seconds; until then they arrive on new and on keep-alive connections.
//! Requests that arrive too late to complete within the shutdown timeout are refused immediately,
//! so that the caller retries at another VM. A request that may not be repeated is refused as soon as
//! requests of its route have lately taken longer than is left, as its caller could not retry it.

use std::time::Duration;

/// Time until idle caller connections are closed.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(1_200);
/// Time until new requests are refused. The load balancer checks once a second and needs two
/// results, and a request accepted later than this might have to be aborted.
const REFUSE_AFTER: Duration = Duration::from_millis(2_800);
/// Time until the listener is closed.
const STOP_LISTENING_AFTER: Duration = Duration::from_millis(3_300);
/// Time reserved for aborting requests that exceed the shutdown timeout.
const ABORT_MARGIN: Duration = Duration::from_millis(500);
/// Time reserved for the end of the process after its last calls to the store.
const END_MARGIN: Duration = Duration::from_millis(200);

/// Times of the stages of a shutdown, counted from the stop signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Time until idle caller connections are closed.
    pub close_idle_after: Duration,
    /// Time until new requests are refused.
    pub refuse_after: Duration,
    /// Time until the listener is closed.
    pub stop_listening_after: Duration,
    /// Time until requests still in flight are aborted.
    pub abort_after: Duration,
    /// Time until tasks that have not stopped are given up.
    pub end_after: Duration,
}

impl ShutdownPlan {
    /// Returns whether a request that takes `run_time` from now on ends before requests are aborted.
    pub fn has_time_for(&self, run_time: Duration, since_stop: Duration) -> bool {
        since_stop + run_time <= self.abort_after
    }

    /// Plans a shutdown within `shutdown_timeout`; a short timeout shortens every stage.
    pub fn within(shutdown_timeout: Duration) -> Self {
        let abort_after = shutdown_timeout.saturating_sub(ABORT_MARGIN);
        let limit = |time: Duration| time.min(abort_after / 2);
        Self {
            close_idle_after: limit(CLOSE_IDLE_AFTER),
            refuse_after: limit(REFUSE_AFTER),
            stop_listening_after: limit(STOP_LISTENING_AFTER),
            abort_after,
            end_after: shutdown_timeout.saturating_sub(END_MARGIN),
        }
    }
}

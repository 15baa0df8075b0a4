//! Reports what did not fit into the memory that the VM holds for callers.
//!
//! Load pattern: a crowd of clients that stall, each of which is evicted, refused or disconnected. The
//! counters rise by what happened since the last pass, and one log line in [`LOG_INTERVAL`] states the
//! sums, however large the crowd is.
//!
//! The memory itself is [`crate::caller_memory`], which the other program that serves callers uses too.

use std::time::Duration;

use super::event_log::LogEvent;
use super::state::Gateway;
use crate::clock::Instant;

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What did not fit since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PressureCounts {
    /// Unfinished request bodies that were evicted.
    pub evicted_bodies: u64,
    /// Request bodies that got no room.
    pub refused_bodies: u64,
    /// Responses that were evicted while their callers did not read.
    pub evicted_responses: u64,
    /// Responses that got no room.
    pub refused_responses: u64,
    /// Connections that were closed to make room for others.
    pub closed_connections: u64,
}

/// Decides when the sums are logged.
#[derive(Debug, Default)]
pub struct PressureLog {
    logged: PressureCounts,
    logged_at: Option<Instant>,
}

impl PressureCounts {
    /// Returns what was added since an earlier time.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            evicted_bodies: self.evicted_bodies - earlier.evicted_bodies,
            refused_bodies: self.refused_bodies - earlier.refused_bodies,
            evicted_responses: self.evicted_responses - earlier.evicted_responses,
            refused_responses: self.refused_responses - earlier.refused_responses,
            closed_connections: self.closed_connections - earlier.closed_connections,
        }
    }
}

impl PressureLog {
    /// Returns what to log: the sums since the last line, at most once in the interval.
    pub fn due(&mut self, counts: PressureCounts, now: Instant) -> Option<PressureCounts> {
        let is_early = self
            .logged_at
            .is_some_and(|at| now.saturating_sub(at) < LOG_INTERVAL);
        if is_early || counts == self.logged {
            return None;
        }
        let added = counts.since(&self.logged);
        self.logged = counts;
        self.logged_at = Some(now);
        Some(added)
    }
}

impl Gateway {
    /// Counts and logs what did not fit since the last pass.
    pub(super) fn report_caller_memory(&self) {
        let memory = self.memory.counts();
        let closed = self.connections.closed_count() + self.fleet_connections.closed_count();
        let counts = PressureCounts {
            evicted_bodies: memory.evicted_requests,
            refused_bodies: memory.refused_requests,
            evicted_responses: memory.evicted_responses,
            refused_responses: memory.refused_responses,
            closed_connections: closed,
        };
        let mut state = self.state();
        let added = counts.since(&state.counted_pressure);
        state.counted_pressure = counts;
        let due = state.pressure_log.due(counts, self.now());
        drop(state);
        let held_bytes = self.memory.held_bytes() as u64;
        self.metrics.record_caller_memory(&added, held_bytes);
        if let Some(added) = due {
            self.event_log.log(&LogEvent::CallerMemoryFull {
                evicted_bodies: added.evicted_bodies,
                refused_bodies: added.refused_bodies,
                evicted_responses: added.evicted_responses,
                refused_responses: added.refused_responses,
                closed_connections: added.closed_connections,
                held_bytes,
            });
        }
    }
}

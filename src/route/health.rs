//! Health of an engine, derived from the failures of calls to it.

use std::time::Duration;

use crate::clock::Instant;

/// Number of consecutive failures that takes an engine down.
const CONSECUTIVE_FAILURES_MAX: u32 = 2;
/// Time until the first probe of an engine that went down.
const PROBE_BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Longest time between two probes of an engine.
const PROBE_BACKOFF_MAX: Duration = Duration::from_secs(16);

/// Failure that indicates a fault of the engine itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFailure {
    /// The connection could not be established.
    Connect,
    /// No valid response came in time, or the connection broke.
    NoResponse,
    /// The engine refused the request because it is not serving at present.
    NotServing,
}

/// Change of an engine's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The engine went down and gets no requests.
    Down,
    /// The engine is up again.
    Up,
}

/// Health of one engine.
///
/// An engine that is down comes up only by a response over a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Health {
    failures: u32,
    down: Option<Down>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Down {
    backoff: Duration,
    probe_at: Instant,
}

impl Health {
    /// Returns whether the engine is up.
    pub fn is_up(&self) -> bool {
        self.down.is_none()
    }

    /// Returns whether a probe is due.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.down.is_some_and(|down| now >= down.probe_at)
    }

    /// Records a response over a pooled connection.
    pub fn record_response(&mut self) {
        if self.is_up() {
            self.failures = 0;
        }
    }

    /// Records a response over a new connection; returns whether the engine came up.
    pub fn record_response_on_new_connection(&mut self) -> Option<HealthChange> {
        self.failures = 0;
        self.down.take().map(|_| HealthChange::Up)
    }

    /// Records a failed call; returns whether the engine went down.
    pub fn record_failure(&mut self, failure: EngineFailure, now: Instant) -> Option<HealthChange> {
        match (failure, &mut self.down) {
            (EngineFailure::NotServing, None) => None,
            (_, Some(down)) if now < down.probe_at => None,
            (_, Some(down)) => {
                down.backoff = (down.backoff * 2).min(PROBE_BACKOFF_MAX);
                down.probe_at = now + down.backoff;
                None
            }
            (_, None) => {
                self.failures += 1;
                if self.failures < CONSECUTIVE_FAILURES_MAX {
                    return None;
                }
                self.down = Some(Down {
                    backoff: PROBE_BACKOFF_MIN,
                    probe_at: now + PROBE_BACKOFF_MIN,
                });
                Some(HealthChange::Down)
            }
        }
    }
}

//! Whether an engine is usable, from the failures of calls to it.

use std::time::Duration;

use crate::clock::Instant;

/// Failures in a row after which an engine is no longer used.
const CONSECUTIVE_FAILURES_MAX: u32 = 2;
/// First time until an unusable engine is probed.
const PROBE_BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Longest time between two probes.
const PROBE_BACKOFF_MAX: Duration = Duration::from_secs(16);

/// Failure that says something of the engine itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFailure {
    /// No connection could be made.
    Connect,
    /// No answer came in time, or the connection broke.
    NoAnswer,
    /// It refused as it serves nothing at present.
    NotServing,
}

/// Change of an engine's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// It is no longer used.
    Down,
    /// It is used again.
    Up,
}

/// Health of one engine; it comes back only by a probe over a new connection.
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
    /// Returns whether the engine may get requests.
    pub fn is_up(&self) -> bool {
        self.down.is_none()
    }

    /// Returns whether a probe is due.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.down.is_some_and(|down| now >= down.probe_at)
    }

    /// Notes a call that was answered over an old connection.
    pub fn record_answer(&mut self) {
        if self.is_up() {
            self.failures = 0;
        }
    }

    /// Notes a call that was answered over a new connection.
    pub fn record_answer_on_new_connection(&mut self) -> Option<HealthChange> {
        self.failures = 0;
        self.down.take().map(|_| HealthChange::Up)
    }

    /// Notes a failed call.
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

//! State machine of a caller's connection and its timeouts.

use std::time::Duration;

use crate::clock::Instant;

/// Timeouts of a connection that has no request in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Maximum time between two requests.
    pub idle: Duration,
    /// Maximum time for a request head to arrive.
    pub head: Duration,
}

/// Phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request has started to arrive.
    Idle {
        /// End of the last response, or the time the connection was accepted.
        since: Instant,
    },
    /// Part of a request head has arrived.
    Head {
        /// Arrival of its first byte.
        since: Instant,
        /// Size of the head so far, in bytes.
        bytes: usize,
    },
    /// Requests are in flight.
    Busy {
        /// Number of requests in flight.
        requests: usize,
    },
}

/// What to do with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Keep it open.
    Keep,
    /// Close it as idle, unless a request has just arrived.
    CloseIdle,
    /// Close it, as the request head took longer than the timeout.
    HeadTimeout,
}

impl Default for ConnectionPhase {
    fn default() -> Self {
        Self::idle(Instant::ZERO)
    }
}

impl ConnectionPhase {
    /// Creates the phase of a connection that has been idle since the given time.
    pub fn idle(since: Instant) -> Self {
        Self::Idle { since }
    }

    /// Records received bytes and returns the size of the request head so far, in bytes.
    ///
    /// Returns `None` while a request is in flight, as the bytes then belong to its body.
    pub fn receive_bytes(&mut self, bytes: usize, now: Instant) -> Option<usize> {
        let (since, total_bytes) = match *self {
            Self::Idle { .. } => (now, bytes),
            Self::Head {
                since,
                bytes: before,
            } => (since, before + bytes),
            Self::Busy { .. } => return None,
        };
        *self = Self::Head {
            since,
            bytes: total_bytes,
        };
        Some(total_bytes)
    }

    /// Records that a complete request head has arrived.
    pub fn start_request(&mut self) {
        let requests = match *self {
            Self::Busy { requests } => requests + 1,
            Self::Idle { .. } | Self::Head { .. } => 1,
        };
        *self = Self::Busy { requests };
    }

    /// Records that a response has ended.
    pub fn finish_request(&mut self, now: Instant) {
        *self = match *self {
            Self::Busy { requests } if requests > 1 => Self::Busy {
                requests: requests - 1,
            },
            _ => Self::idle(now),
        };
    }

    /// Returns whether requests are in flight.
    pub fn is_busy(&self) -> bool {
        matches!(self, Self::Busy { .. })
    }

    /// Returns what to do with the connection; `is_closing_idle` closes idle ones at once.
    pub fn action(
        &self,
        now: Instant,
        timeouts: &ConnectionTimeouts,
        is_closing_idle: bool,
    ) -> ConnectionAction {
        match *self {
            Self::Idle { .. } if is_closing_idle => ConnectionAction::CloseIdle,
            Self::Idle { since } if now.saturating_sub(since) >= timeouts.idle => {
                ConnectionAction::CloseIdle
            }
            Self::Head { since, .. } if now.saturating_sub(since) >= timeouts.head => {
                ConnectionAction::HeadTimeout
            }
            _ => ConnectionAction::Keep,
        }
    }
}

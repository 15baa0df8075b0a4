//! What a caller's connection is doing, and how long it may go on.

use std::time::Duration;

use crate::clock::Instant;

/// Bounds on the time without a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Longest time between two requests.
    pub idle: Duration,
    /// Longest time for a head to arrive.
    pub head: Duration,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It waits for a request.
    Idle {
        /// When the last answer ended.
        since: Instant,
    },
    /// The head of a request is arriving.
    Head {
        /// When its first byte came.
        since: Instant,
        /// Bytes of it so far.
        bytes: usize,
    },
    /// Requests are under way.
    Busy {
        /// Their number.
        requests: usize,
    },
}

/// What is to become of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It stays.
    Keep,
    /// It is closed, unless a request has just arrived.
    CloseIdle,
    /// It is closed, as a head took too long.
    HeadTimeout,
}

impl Default for ConnectionPhase {
    fn default() -> Self {
        Self::idle(Instant::ZERO)
    }
}

impl ConnectionPhase {
    /// Returns the phase of a connection without a request.
    pub fn idle(since: Instant) -> Self {
        Self::Idle { since }
    }

    /// Notes bytes that arrived; returns the bytes of the head so far, where one is arriving.
    pub fn receive_bytes(&mut self, bytes: usize, now: Instant) -> Option<usize> {
        let (since, total) = match *self {
            Self::Idle { .. } => (now, bytes),
            Self::Head {
                since,
                bytes: before,
            } => (since, before + bytes),
            Self::Busy { .. } => return None,
        };
        *self = Self::Head {
            since,
            bytes: total,
        };
        Some(total)
    }

    /// Notes that a request has arrived.
    pub fn start_request(&mut self) {
        let requests = match *self {
            Self::Busy { requests } => requests + 1,
            Self::Idle { .. } | Self::Head { .. } => 1,
        };
        *self = Self::Busy { requests };
    }

    /// Notes that an answer has ended.
    pub fn finish_request(&mut self, now: Instant) {
        *self = match *self {
            Self::Busy { requests } if requests > 1 => Self::Busy {
                requests: requests - 1,
            },
            _ => Self::idle(now),
        };
    }

    /// Returns whether requests are under way.
    pub fn is_busy(&self) -> bool {
        matches!(self, Self::Busy { .. })
    }

    /// Returns what is to become of the connection.
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

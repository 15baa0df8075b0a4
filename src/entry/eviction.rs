//! Choice of the connection that is closed to make room for another one.

use std::time::Duration;

use super::connection_phase::ConnectionPhase;
use crate::clock::Instant;

/// Time for which a write has to be blocked before the connection is closed to make room: a caller
/// that reads at an ordinary pace is blocked for less.
const WRITE_BLOCKED_MIN: Duration = Duration::from_secs(1);

/// State of a connection that may be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Phase of the connection.
    pub phase: ConnectionPhase,
    /// Whether a complete request head has arrived on it before.
    pub has_received_request: bool,
    /// Last progress of a request body that is being received.
    pub body_progress_at: Option<Instant>,
    /// Start of a blocked write.
    pub write_blocked_since: Option<Instant>,
}

/// Order in which connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    UnfinishedHead,
    UnfinishedBody,
    Unused,
    Idle,
    BlockedWrite,
}

/// Chooses the connection that is closed: unfinished heads before unfinished bodies, idle connections
/// and callers that do not read, of each kind the one that has been so for longest.
///
/// Requests that are being handled are never chosen. Idle connections are only chosen if
/// `may_close_idle`.
pub fn choose_eviction<T>(
    candidates: impl IntoIterator<Item = (Candidate, T)>,
    may_close_idle: bool,
    now: Instant,
) -> Option<T> {
    let ranked = candidates.into_iter().filter_map(|(candidate, value)| {
        let rank = rank(&candidate, now)?;
        let is_idle = matches!(rank.0, Rank::Unused | Rank::Idle);
        (may_close_idle || !is_idle).then_some((rank, value))
    });
    let chosen = ranked.min_by_key(|(rank, _)| *rank);
    chosen.map(|(_, value)| value)
}

fn rank(candidate: &Candidate, now: Instant) -> Option<(Rank, Instant)> {
    let blocked_since = candidate
        .write_blocked_since
        .filter(|since| now.saturating_sub(*since) >= WRITE_BLOCKED_MIN);
    match (candidate.phase, candidate.body_progress_at, blocked_since) {
        (ConnectionPhase::Head { since, .. }, _, _) => Some((Rank::UnfinishedHead, since)),
        (ConnectionPhase::Idle { since }, _, _) if candidate.has_received_request => {
            Some((Rank::Idle, since))
        }
        (ConnectionPhase::Idle { since }, _, _) => Some((Rank::Unused, since)),
        (ConnectionPhase::Busy { .. }, Some(progress_at), _) => {
            Some((Rank::UnfinishedBody, progress_at))
        }
        (ConnectionPhase::Busy { .. }, None, Some(since)) => Some((Rank::BlockedWrite, since)),
        (ConnectionPhase::Busy { .. }, None, None) => None,
    }
}

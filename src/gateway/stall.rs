//! Decision when another engine is searched for a stream whose engine sends no events.
//!
//! The engine may be busy, and then sends its next event late. Its silence alone never ends the
//! stream: the engine is read until another one has the request.

use std::time::Duration;

use crate::clock::Instant;

/// Times of the move of a stream to another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallSettings {
    /// Time without an event after which another engine is searched.
    pub search_after: Duration,
    /// Minimum time from the end of a search to the next one.
    pub search_interval: Duration,
    /// Maximum time for which two engines have the request.
    pub overlap_max: Duration,
}

impl Default for StallSettings {
    fn default() -> Self {
        Self {
            // Less than the two seconds after which the first callers close the connection.
            search_after: Duration::from_millis(1_300),
            search_interval: Duration::from_millis(250),
            // Two engines may work on one request for 400 ms, in which the close has to arrive.
            overlap_max: Duration::from_millis(250),
        }
    }
}

/// Stream that waits for its next event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentStream {
    /// Start of the wait.
    pub since: Instant,
    /// End of the last search for another engine during this wait.
    pub searched_at: Option<Instant>,
    /// Whether another engine may go on with the stream.
    pub is_resumable: bool,
    /// Number of engines that may have run the request, without the one that is silent.
    pub earlier_runs: u32,
    /// Maximum number of engines that may run the request.
    pub runs_max: u32,
    /// End of the time that the caller waits.
    pub deadline: Instant,
}

impl SilentStream {
    /// Returns when to search another engine; `None` if the silent one is to be read to the end.
    pub fn next_search_at(&self, settings: &StallSettings) -> Option<Instant> {
        let first_search_at = self.since + settings.search_after;
        let next_search_at = self.searched_at.map_or(first_search_at, |searched_at| {
            first_search_at.max(searched_at + settings.search_interval)
        });
        let may_run_again = self.is_resumable && self.earlier_runs + 1 < self.runs_max;
        (may_run_again && next_search_at < self.deadline).then_some(next_search_at)
    }
}

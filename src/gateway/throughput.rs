//! Tokens a second that a queue was seen to give out.
//!
//! Load pattern: engines read less than their speed says, as some load weights, fall silent or have
//! no memory left. Waits foretold from the speed are too short then, and requests would wait for
//! nothing before they are turned away.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::ids::Tokens;

/// Time looked back; long against one prompt, short against the callers' deadlines.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Shortest time of waiting that says something.
const RATE_WINDOW_MIN: Duration = Duration::from_millis(300);

/// Tokens given out lately, while something waited.
#[derive(Debug, Default)]
pub(super) struct Throughput {
    waiting_since: Option<Instant>,
    placed: VecDeque<(Instant, Tokens)>,
}

impl Throughput {
    /// Notes that requests wait.
    pub(super) fn start(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Notes that none waits any more.
    pub(super) fn reset(&mut self) {
        self.waiting_since = None;
        self.placed.clear();
    }

    /// Notes that a waiting request was placed.
    pub(super) fn record_placed(&mut self, tokens: Tokens, now: Instant) {
        self.placed.push_back((now, tokens));
        while self
            .placed
            .front()
            .is_some_and(|(at, _)| *at + RATE_WINDOW < now)
        {
            self.placed.pop_front();
        }
    }

    /// Returns the tokens a second; nothing where requests have not waited for long enough.
    pub(super) fn tokens_per_s(&self, now: Instant) -> Option<f64> {
        let span = now.saturating_sub(self.waiting_since?).min(RATE_WINDOW);
        if span < RATE_WINDOW_MIN {
            return None;
        }
        let from = now.saturating_sub(span);
        let recent = self.placed.iter().filter(|(at, _)| *at >= from);
        let tokens: Tokens = recent.map(|(_, tokens)| tokens).sum();
        Some(tokens as f64 / span.as_secs_f64())
    }
}

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
const SPAN: Duration = Duration::from_secs(1);
/// Shortest time of waiting that says something.
const SPAN_MIN: Duration = Duration::from_millis(300);

/// Tokens given out lately, while something waited.
#[derive(Debug, Default)]
pub(super) struct Throughput {
    busy_since: Option<Instant>,
    given_out: VecDeque<(Instant, Tokens)>,
}

impl Throughput {
    /// Notes that requests wait.
    pub(super) fn begin(&mut self, now: Instant) {
        self.busy_since.get_or_insert(now);
    }

    /// Notes that none waits any more.
    pub(super) fn end(&mut self) {
        self.busy_since = None;
        self.given_out.clear();
    }

    /// Notes that a waiting request was placed.
    pub(super) fn give_out(&mut self, tokens: Tokens, now: Instant) {
        self.given_out.push_back((now, tokens));
        while self
            .given_out
            .front()
            .is_some_and(|(at, _)| *at + SPAN < now)
        {
            self.given_out.pop_front();
        }
    }

    /// Returns the tokens a second; nothing where requests have not waited for long enough.
    pub(super) fn per_s(&self, now: Instant) -> Option<f64> {
        let span = now.saturating_sub(self.busy_since?).min(SPAN);
        if span < SPAN_MIN {
            return None;
        }
        let from = now.saturating_sub(span);
        let recent = self.given_out.iter().filter(|(at, _)| *at >= from);
        let tokens: Tokens = recent.map(|(_, tokens)| tokens).sum();
        Some(tokens as f64 / span.as_secs_f64())
    }
}

//! Measured throughput of a request queue in prompt tokens per second.
//!
//! Load pattern: engines process fewer tokens than their nominal speed, as some load weights, stop
//! responding or run out of memory. Waiting times predicted from the nominal speed are then too
//! short, and requests would wait in vain before they are rejected.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Instant;
use crate::ids::Tokens;

/// Window of the measurement: long compared to one prompt, short compared to request deadlines.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Minimum time of continuous waiting for a meaningful measurement.
const RATE_WINDOW_MIN: Duration = Duration::from_millis(300);

/// Window of the smoothed measurement: several prompts of each kind at one VM of sixty.
const SMOOTHED_WINDOW: Duration = Duration::from_secs(4);
/// Time at the nominal speed that counts in the smoothed measurement.
const NOMINAL_TIME: Duration = Duration::from_secs(1);

/// Prompt tokens of requests that left the queue recently, while requests were waiting.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Throughput {
    waiting_since: Option<Instant>,
    placed: VecDeque<(Instant, Tokens)>,
}

impl Throughput {
    /// Starts the measurement, unless it is running, as requests wait.
    pub(in crate::gateway) fn start(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Ends the measurement, as no request waits.
    pub(in crate::gateway) fn reset(&mut self) {
        self.waiting_since = None;
        self.placed.clear();
    }

    /// Records that a waiting request was placed.
    pub(in crate::gateway) fn record_placed(&mut self, tokens: Tokens, now: Instant) {
        self.placed.push_back((now, tokens));
        while self
            .placed
            .front()
            .is_some_and(|(at, _)| *at + SMOOTHED_WINDOW < now)
        {
            self.placed.pop_front();
        }
    }

    /// Returns the tokens per second, averaged with a time at the nominal speed.
    ///
    /// With large prompts, few requests leave one queue of many within the window.
    pub(in crate::gateway) fn smoothed_tokens_per_s(&self, nominal: f64, now: Instant) -> f64 {
        let Some(since) = self.waiting_since else {
            return nominal;
        };
        let span = now.saturating_sub(since).min(SMOOTHED_WINDOW);
        let tokens: Tokens = self.tokens_since(now.saturating_sub(span));
        let nominal_s = NOMINAL_TIME.as_secs_f64();
        (tokens as f64 + nominal * nominal_s) / (span.as_secs_f64() + nominal_s)
    }

    fn tokens_since(&self, from: Instant) -> Tokens {
        let recent = self.placed.iter().filter(|(at, _)| *at >= from);
        recent.map(|(_, tokens)| tokens).sum()
    }

    /// Returns the tokens per second; `None` if requests have not waited for long enough.
    pub(in crate::gateway) fn tokens_per_s(&self, now: Instant) -> Option<f64> {
        let span = now.saturating_sub(self.waiting_since?).min(RATE_WINDOW);
        if span < RATE_WINDOW_MIN {
            return None;
        }
        let from = now.saturating_sub(span);
        let tokens = self.tokens_since(from);
        Some(tokens as f64 / span.as_secs_f64())
    }
}

//! Estimate of one customer's recent demand at one VM.

use std::time::Duration;

use super::Microtokens;
use crate::clock::Instant;

/// Time constant of the exponential average.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Least expected demand, in requests of the largest recent cost, for which to borrow ahead.
const BORROW_AHEAD_REQUESTS_MIN: u64 = 2;

/// Exponentially decaying average of the tokens requested per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Demand {
    microtokens_per_s: f64,
    /// Largest recent cost; falls by an eighth with each smaller request.
    largest_request: Microtokens,
    updated: Instant,
}

impl Demand {
    /// Adds the cost of a request.
    pub(super) fn record(&mut self, amount: Microtokens, now: Instant) {
        self.microtokens_per_s =
            self.rate(now) + amount as f64 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.largest_request = amount.max(self.largest_request - self.largest_request / 8);
        self.updated = now;
    }

    /// Returns the demand expected within `horizon`.
    ///
    /// Returns zero if only a few requests are expected: borrowing ahead would then cost more
    /// exchanges than it saves.
    pub(super) fn expected_within(&self, horizon: Duration, now: Instant) -> Microtokens {
        let expected = (self.rate(now) * horizon.as_secs_f64()) as Microtokens;
        match expected
            >= self
                .largest_request
                .saturating_mul(BORROW_AHEAD_REQUESTS_MIN)
        {
            true => expected,
            false => 0,
        }
    }

    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.microtokens_per_s * (-age / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

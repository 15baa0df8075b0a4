//! Running estimates of an engine's time per prompt token and of the cache hit ratio.

use std::time::Duration;

use crate::ids::Tokens;

/// Time per token assumed before the first sample.
const INITIAL_TOKEN_COST: Duration = Duration::from_micros(50);
/// Fewest computed tokens for which a request counts as a sample.
const SAMPLE_TOKENS_MIN: Tokens = 1_000;
/// Weight of a sample that is below the estimate.
const DECREASE_EWMA_WEIGHT: f64 = 0.2;
/// Largest factor by which a sample above the estimate raises it.
///
/// Waiting only ever adds to a sample, so that low samples are closer to the true cost.
const INCREASE_FACTOR_MAX: f64 = 1.002;
/// Weight of a sample in the hit ratio.
const HIT_RATIO_EWMA_WEIGHT: f64 = 0.05;
const NANOS_PER_TOKEN_MIN: f64 = 100.0;
const NANOS_PER_TOKEN_MAX: f64 = 10_000_000.0;

/// Estimated time per prompt token, over all engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenCost {
    nanos_per_token: f64,
}

impl Default for TokenCost {
    fn default() -> Self {
        Self {
            nanos_per_token: INITIAL_TOKEN_COST.as_nanos() as f64,
        }
    }
}

impl TokenCost {
    /// Returns the estimated time per token.
    pub fn per_token(&self) -> Duration {
        Duration::from_nanos(self.nanos_per_token as u64)
    }

    /// Adds a sample: the time to first token of a request that computed `missed_tokens`.
    pub fn observe(&mut self, elapsed: Duration, missed_tokens: Tokens) {
        if missed_tokens < SAMPLE_TOKENS_MIN {
            return;
        }
        let sample = elapsed.as_nanos() as f64 / missed_tokens as f64;
        self.nanos_per_token = match sample < self.nanos_per_token {
            true => self.nanos_per_token + DECREASE_EWMA_WEIGHT * (sample - self.nanos_per_token),
            false => sample.min(self.nanos_per_token * INCREASE_FACTOR_MAX),
        };
        self.nanos_per_token = self
            .nanos_per_token
            .clamp(NANOS_PER_TOKEN_MIN, NANOS_PER_TOKEN_MAX);
    }
}

/// Fraction of the pieces expected in the caches of engines other than the home that are found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HitRatio {
    ratio: f64,
}

impl Default for HitRatio {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

impl HitRatio {
    /// Returns the number of pieces to count on when `pieces` are expected to be cached.
    pub fn expected_pieces(&self, pieces: usize) -> usize {
        (pieces as f64 * self.ratio).round() as usize
    }

    /// Adds a sample: the number of pieces expected to be cached, and the number found.
    pub fn observe(&mut self, believed: usize, found: usize) {
        let sample = found.min(believed) as f64 / believed.max(1) as f64;
        self.ratio += HIT_RATIO_EWMA_WEIGHT * (sample - self.ratio);
    }
}

//! Estimate of the time that an engine takes to compute one prompt token.

use std::time::Duration;

use crate::ids::Tokens;

/// Estimate before anything was measured.
const INITIAL_TOKEN_COST: Duration = Duration::from_micros(50);
/// Shortest prompt part that is measured.
const SAMPLE_TOKENS_MIN: Tokens = 1_000;
/// Share taken of a sample below the estimate.
const DECREASE_EWMA_WEIGHT: f64 = 0.2;
/// Factor by which a sample above the estimate raises it at most.
///
/// A wait only ever adds to a sample, so that the low samples tell the cost.
const INCREASE_FACTOR_MAX: f64 = 1.002;
/// Share of a sample in the trust.
const HIT_RATIO_EWMA_WEIGHT: f64 = 0.05;
const NANOS_PER_TOKEN_MIN: f64 = 100.0;
const NANOS_PER_TOKEN_MAX: f64 = 10_000_000.0;

/// Running estimate over all engines.
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
    /// Returns the time for one token.
    pub fn per_token(&self) -> Duration {
        Duration::from_nanos(self.nanos_per_token as u64)
    }

    /// Takes the time to the first token of a request that computed some prompt tokens.
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

/// Share of the pieces believed cached away from home that turn out to be.
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
    /// Returns the pieces to expect where some are believed cached.
    pub fn expected_pieces(&self, pieces: usize) -> usize {
        (pieces as f64 * self.ratio).round() as usize
    }

    /// Takes the pieces found where some were believed cached.
    pub fn observe(&mut self, believed: usize, found: usize) {
        let sample = found.min(believed) as f64 / believed.max(1) as f64;
        self.ratio += HIT_RATIO_EWMA_WEIGHT * (sample - self.ratio);
    }
}

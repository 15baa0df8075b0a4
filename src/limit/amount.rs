//! Amounts of tokens in millionths, so that parts of a burst are whole numbers.

use crate::ids::Tokens;

/// Millionths of a token.
pub type Microtokens = u64;

/// Millionths of a customer's rate and burst.
pub type PartsPerMillion = u32;

/// All parts of a rate together, and the millionths of one token.
pub const MILLION: PartsPerMillion = 1_000_000;

/// Returns whole tokens as millionths.
pub fn to_microtokens(tokens: Tokens) -> Microtokens {
    tokens.saturating_mul(u64::from(MILLION))
}

/// Returns the whole tokens of an amount, rounded down.
pub fn to_tokens(amount: Microtokens) -> Tokens {
    amount / u64::from(MILLION)
}

/// Part of a customer's rate and burst that one VM holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateShare {
    /// Rate of the customer over all VMs.
    pub rate_tokens_per_s: Tokens,
    /// Burst of the customer over all VMs.
    pub burst_tokens: Tokens,
    /// Fraction of both that the VM holds.
    pub parts_per_million: PartsPerMillion,
}

impl RateShare {
    /// Returns the fraction of the burst.
    pub fn burst(&self) -> Microtokens {
        let burst = u128::from(self.burst_tokens) * u128::from(self.parts_per_million);
        u64::try_from(burst).unwrap_or(u64::MAX)
    }

    /// Returns the fraction of the rate, in millionths of a token a second.
    pub fn rate_per_s(&self) -> u128 {
        u128::from(self.rate_tokens_per_s) * u128::from(self.parts_per_million)
    }
}

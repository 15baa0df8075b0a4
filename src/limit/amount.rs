//! Token amounts in millionths of a token, so that fractions of a burst are whole numbers.

use crate::ids::Tokens;

/// Amount in millionths of a token.
pub type Microtokens = u64;

/// Fraction of a customer's rate and burst, in millionths.
pub type PartsPerMillion = u32;

/// Number of millionths in a whole rate and in one token.
pub const MILLION: PartsPerMillion = 1_000_000;

/// Converts whole tokens to microtokens; saturates at the numeric limit.
pub fn to_microtokens(tokens: Tokens) -> Microtokens {
    tokens.saturating_mul(u64::from(MILLION))
}

/// Converts microtokens to whole tokens, rounded down.
pub fn to_tokens(amount: Microtokens) -> Tokens {
    amount / u64::from(MILLION)
}

/// Share of a customer's rate and burst that one VM holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateShare {
    /// Rate of the customer over all VMs.
    pub rate_tokens_per_s: Tokens,
    /// Burst of the customer over all VMs.
    pub burst_tokens: Tokens,
    /// Fraction of rate and burst that the VM holds.
    pub parts_per_million: PartsPerMillion,
}

impl RateShare {
    /// Returns the burst of this share.
    pub fn burst(&self) -> Microtokens {
        let burst = u128::from(self.burst_tokens) * u128::from(self.parts_per_million);
        u64::try_from(burst).unwrap_or(u64::MAX)
    }

    /// Returns the rate of this share, in microtokens per second.
    pub fn rate_per_s(&self) -> u128 {
        u128::from(self.rate_tokens_per_s) * u128::from(self.parts_per_million)
    }
}

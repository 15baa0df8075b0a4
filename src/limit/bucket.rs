//! Token bucket that keeps room for tokens that were taken and may still be returned.

use std::time::Duration;

use super::{Microtokens, RateShare};
use crate::clock::Instant;

const NANOS_PER_S: u128 = 1_000_000_000;

/// Token bucket that keeps `level + outstanding <= burst`.
///
/// Tokens that are taken stay outstanding until they are settled as consumed or returned.
/// Outstanding tokens take up capacity that a refill could otherwise fill. This bounds the tokens
/// admitted over any time span, returned and reused tokens included, by `rate × time + burst`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bucket {
    share: RateShare,
    level: Microtokens,
    /// Refill that is too small for one microtoken yet, in billionths of a microtoken.
    remainder: u128,
    outstanding: Microtokens,
    updated: Instant,
}

impl Bucket {
    /// Creates a bucket that contains `level`, at most its burst.
    pub fn new(share: RateShare, level: Microtokens, now: Instant) -> Self {
        Self {
            level: level.min(share.burst()),
            share,
            remainder: 0,
            outstanding: 0,
            updated: now,
        }
    }

    /// Changes rate and burst; lowers the level if it no longer fits beside the outstanding tokens.
    pub fn reconfigure(&mut self, share: RateShare, now: Instant) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(self.free_capacity());
    }

    /// Takes up to `wanted` and returns the amount taken, which is outstanding until settled.
    pub fn take(&mut self, wanted: Microtokens, now: Instant) -> Microtokens {
        self.refill(now);
        let taken = wanted.min(self.level);
        self.level -= taken;
        self.outstanding += taken;
        taken
    }

    /// Takes and consumes all of `amount`, or none of it.
    ///
    /// # Errors
    ///
    /// Returns the time until enough tokens are refilled, or `None` if the rate is zero.
    pub fn try_consume(
        &mut self,
        amount: Microtokens,
        now: Instant,
    ) -> Result<(), Option<Duration>> {
        let level = self.level(now);
        if level < amount {
            return Err(self.refill_time(amount - level));
        }
        self.take(amount, now);
        self.settle(amount, 0, now);
        Ok(())
    }

    /// Settles outstanding tokens: `consumed` is removed, `returned` is added back to the level.
    pub fn settle(&mut self, consumed: Microtokens, returned: Microtokens, now: Instant) {
        self.refill(now);
        let settled = consumed.saturating_add(returned).min(self.outstanding);
        self.outstanding -= settled;
        let returned = returned.min(settled);
        self.level = (self.level + returned).min(self.free_capacity());
    }

    /// Returns the amount that can be taken now.
    pub fn level(&mut self, now: Instant) -> Microtokens {
        self.refill(now);
        self.level
    }

    /// Returns the amount that was taken and is not settled.
    pub fn outstanding(&self) -> Microtokens {
        self.outstanding
    }

    /// Returns the rate and burst of the bucket.
    pub fn share(&self) -> RateShare {
        self.share
    }

    /// Returns whether no tokens are outstanding and the level equals the burst.
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.level(now) == self.share.burst()
    }

    /// Returns the time in which `missing` is refilled.
    ///
    /// Returns `None` if the rate is zero or the time does not fit into 64 bits of nanoseconds.
    pub fn refill_time(&self, missing: Microtokens) -> Option<Duration> {
        let rate = self.share.rate_per_s();
        if rate == 0 {
            return None;
        }
        let nanos = (u128::from(missing) * NANOS_PER_S).div_ceil(rate);
        u64::try_from(nanos).ok().map(Duration::from_nanos)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        let gained = elapsed.as_nanos() * self.share.rate_per_s() + self.remainder;
        let whole = u64::try_from(gained / NANOS_PER_S).unwrap_or(u64::MAX);
        let capacity = self.free_capacity();
        self.remainder = gained % NANOS_PER_S;
        self.level = self.level.saturating_add(whole);
        if self.level >= capacity {
            self.level = capacity;
            self.remainder = 0;
        }
    }

    fn free_capacity(&self) -> Microtokens {
        self.share.burst().saturating_sub(self.outstanding)
    }
}

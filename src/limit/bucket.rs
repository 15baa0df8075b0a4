//! Token bucket that also counts what was taken and is not settled yet.

use std::time::Duration;

use super::{Microtokens, RateShare};
use crate::clock::Instant;

const NANOS_PER_S: u128 = 1_000_000_000;

/// Token bucket with `level + outstanding <= burst` at all times.
///
/// What was taken stays outstanding until it is settled as consumed or returned. As outstanding
/// tokens leave no room for a refill, whatever is admitted over any span, from returned tokens too,
/// stays within `rate × time + burst`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bucket {
    share: RateShare,
    level: Microtokens,
    /// Refill below one millionth of a token, in billionths of it.
    remainder: u128,
    outstanding: Microtokens,
    updated: Instant,
}

impl Bucket {
    /// Creates a bucket that holds `level`, at most its burst.
    pub fn new(share: RateShare, level: Microtokens, now: Instant) -> Self {
        Self {
            level: level.min(share.burst()),
            share,
            remainder: 0,
            outstanding: 0,
            updated: now,
        }
    }

    /// Changes rate and burst; the level is kept where it fits beside what is outstanding.
    pub fn reconfigure(&mut self, share: RateShare, now: Instant) {
        self.refill(now);
        self.share = share;
        self.level = self.level.min(self.free_capacity());
    }

    /// Takes up to `wanted` and returns how much was taken; it is outstanding until settled.
    pub fn take(&mut self, wanted: Microtokens, now: Instant) -> Microtokens {
        self.refill(now);
        let taken = wanted.min(self.level);
        self.level -= taken;
        self.outstanding += taken;
        taken
    }

    /// Takes all of `amount` for good, or says in what time it is there, if ever.
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

    /// Settles what was taken: `consumed` is gone, `returned` goes back to the level.
    pub fn settle(&mut self, consumed: Microtokens, returned: Microtokens, now: Instant) {
        self.refill(now);
        let settled = consumed.saturating_add(returned).min(self.outstanding);
        self.outstanding -= settled;
        let returned = returned.min(settled);
        self.level = (self.level + returned).min(self.free_capacity());
    }

    /// Returns how much may be taken now.
    pub fn level(&mut self, now: Instant) -> Microtokens {
        self.refill(now);
        self.level
    }

    /// Returns how much was taken and is not settled.
    pub fn outstanding(&self) -> Microtokens {
        self.outstanding
    }

    /// Returns the part of rate and burst.
    pub fn share(&self) -> RateShare {
        self.share
    }

    /// Returns whether nothing is outstanding and the level is the whole burst.
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.level(now) == self.share.burst()
    }

    /// Returns the time in which the refill brings `missing`, if it ever does.
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

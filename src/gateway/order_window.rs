//! Time in which the holder of the lease may send orders to engines.
//!
//! Load pattern: the holder is paused, cut off or killed while weights are set, and another VM takes
//! over. Engines that check fencing numbers refuse the orders of the earlier holder. Engines that do
//! not check them may still receive one, so the next holder waits until none can be on its way.

use std::time::Duration;

use crate::clock::Instant;
use crate::steward::HeldTerm;

/// An order is sent only if at least the lease duration divided by this number is left, as it may
/// be on its way for a while.
const LEASE_LEFT_DIVISOR: u32 = 4;

/// Rules for the time of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderWindow {
    /// Time for which the lease is valid after a renewal.
    pub lease_ttl: Duration,
    /// Whether engines refuse orders with an older fencing number.
    pub engines_check_fencing: bool,
}

impl OrderWindow {
    /// Returns whether the holder of a term that was acquired at `acquired_at` may send an order.
    pub fn is_open(&self, held: HeldTerm, acquired_at: Instant, now: Instant) -> bool {
        let is_previous_term_over =
            self.engines_check_fencing || now >= acquired_at + self.lease_ttl;
        self.has_time_left(held, now) && is_previous_term_over
    }

    /// Returns whether enough of the term is left to send an order that was prepared before.
    pub fn has_time_left(&self, held: HeldTerm, now: Instant) -> bool {
        held.valid_until.saturating_sub(now) >= self.lease_ttl / LEASE_LEFT_DIVISOR
    }
}

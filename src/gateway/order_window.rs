//! Time in which the holder of the lease may send orders to engines.
//!
//! Load pattern: the holder is paused, cut off, stopped or killed while weights are set, and another
//! VM takes over. Engines that check fencing numbers refuse the orders of the earlier holder.
//! Engines that do not check them may still receive one, so the next holder waits until none can be
//! on its way. Holders that are stopped in turn before their first order do not prolong that wait,
//! and one that is stopped after it goes on with its orders.

use std::time::Duration;

use crate::clock::Instant;
use crate::ids::FencingNumber;
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
    /// Returns whether the holder of a term may send an order.
    pub fn is_open(&self, held: HeldTerm, now: Instant) -> bool {
        let is_acting = self.engines_check_fencing || held.idle.is_none();
        self.has_time_left(held, now) && is_acting
    }

    /// Returns whether the holder may open its window: no earlier holder has sent an order within
    /// the lease duration.
    pub fn can_open(&self, held: HeldTerm, now: Instant) -> bool {
        self.time_until_open(held, now).is_zero() && self.has_time_left(held, now)
    }

    /// Returns the time until an order of an earlier holder is long enough ago.
    pub fn time_until_open(&self, held: HeldTerm, now: Instant) -> Duration {
        match held.idle {
            Some(idle) if !self.engines_check_fencing => {
                self.lease_ttl.saturating_sub(idle.at(now))
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether a holder that stops goes on as such: it sends orders in the term named by
    /// `ordering_term`, and its successor would have to pause first.
    pub fn is_kept_while_stopping(
        &self,
        held: HeldTerm,
        ordering_term: Option<FencingNumber>,
    ) -> bool {
        let is_ordering = held.idle.is_none() && ordering_term == Some(held.fencing_number);
        !self.engines_check_fencing && is_ordering
    }

    /// Returns whether enough of the term is left to send an order that was prepared before.
    pub fn has_time_left(&self, held: HeldTerm, now: Instant) -> bool {
        held.valid_until.saturating_sub(now) >= self.lease_ttl / LEASE_LEFT_DIVISOR
    }
}

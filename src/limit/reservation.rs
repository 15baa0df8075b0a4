//! RAII guard for the tokens reserved for one request.

use std::sync::Arc;

use super::{Limiter, ReservedTokens};
use crate::ids::{CustomerId, Tokens};

/// Tokens reserved from a customer's rate; the unconsumed rest is returned once, when dropped.
#[derive(Debug)]
pub struct Reservation {
    limiter: Arc<Limiter>,
    customer: CustomerId,
    reserved: ReservedTokens,
    consumed_at_end: Tokens,
}

impl Reservation {
    pub(super) fn new(
        limiter: Arc<Limiter>,
        customer: CustomerId,
        reserved: ReservedTokens,
    ) -> Self {
        Self {
            limiter,
            customer,
            reserved,
            consumed_at_end: 0,
        }
    }

    /// Counts tokens as consumed.
    pub fn consume(&mut self, tokens: Tokens) {
        self.limiter
            .consume(&self.customer, &mut self.reserved, tokens);
    }

    /// Counts tokens as consumed on drop, unless [`Self::cancel_consume_at_end`] is called before.
    pub fn consume_at_end(&mut self, tokens: Tokens) {
        self.consumed_at_end = self.consumed_at_end.saturating_add(tokens);
    }

    /// Cancels the consumption that was due on drop.
    pub fn cancel_consume_at_end(&mut self) {
        self.consumed_at_end = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.consume(self.consumed_at_end);
        let reserved = std::mem::take(&mut self.reserved);
        self.limiter.release(&self.customer, reserved);
    }
}

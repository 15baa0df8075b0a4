//! Tokens reserved for one request.

use std::sync::Arc;

use super::{Limiter, ReservedTokens};
use crate::ids::{CustomerId, Tokens};

/// Tokens taken from a customer's rate; what was not spent goes back once, when dropped.
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

    /// Counts tokens as spent.
    pub fn consume(&mut self, tokens: Tokens) {
        self.limiter
            .consume(&self.customer, &mut self.reserved, tokens);
    }

    /// Counts tokens as spent when dropped, unless refunded before.
    pub fn consume_at_end(&mut self, tokens: Tokens) {
        self.consumed_at_end = self.consumed_at_end.saturating_add(tokens);
    }

    /// Takes back what was to be spent at the end.
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

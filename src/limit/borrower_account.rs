//! Borrower's side of an account: the tokens that one holder lent for one customer.

use super::wire::{Epoch, Exchange, Grant, Process};
use super::{Microtokens, to_microtokens};
use crate::clock::Instant;
use crate::ids::CustomerId;

/// Amounts that a new exchange asks for and returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct BorrowRequest {
    /// Amount that a waiting request still lacks.
    pub(super) required: Microtokens,
    /// Amount to borrow in total: `required` and the demand to borrow ahead.
    pub(super) desired: Microtokens,
    /// Unused amount that is returned to the holder.
    pub(super) returned: Microtokens,
}

/// Tokens borrowed from one holder for one customer.
#[derive(Debug, Clone)]
pub(super) struct BorrowerAccount {
    pub(super) holder: Process,
    pub(super) epoch: Epoch,
    pub(super) available: Microtokens,
    pub(super) reserved: Microtokens,
    pub(super) consumed: Microtokens,
    pub(super) valid_until: Instant,
    pub(super) last_answer_at: Instant,
    sequence: u64,
    pending: Option<Pending>,
}

#[derive(Debug, Clone)]
struct Pending {
    exchange: Exchange,
    first_sent: Instant,
}

impl BorrowerAccount {
    /// Creates an empty account.
    ///
    /// The sequence numbers start at the current time in microseconds, above those of any earlier
    /// account of this process at the same holder. The holder would treat a number that it has seen
    /// before as a retransmission and repeat its earlier grant.
    pub(super) fn new(holder: Process, now: Instant) -> Self {
        Self {
            holder,
            epoch: 0,
            available: 0,
            reserved: 0,
            consumed: 0,
            valid_until: Instant::ZERO,
            last_answer_at: Instant::ZERO,
            sequence: u64::try_from(now.as_micros()).unwrap_or(u64::MAX / 2),
            pending: None,
        }
    }

    /// Discards the borrowed tokens once their validity is over.
    ///
    /// Requests in progress keep their reservations, as they were admitted in time. What they do
    /// not consume belongs to a closed epoch and is lost.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.epoch != 0 && now >= self.valid_until {
            self.reset();
        }
    }

    /// Discards the account's state, for example after the holder lost its share.
    pub(super) fn reset(&mut self) {
        self.epoch = 0;
        self.available = 0;
        self.reserved = 0;
        self.consumed = 0;
        self.pending = None;
    }

    /// Returns whether the account has tokens left, reserved or to report as consumed.
    pub(super) fn is_open(&self) -> bool {
        self.available > 0 || self.reserved > 0 || self.consumed > 0
    }

    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Moves up to `amount` from the available to the reserved tokens; returns the amount moved.
    pub(super) fn reserve(&mut self, amount: Microtokens) -> Microtokens {
        let taken = amount.min(self.available);
        self.available -= taken;
        self.reserved += taken;
        taken
    }

    /// Settles tokens that were reserved in `epoch`; does nothing if that epoch is closed.
    pub(super) fn settle(&mut self, epoch: Epoch, consumed: Microtokens, returned: Microtokens) {
        if epoch != self.epoch {
            return;
        }
        self.reserved = self.reserved.saturating_sub(consumed + returned);
        self.consumed += consumed;
        self.available += returned;
    }

    /// Returns the exchange to send: the unanswered one again if there is one, else a new one.
    pub(super) fn next_exchange(
        &mut self,
        request: BorrowRequest,
        customer: &CustomerId,
        incarnation: u64,
        now: Instant,
    ) -> Exchange {
        if let Some(pending) = &self.pending {
            return pending.exchange.clone();
        }
        self.sequence += 1;
        self.available -= request.returned;
        let exchange = Exchange {
            incarnation,
            holder_incarnation: self.holder.incarnation,
            customer: customer.clone(),
            account_epoch: self.epoch,
            sequence: self.sequence,
            consumed: std::mem::take(&mut self.consumed),
            returned: request.returned,
            required: request.required,
            desired: request.desired,
        };
        self.pending = Some(Pending {
            exchange: exchange.clone(),
            first_sent: now,
        });
        exchange
    }

    /// Adds the granted tokens, and returns whether the answer matches the pending exchange.
    ///
    /// The validity counts from when the exchange was first sent. It therefore ends at the borrower
    /// before the holder closes the account or loses its share.
    pub(super) fn apply_grant(&mut self, grant: &Grant, now: Instant) -> bool {
        let Some(pending) = self.pending.take() else {
            return false;
        };
        if grant.sequence != pending.exchange.sequence {
            self.pending = Some(pending);
            return false;
        }
        if grant.epoch != self.epoch {
            self.reset();
            self.epoch = grant.epoch;
        }
        self.available = self.available.saturating_add(grant.granted);
        self.valid_until =
            pending.first_sent + std::time::Duration::from_millis(grant.valid_ms.into());
        self.last_answer_at = now;
        self.expire(now);
        true
    }

    /// Drops the pending exchange of an account that was never opened, which holds no tokens.
    pub(super) fn abandon_exchange(&mut self) {
        if self.epoch == 0 {
            self.pending = None;
        }
    }

    /// Returns the available amount beyond `kept`, or zero if that is less than one token.
    pub(super) fn returnable(&self, kept: Microtokens) -> Microtokens {
        match self.available.saturating_sub(kept) {
            returnable if returnable >= to_microtokens(1) => returnable,
            _ => 0,
        }
    }
}

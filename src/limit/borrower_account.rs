//! Borrower's side of one account at one holder.

use super::wire::{Epoch, Exchange, Grant, Process};
use super::{Microtokens, to_microtokens};
use crate::clock::Instant;
use crate::ids::CustomerId;

/// Why a VM turns to a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct BorrowRequest {
    /// Missing for a request that waits.
    pub(super) required: Microtokens,
    /// Wished for altogether.
    pub(super) desired: Microtokens,
    /// Given back from the stock.
    pub(super) returned: Microtokens,
}

/// What a VM borrowed from one holder for one customer.
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
    /// Creates an account that holds nothing.
    ///
    /// Its sequence starts at the time, above that of any earlier account of this process at the
    /// same holder: the holder would take a number that it knows for a repeat and answer with what
    /// it lent before.
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

    /// Gives up what is no longer valid.
    ///
    /// Requests under way keep what they reserved, as it was admitted in time, but what they leave
    /// over belongs to a closed epoch and is lost.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.epoch != 0 && now >= self.valid_until {
            self.reset();
        }
    }

    /// Forgets the account, such as when the holder lost its part.
    pub(super) fn reset(&mut self) {
        self.epoch = 0;
        self.available = 0;
        self.reserved = 0;
        self.consumed = 0;
        self.pending = None;
    }

    /// Returns whether the account holds or owes anything.
    pub(super) fn is_open(&self) -> bool {
        self.available > 0 || self.reserved > 0 || self.consumed > 0
    }

    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Moves up to `amount` from the stock to what is reserved and returns how much.
    pub(super) fn reserve(&mut self, amount: Microtokens) -> Microtokens {
        let taken = amount.min(self.available);
        self.available -= taken;
        self.reserved += taken;
        taken
    }

    /// Settles a part of what was reserved in `epoch`; a part of an older epoch changes nothing.
    pub(super) fn settle(&mut self, epoch: Epoch, consumed: Microtokens, returned: Microtokens) {
        if epoch != self.epoch {
            return;
        }
        self.reserved = self.reserved.saturating_sub(consumed + returned);
        self.consumed += consumed;
        self.available += returned;
    }

    /// Returns the exchange to send: the one without an answer again, or a new one.
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

    /// Takes an answer in and returns whether it was the one waited for.
    ///
    /// What was lent is valid from before the exchange was first sent, so that it ends here before
    /// the holder closes the account or loses its part.
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

    /// Gives up on an exchange whose account has nothing to lose.
    pub(super) fn abandon_exchange(&mut self) {
        if self.epoch == 0 {
            self.pending = None;
        }
    }

    /// Returns how much of the stock may be given back to leave `kept` of it.
    pub(super) fn returnable(&self, kept: Microtokens) -> Microtokens {
        match self.available.saturating_sub(kept) {
            returnable if returnable >= to_microtokens(1) => returnable,
            _ => 0,
        }
    }
}

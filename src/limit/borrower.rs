//! Borrower's side of one customer: the tokens that this VM may spend, lent by up to three holders.

use std::time::Duration;

use super::Microtokens;
use super::borrower_account::{BorrowRequest, BorrowerAccount};
use super::demand::Demand;
use super::wire::{Epoch, Exchange, Grant, Process};
use crate::clock::Instant;
use crate::ids::{CustomerId, Incarnation};

/// Settings of a [`Borrower`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowerSettings {
    /// Time span whose expected demand is borrowed ahead.
    pub borrow_ahead_window: Duration,
    /// Divisor of the burst's refill time that yields the interval between reports and returns.
    pub report_divisor: u32,
    /// Refill time of the burst from which on consumption alone is not reported.
    pub reported_refill_max: Duration,
    /// Time since the last answer after which an exchange is sent to keep an account open.
    pub keep_alive_interval: Duration,
}

impl Default for BorrowerSettings {
    fn default() -> Self {
        Self {
            borrow_ahead_window: Duration::from_millis(500),
            report_divisor: 8,
            reported_refill_max: Duration::from_millis(8_000),
            keep_alive_interval: Duration::from_millis(3_000),
        }
    }
}

/// Tokens reserved for one request, by account.
#[derive(Debug, Default)]
pub struct ReservedTokens {
    by_account: Vec<AccountReservation>,
}

#[derive(Debug)]
struct AccountReservation {
    holder: Process,
    epoch: Epoch,
    amount: Microtokens,
}

/// Exchange to send to a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingExchange {
    /// Holder to send it to.
    pub holder: Process,
    /// Message to send.
    pub exchange: Exchange,
}

/// Tokens of one customer that this VM borrowed and may spend.
#[derive(Debug)]
pub struct Borrower {
    settings: BorrowerSettings,
    customer: CustomerId,
    incarnation: Incarnation,
    accounts: Vec<BorrowerAccount>,
    demand: Demand,
    /// Index of the account to borrow from first.
    preferred_index: usize,
}

impl Borrower {
    /// Creates a borrower without accounts.
    pub fn new(settings: BorrowerSettings, customer: CustomerId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            customer,
            incarnation,
            accounts: Vec::new(),
            demand: Demand::default(),
            preferred_index: 0,
        }
    }

    /// Sets the holders to borrow from, the preferred one first; keeps existing accounts at them.
    ///
    /// An account at a former holder is kept as long as the tokens that it lent are valid.
    pub fn set_holders(&mut self, holders: &[Process], now: Instant) {
        let is_same = self
            .accounts
            .iter()
            .map(|account| &account.holder)
            .eq(holders);
        if is_same {
            return;
        }
        let mut former = std::mem::take(&mut self.accounts);
        for holder in holders {
            let position = former.iter().position(|account| account.holder == *holder);
            let account = match position {
                Some(position) => former.swap_remove(position),
                None => BorrowerAccount::new(holder.clone(), now),
            };
            self.accounts.push(account);
        }
        former.retain_mut(|account| {
            account.expire(now);
            account.is_open()
        });
        self.preferred_index = 0;
        self.accounts.extend(former);
    }

    /// Adds a request's cost to the demand estimate.
    pub fn record_demand(&mut self, amount: Microtokens, now: Instant) {
        self.demand.record(amount, now);
    }

    /// Reserves all of `amount` from the available tokens, or none of it.
    ///
    /// # Errors
    ///
    /// Returns the amount that is missing.
    pub fn reserve(
        &mut self,
        amount: Microtokens,
        now: Instant,
    ) -> Result<ReservedTokens, Microtokens> {
        let available = self.available(now);
        if available < amount {
            return Err(amount - available);
        }
        let mut reserved = ReservedTokens::default();
        let mut missing = amount;
        for account in &mut self.accounts {
            let taken = account.reserve(missing);
            missing -= taken;
            if taken > 0 {
                reserved.by_account.push(AccountReservation {
                    holder: account.holder.clone(),
                    epoch: account.epoch,
                    amount: taken,
                });
            }
        }
        Ok(reserved)
    }

    /// Settles up to `amount` of the reserved tokens as consumed.
    pub fn consume(&mut self, reserved: &mut ReservedTokens, amount: Microtokens, now: Instant) {
        let mut left = amount;
        for reservation in &mut reserved.by_account {
            let consumed = left.min(reservation.amount);
            reservation.amount -= consumed;
            left -= consumed;
            self.settle(reservation, consumed, 0, now);
        }
    }

    /// Makes the unconsumed part of the reserved tokens available again.
    pub fn release(&mut self, reserved: ReservedTokens, now: Instant) {
        for reservation in &reserved.by_account {
            self.settle(reservation, 0, reservation.amount, now);
        }
    }

    /// Returns the amount that can be reserved now.
    pub fn available(&mut self, now: Instant) -> Microtokens {
        let accounts = self.accounts.iter_mut();
        accounts
            .map(|account| {
                account.expire(now);
                account.available
            })
            .sum()
    }

    /// Returns the exchange to send for a request that lacks `required`.
    ///
    /// Skips the holders in `asked_holders`; returns `None` if none is left.
    pub fn borrow_exchange(
        &mut self,
        required: Microtokens,
        asked_holders: &[Process],
        now: Instant,
    ) -> Option<OutgoingExchange> {
        let expected_demand = self
            .demand
            .expected_within(self.settings.borrow_ahead_window, now);
        let count = self.accounts.len();
        let order = (0..count).map(|step| (self.preferred_index + step) % count);
        let index = { order }.find(|index| {
            let account = &self.accounts[*index];
            !asked_holders.contains(&account.holder)
        })?;
        let request = BorrowRequest {
            required,
            desired: required.saturating_add(expected_demand),
            returned: 0,
        };
        Some(self.start_exchange(index, request, now))
    }

    /// Returns the exchanges that are due without a waiting request: loans ahead, reports, returns.
    ///
    /// `refill` is the time in which the customer's rate refills its burst. If it is long,
    /// consumption alone is not reported: the holder closes the idle account and counts all tokens
    /// lent to it as consumed, which has the same effect.
    pub fn due_exchanges(&mut self, refill: Duration, now: Instant) -> Vec<OutgoingExchange> {
        let report_interval = match refill >= self.settings.reported_refill_max {
            true => Duration::MAX,
            false => refill / self.settings.report_divisor.max(1),
        };
        let available = self.available(now);
        let expected_demand = self
            .demand
            .expected_within(self.settings.borrow_ahead_window, now);
        let mut missing = match available < expected_demand / 2 {
            true => expected_demand - available,
            false => 0,
        };
        let mut kept = expected_demand.saturating_mul(2);
        let mut due = Vec::new();
        for step in 0..self.accounts.len() {
            let index = (self.preferred_index + step) % self.accounts.len();
            let account = &self.accounts[index];
            let age = now.saturating_sub(account.last_answer_at);
            let returned = match age >= report_interval.min(self.settings.keep_alive_interval) {
                true => account.returnable(kept),
                false => 0,
            };
            kept = kept.saturating_sub(account.available);
            let request = BorrowRequest {
                required: 0,
                desired: std::mem::take(&mut missing),
                returned,
            };
            if account.is_pending()
                || request.desired > 0
                || returned > 0
                || self.is_stale(index, report_interval, now)
            {
                due.push(self.start_exchange(index, request, now));
            }
        }
        due
    }

    /// Applies a holder's answer, and returns whether it matches a pending exchange.
    pub fn apply_grant(&mut self, holder: &Process, grant: &Grant, now: Instant) -> bool {
        let Some(index) = self.index_of(holder) else {
            return false;
        };
        let account = &mut self.accounts[index];
        if grant.epoch == 0 {
            return false;
        }
        if !account.apply_grant(grant, now) {
            return false;
        }
        if grant.retry_after_ms > 0 && index == self.preferred_index {
            self.preferred_index = (index + 1) % self.accounts.len();
        }
        true
    }

    /// Records that a holder did not answer, and prefers the next one.
    pub fn record_no_answer(&mut self, holder: &Process) {
        if let Some(index) = self.index_of(holder) {
            self.accounts[index].abandon_exchange();
            if index == self.preferred_index {
                self.preferred_index = (index + 1) % self.accounts.len();
            }
        }
    }

    /// Returns whether no tokens are borrowed or to be reported, and no demand is expected.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.available(now);
        let is_open = |account: &BorrowerAccount| account.is_open() || account.is_pending();
        !self.accounts.iter().any(is_open)
            && self
                .demand
                .expected_within(self.settings.borrow_ahead_window, now)
                == 0
    }

    fn is_stale(&self, index: usize, report_interval: Duration, now: Instant) -> bool {
        let account = &self.accounts[index];
        let age = now.saturating_sub(account.last_answer_at);
        let is_due = account.consumed > 0 && age >= report_interval;
        let is_held = account.available > 0 || account.reserved > 0;
        is_due || (is_held && age >= self.settings.keep_alive_interval)
    }

    fn start_exchange(
        &mut self,
        index: usize,
        request: BorrowRequest,
        now: Instant,
    ) -> OutgoingExchange {
        let account = &mut self.accounts[index];
        account.expire(now);
        OutgoingExchange {
            exchange: account.next_exchange(request, &self.customer, self.incarnation, now),
            holder: account.holder.clone(),
        }
    }

    fn settle(
        &mut self,
        reservation: &AccountReservation,
        consumed: Microtokens,
        returned: Microtokens,
        now: Instant,
    ) {
        if let Some(index) = self.index_of(&reservation.holder) {
            self.accounts[index].expire(now);
            self.accounts[index].settle(reservation.epoch, consumed, returned);
        }
    }

    fn index_of(&self, holder: &Process) -> Option<usize> {
        let position = |account: &BorrowerAccount| account.holder == *holder;
        self.accounts.iter().position(position)
    }
}

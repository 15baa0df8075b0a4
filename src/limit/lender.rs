//! Holder's side of borrowing: one bucket per active customer and one account per borrower.

use std::collections::HashMap;
use std::time::Duration;

use super::wire::{Epoch, Exchange, Grant, Process};
use super::{Bucket, Microtokens, PartsPerMillion, RateShare};
use crate::clock::Instant;
use crate::ids::CustomerId;

/// Divisor of the level that yields the most that a borrower gets beyond its required amount.
const BORROW_AHEAD_LEVEL_DIVISOR: u64 = 8;
/// Time between two checks for idle accounts of a customer.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time limits of accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountSettings {
    /// Time for which a borrower may spend lent tokens, from when it first sent the exchange.
    pub grant_ttl: Duration,
    /// Time without an exchange after which the holder closes an account.
    pub idle_timeout: Duration,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            grant_ttl: Duration::from_millis(4_000),
            idle_timeout: Duration::from_millis(4_500),
        }
    }
}

/// Share of one customer's rate that a VM holds, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldShare {
    /// Rate and burst with the fraction held.
    pub share: RateShare,
    /// Time at which the VM became the holder.
    pub since: Instant,
    /// Whether no VM held the share before, so that it starts with its whole burst.
    pub is_first: bool,
}

impl HeldShare {
    fn bucket(&self, now: Instant) -> Bucket {
        match self.is_first {
            true => Bucket::new(self.share, self.share.burst(), now),
            false => {
                let mut bucket = Bucket::new(self.share, 0, self.since);
                bucket.level(now);
                bucket
            }
        }
    }
}

/// Tokens that a VM lends from its shares, to other VMs and to itself.
#[derive(Debug)]
pub struct Lender {
    settings: AccountSettings,
    last_epoch: Epoch,
    customers: HashMap<CustomerId, CustomerLoans>,
}

/// Bucket of one customer and the accounts of its borrowers.
#[derive(Debug)]
struct CustomerLoans {
    bucket: Bucket,
    accounts: HashMap<Process, LenderAccount>,
    idle_checked_at: Instant,
}

/// Lender's side of one borrower's account.
#[derive(Debug)]
struct LenderAccount {
    epoch: Epoch,
    outstanding: Microtokens,
    last_exchange_at: Instant,
    /// Last answer, which is repeated if its exchange is sent again.
    grant: Grant,
}

impl Lender {
    /// Creates a lender whose account epochs count up from half of `epoch_base`, a random number.
    pub fn new(settings: AccountSettings, epoch_base: Epoch) -> Self {
        Self {
            settings,
            last_epoch: epoch_base >> 1,
            customers: HashMap::new(),
        }
    }

    /// Answers an exchange.
    ///
    /// Returns `None` if the exchange is outdated or the VM may not lend at `now`. Lent tokens are
    /// deducted before the answer is created, so that a lost answer loses tokens and never
    /// duplicates them.
    pub fn exchange(
        &mut self,
        borrower: &Process,
        exchange: &Exchange,
        held_share: &HeldShare,
        valid_until: Option<Instant>,
        now: Instant,
    ) -> Option<Grant> {
        let lease_left = valid_until?.saturating_sub(now);
        if lease_left < Duration::from_millis(1) {
            return None;
        }
        let idle_timeout = self.settings.idle_timeout;
        let customer = self.customer(&exchange.customer, held_share, now);
        customer.close_idle_accounts(idle_timeout, now);
        if let Some(account) = customer.accounts.get_mut(borrower) {
            match exchange.sequence.cmp(&account.grant.sequence) {
                std::cmp::Ordering::Less => return None,
                std::cmp::Ordering::Equal => {
                    account.last_exchange_at = now;
                    return Some(account.grant.clone());
                }
                std::cmp::Ordering::Greater => {}
            }
        }
        let is_known = customer.settle(borrower, exchange, now);
        let epoch = match is_known {
            true => exchange.account_epoch,
            false => self.next_epoch(),
        };
        let grant_ttl = self.settings.grant_ttl.min(lease_left);
        let customer = self.customer(&exchange.customer, held_share, now);
        Some(customer.lend(borrower, exchange, epoch, grant_ttl, now))
    }

    /// Closes idle accounts, and removes customers that have no account and a full bucket.
    pub fn sweep(&mut self, now: Instant) {
        let idle_timeout = self.settings.idle_timeout;
        self.customers.retain(|_, customer| {
            customer.close_idle_accounts(idle_timeout, now);
            !customer.accounts.is_empty() || !customer.bucket.is_full(now)
        });
    }

    /// Removes the customers that `matches` selects, after the VM lost its share of their rates.
    pub fn remove_customers(&mut self, matches: impl Fn(&str) -> bool) {
        self.customers.retain(|id, _| !matches(id));
    }

    /// Reduces the share of the customers that `matches` selects, and returns whether it did.
    ///
    /// Does nothing if more tokens are outstanding than the burst of the reduced share: together
    /// with the refill at the VM that receives the rest, they could exceed the customer's limit.
    /// The refill up to `now` counts at the old share, the later refill at the reduced one.
    pub fn reduce_share(
        &mut self,
        matches: impl Fn(&str) -> bool,
        parts_per_million: PartsPerMillion,
        now: Instant,
    ) -> bool {
        let reduced = |bucket: &Bucket| RateShare {
            parts_per_million,
            ..bucket.share()
        };
        let customers = self.customers.iter_mut().filter(|(id, _)| matches(id));
        let mut buckets: Vec<_> = customers
            .map(|(_, customer)| &mut customer.bucket)
            .collect();
        let fits = |bucket: &&mut Bucket| bucket.outstanding() <= reduced(bucket).burst();
        if !buckets.iter().all(fits) {
            return false;
        }
        for bucket in &mut buckets {
            bucket.reconfigure(reduced(bucket), now);
        }
        true
    }

    /// Returns whether all loans to other processes, of the customers selected, are settled.
    pub fn is_settled(&self, own_process: &Process, matches: impl Fn(&str) -> bool) -> bool {
        let customers = self.customers.iter().filter(|(id, _)| matches(id));
        let mut accounts = customers.flat_map(|(_, customer)| &customer.accounts);
        accounts.all(|(borrower, account)| borrower == own_process || account.outstanding == 0)
    }

    /// Returns the amount lent and not settled, over the customers that `matches` selects.
    pub fn outstanding(&self, matches: impl Fn(&str) -> bool) -> Microtokens {
        let customers = self.customers.iter().filter(|(id, _)| matches(id));
        customers
            .map(|(_, customer)| customer.bucket.outstanding())
            .sum()
    }

    fn customer(
        &mut self,
        id: &CustomerId,
        held_share: &HeldShare,
        now: Instant,
    ) -> &mut CustomerLoans {
        let customer = self
            .customers
            .entry(id.clone())
            .or_insert_with(|| CustomerLoans {
                bucket: held_share.bucket(now),
                accounts: HashMap::new(),
                idle_checked_at: now,
            });
        customer.bucket.reconfigure(held_share.share, now);
        customer
    }

    fn next_epoch(&mut self) -> Epoch {
        self.last_epoch += 1;
        self.last_epoch
    }
}

impl CustomerLoans {
    /// Closes the accounts without a recent exchange and counts their loans as consumed.
    fn close_idle_accounts(&mut self, idle_timeout: Duration, now: Instant) {
        if now.saturating_sub(self.idle_checked_at) < IDLE_CHECK_INTERVAL {
            return;
        }
        self.idle_checked_at = now;
        let bucket = &mut self.bucket;
        self.accounts.retain(|_, account| {
            let is_open = now.saturating_sub(account.last_exchange_at) < idle_timeout;
            if !is_open {
                bucket.settle(account.outstanding, 0, now);
            }
            is_open
        });
    }

    /// Settles the report of an exchange; returns `false` if it belongs to no open account.
    fn settle(&mut self, borrower: &Process, exchange: &Exchange, now: Instant) -> bool {
        let Some(account) = self.accounts.get_mut(borrower) else {
            return false;
        };
        if account.epoch != exchange.account_epoch {
            self.bucket.settle(account.outstanding, 0, now);
            self.accounts.remove(borrower);
            return false;
        }
        let consumed = exchange.consumed.min(account.outstanding);
        let returned = exchange.returned.min(account.outstanding - consumed);
        account.outstanding -= consumed + returned;
        self.bucket.settle(consumed, returned, now);
        true
    }

    fn refill_ms(&self, missing: Microtokens) -> u32 {
        let wait = self.bucket.refill_time(missing);
        wait.map_or(u32::MAX, whole_ms).max(1)
    }

    fn lend(
        &mut self,
        borrower: &Process,
        exchange: &Exchange,
        epoch: Epoch,
        grant_ttl: Duration,
        now: Instant,
    ) -> Grant {
        let taken = self.bucket.take(exchange.required, now);
        let extra_max = self.bucket.level(now) / BORROW_AHEAD_LEVEL_DIVISOR;
        let extra = exchange
            .desired
            .saturating_sub(exchange.required)
            .min(extra_max);
        let granted = taken + self.bucket.take(extra, now);
        let missing = exchange.required - taken;
        let grant = Grant {
            epoch,
            sequence: exchange.sequence,
            granted,
            valid_ms: whole_ms(grant_ttl),
            retry_after_ms: match missing {
                0 => 0,
                _ => self.refill_ms(missing),
            },
        };
        let account = self.accounts.entry(borrower.clone());
        let account = account.or_insert_with(|| LenderAccount {
            epoch,
            outstanding: 0,
            last_exchange_at: now,
            grant: Grant::default(),
        });
        account.outstanding += granted;
        account.last_exchange_at = now;
        account.grant = grant.clone();
        grant
    }
}

fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

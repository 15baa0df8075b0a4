//! Limiter of one VM: reserves tokens for requests, borrows them from holders, and lends its own.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::future::join_all;
use tokio::sync::Notify;

use super::assignment::{Slot, SlotRecord, slot_of};
use super::interfaces::{FleetView, HolderClient};
use super::wire::{Exchange, Grant, Process};
use super::{
    AccountSettings, Borrower, BorrowerSettings, Lender, Microtokens, OutgoingExchange,
    PartsPerMillion, Reservation, ReservedTokens, ShareChange, SlotTable, to_microtokens,
    to_tokens,
};
use crate::clock::{Instant, SharedClock};
use crate::document::{Customer, Snapshot};
use crate::error::{Code, Refusal};
use crate::ids::{CustomerId, ObjectVersion, Tokens, VmId};
use crate::telemetry::{Event, Metrics};

/// Settings of a [`Limiter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimiterSettings {
    /// Time limits of accounts.
    pub account: AccountSettings,
    /// Borrowing ahead, reports and returns.
    pub borrower: BorrowerSettings,
    /// Longest time that a request waits for all holders together.
    pub borrow_timeout: Duration,
    /// Time after the start in which VMs may still be taking over shares.
    ///
    /// Within it, requests wait for a holder instead of being refused.
    pub startup_window: Duration,
    /// Longest time to wait for the answer of one holder.
    pub exchange_timeout: Duration,
    /// Time for which a refusal by all holders is reused for later requests.
    pub refusal_ttl: Duration,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            account: AccountSettings::default(),
            borrower: BorrowerSettings::default(),
            borrow_timeout: Duration::from_millis(300),
            startup_window: Duration::from_millis(3_000),
            exchange_timeout: Duration::from_millis(100),
            refusal_ttl: Duration::from_millis(50),
        }
    }
}

/// Time between two attempts to reach a holder while the VM starts.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Rate limiter of this VM for all customers.
#[derive(Debug)]
pub struct Limiter {
    settings: LimiterSettings,
    clock: SharedClock,
    metrics: Metrics,
    own_process: Process,
    membership: Arc<dyn FleetView>,
    holder_client: ArcSwap<Arc<dyn HolderClient>>,
    state: Mutex<State>,
    /// Wakes requests that wait for the record of their slot.
    records_changed: Notify,
    started: Instant,
}

#[derive(Debug)]
struct State {
    table: SlotTable,
    lender: Lender,
    customers: HashMap<CustomerId, LocalCustomer>,
    is_leaving: bool,
}

/// State of one customer at this VM.
#[derive(Debug)]
struct LocalCustomer {
    borrower: Borrower,
    /// Lets one request borrow at a time; the next one first uses the tokens borrowed by then.
    borrowing: Arc<tokio::sync::Mutex<()>>,
    recent_refusal: Option<RecentRefusal>,
}

#[derive(Debug, Clone)]
struct RecentRefusal {
    until: Instant,
    missing: Microtokens,
    refusal: Refusal,
}

impl Limiter {
    /// Creates a limiter without shares or borrowed tokens.
    pub fn new(
        settings: LimiterSettings,
        clock: SharedClock,
        metrics: Metrics,
        membership: Arc<dyn FleetView>,
        holder_client: Arc<dyn HolderClient>,
    ) -> Self {
        let own_process = membership.own_process();
        Self {
            state: Mutex::new(State {
                table: SlotTable::new(own_process.clone()),
                lender: Lender::new(settings.account, rand::random()),
                customers: HashMap::new(),
                is_leaving: false,
            }),
            records_changed: Notify::new(),
            started: clock.now(),
            own_process,
            settings,
            clock,
            metrics,
            membership,
            holder_client: ArcSwap::from_pointee(holder_client),
        }
    }

    /// Reserves `tokens`, the most that a request may cost, within a bounded wait.
    ///
    /// # Errors
    ///
    /// Refuses a request that costs more than the customer's burst, whose cost is not available, or
    /// for which no holder answers in time.
    pub async fn reserve(
        self: &Arc<Self>,
        id: &CustomerId,
        customer: &Customer,
        tokens: Tokens,
    ) -> Result<Reservation, Refusal> {
        if tokens > customer.burst_tokens {
            let burst = customer.burst_tokens;
            let message = format!(
                "the request may cost {tokens} tokens, but the customer's burst is {burst}"
            );
            return Err(Refusal::new(Code::CostAboveBurst, message));
        }
        let amount = to_microtokens(tokens);
        self.with_local(id, |local, now| local.borrower.record_demand(amount, now));
        let missing = match self.try_reserve(id, amount) {
            Ok(reserved) => return Ok(self.reservation(id, reserved)),
            Err(missing) => missing,
        };
        if let Some(refusal) = self.recent_refusal(id, missing) {
            return Err(refusal);
        }
        let borrowing = self.with_local(id, |local, _| local.borrowing.clone());
        let borrow_attempt = async {
            let _guard = borrowing.lock().await;
            self.wait_for_slot_record(slot_of(id)).await;
            self.borrow_with_startup_retries(id, customer, amount).await
        };
        let timeout = self.settings.borrow_timeout.max(self.startup_time_left());
        match tokio::time::timeout(timeout, borrow_attempt).await {
            Ok(result) => result,
            Err(_) => Err(unreachable_refusal()),
        }
    }

    /// Answers an exchange of another VM; returns `None` if this VM may not lend.
    pub fn handle_exchange(
        &self,
        borrower: &VmId,
        exchange: &Exchange,
        customer: &Customer,
    ) -> Option<Grant> {
        let borrower = Process {
            vm: borrower.clone(),
            incarnation: exchange.incarnation,
        };
        let grant = self.lend(&borrower, exchange, customer)?;
        self.metrics.record_event(Event::ShareGiven);
        Some(grant)
    }

    /// Reports consumption, returns unused tokens, borrows ahead, and closes idle accounts.
    pub async fn run_due_exchanges(&self, snapshot: &Snapshot) {
        let mut calls = Vec::new();
        for (id, outgoing) in self.due_exchanges(snapshot) {
            let Some(customer) = snapshot.customer(&id) else {
                continue;
            };
            calls.push(async move { self.exchange(&id, customer, outgoing).await });
        }
        join_all(calls).await;
    }

    /// Applies a slot's record that was read from or written to the store.
    pub fn apply_record(&self, slot: Slot, version: ObjectVersion, record: SlotRecord) {
        let now = self.clock.now();
        let mut state = self.state();
        match state.table.apply_record(slot, version, record, now) {
            ShareChange::None => {}
            ShareChange::Received => self.metrics.record_event(Event::ShareReceived),
            ShareChange::Lost => state.lender.remove_customers(|id| slot_of(id) == slot),
        }
        self.records_changed.notify_waiters();
    }

    /// Sets the client for exchanges with other VMs, once it can connect.
    pub fn set_holder_client(&self, holder_client: Arc<dyn HolderClient>) {
        self.holder_client.store(Arc::new(holder_client));
    }

    /// Drops all shares if membership now runs under another incarnation than the shares' holder.
    pub(super) fn sync_own_process(&self) {
        self.state().set_own_process(self.membership.own_process());
    }

    /// Returns a slot's record with its version; the version is 0 if there is no record.
    pub fn record(&self, slot: Slot) -> (ObjectVersion, Option<SlotRecord>) {
        let state = self.state();
        let (version, record) = state.table.record(slot);
        (version, record.cloned())
    }

    /// Reduces this VM's share of a slot before its record is written; returns whether it did.
    pub(super) fn reduce_share(&self, slot: Slot, parts_per_million: PartsPerMillion) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let matches = |id: &str| slot_of(id) == slot;
        let is_reduced = state.lender.reduce_share(matches, parts_per_million, now);
        if is_reduced {
            state.table.reduce_share(slot, parts_per_million);
        }
        is_reduced
    }

    /// Returns whether this VM's share of a slot is smaller than its record says.
    pub(super) fn is_reduced(&self, slot: Slot) -> bool {
        self.state().table.is_reduced(slot)
    }

    /// Returns whether all loans to other VMs from this VM's share of a slot are settled.
    pub(super) fn is_settled(&self, slot: Slot) -> bool {
        let state = self.state();
        let matches = |id: &str| slot_of(id) == slot;
        state.lender.is_settled(state.table.own_process(), matches)
    }

    /// Returns the view of the fleet.
    pub fn membership(&self) -> &dyn FleetView {
        &*self.membership
    }

    /// Counts an event in the metrics.
    pub(super) fn count(&self, event: Event) {
        self.metrics.record_event(event);
    }

    /// Returns the time limits of accounts.
    pub fn account_settings(&self) -> AccountSettings {
        self.settings.account
    }

    /// Stops lending from this VM's shares, to itself too, before they are handed over.
    pub fn stop_lending(&self) {
        self.state().is_leaving = true;
    }

    /// Settles up to `tokens` of a reservation as consumed.
    pub(super) fn consume(&self, id: &CustomerId, reserved: &mut ReservedTokens, tokens: Tokens) {
        self.with_local(id, |local, now| {
            local
                .borrower
                .consume(reserved, to_microtokens(tokens), now);
        });
    }

    /// Makes the unconsumed part of a reservation available again.
    pub(super) fn release(&self, id: &CustomerId, reserved: ReservedTokens) {
        self.with_local(id, |local, now| local.borrower.release(reserved, now));
    }

    /// Waits until the record of a slot is known.
    async fn wait_for_slot_record(&self, slot: Slot) {
        loop {
            let mut records_changed = std::pin::pin!(self.records_changed.notified());
            records_changed.as_mut().enable();
            if self.record(slot).1.is_some() {
                return;
            }
            records_changed.await;
        }
    }

    /// Returns the rest of the startup window, in which holders may not be reachable yet.
    fn startup_time_left(&self) -> Duration {
        let end = self.started + self.settings.startup_window;
        end.saturating_sub(self.clock.now())
    }

    /// Borrows for a request; retries within the startup window until a holder can be reached.
    async fn borrow_with_startup_retries(
        self: &Arc<Self>,
        id: &CustomerId,
        customer: &Customer,
        amount: Microtokens,
    ) -> Result<Reservation, Refusal> {
        loop {
            match self.borrow(id, customer, amount).await {
                Err(refusal)
                    if refusal.code == Code::ShareUnavailable
                        && !self.startup_time_left().is_zero() =>
                {
                    tokio::time::sleep(STARTUP_RETRY_INTERVAL).await;
                }
                result => return result,
            }
        }
    }

    async fn borrow(
        self: &Arc<Self>,
        id: &CustomerId,
        customer: &Customer,
        amount: Microtokens,
    ) -> Result<Reservation, Refusal> {
        let mut asked_holders = Vec::new();
        let mut waits_ms = Vec::new();
        loop {
            let missing = match self.try_reserve(id, amount) {
                Ok(reserved) => return Ok(self.reservation(id, reserved)),
                Err(missing) => missing,
            };
            let outgoing = self.with_local(id, |local, now| {
                local.borrower.borrow_exchange(missing, &asked_holders, now)
            });
            let Some(outgoing) = outgoing else {
                return Err(self.refuse(id, customer, missing, &waits_ms));
            };
            let holder = outgoing.holder.clone();
            match self.exchange(id, customer, outgoing).await {
                // A retransmitted exchange is answered for its own required amount, not for this
                // request's, so ask this holder again.
                Some(grant) if grant.retry_after_ms == 0 && grant.granted < missing => {}
                Some(grant) => {
                    waits_ms.extend((grant.retry_after_ms > 0).then_some(grant.retry_after_ms));
                    asked_holders.push(holder);
                }
                None => asked_holders.push(holder),
            }
        }
    }

    fn refuse(
        &self,
        id: &CustomerId,
        customer: &Customer,
        missing: Microtokens,
        waits_ms: &[u32],
    ) -> Refusal {
        if waits_ms.is_empty() {
            return unreachable_refusal();
        }
        let message = "the customer's rate and burst are used up";
        let wait = Duration::from_secs(1)
            .mul_f64(to_tokens(missing) as f64 / customer.rate_tokens_per_s.max(1) as f64);
        let refusal = Refusal::new(Code::RateExceeded, message).with_retry_after(wait);
        self.with_local(id, |local, now| {
            local.recent_refusal = Some(RecentRefusal {
                until: now + self.settings.refusal_ttl.min(wait),
                missing,
                refusal: refusal.clone(),
            });
        });
        refusal
    }

    fn recent_refusal(&self, id: &CustomerId, missing: Microtokens) -> Option<Refusal> {
        self.with_local(id, |local, now| {
            let recent = local.recent_refusal.as_ref()?;
            let holds = now < recent.until && missing >= recent.missing;
            holds.then(|| recent.refusal.clone())
        })
    }

    /// Performs an exchange, with this VM's lender or another VM's, and applies the answer.
    async fn exchange(
        &self,
        id: &CustomerId,
        customer: &Customer,
        outgoing: OutgoingExchange,
    ) -> Option<Grant> {
        let OutgoingExchange { holder, exchange } = outgoing;
        let is_own = holder == *self.state().table.own_process();
        let grant = match is_own {
            true => self.lend(&holder, &exchange, customer),
            false => {
                let timeout = self.settings.exchange_timeout;
                let holder_client = self.holder_client.load_full();
                holder_client.exchange(&holder, exchange, timeout).await
            }
        };
        let grant = grant.filter(|grant| grant.epoch != 0);
        self.with_local(id, |local, now| match &grant {
            Some(grant) => {
                local.borrower.apply_grant(&holder, grant, now);
            }
            None => local.borrower.record_no_answer(&holder),
        });
        grant
    }

    fn lend(&self, borrower: &Process, exchange: &Exchange, customer: &Customer) -> Option<Grant> {
        let mut state = self.state();
        // The lease is read under the lock and directly before lending, so that a VM resuming from
        // a pause sees that its lease has expired. It is read before the incarnation, so that the
        // lease of a new incarnation never covers shares of the old one.
        let valid_until = self.membership.valid_until();
        state.set_own_process(self.membership.own_process());
        if exchange.holder_incarnation != state.table.own_process().incarnation || state.is_leaving
        {
            return None;
        }
        let held_share = state.table.held_share(&exchange.customer, customer)?;
        let now = self.clock.now();
        state
            .lender
            .exchange(borrower, exchange, &held_share, valid_until, now)
    }

    fn due_exchanges(&self, snapshot: &Snapshot) -> Vec<(CustomerId, OutgoingExchange)> {
        let now = self.clock.now();
        let mut state = self.state();
        let State {
            table,
            lender,
            customers,
            ..
        } = &mut *state;
        lender.sweep(now);
        customers.retain(|id, local| {
            let is_borrowing = Arc::strong_count(&local.borrowing) > 1;
            is_borrowing || (snapshot.customer(id).is_some() && !local.borrower.is_idle(now))
        });
        let mut due = Vec::new();
        for (id, local) in customers {
            let refill = snapshot.customer(id).map_or(Duration::ZERO, refill_time);
            local.borrower.set_holders(&table.holders(id), now);
            let outgoing = local.borrower.due_exchanges(refill, now).into_iter();
            due.extend(outgoing.map(|outgoing| (id.clone(), outgoing)));
        }
        due
    }

    fn try_reserve(
        &self,
        id: &CustomerId,
        amount: Microtokens,
    ) -> Result<ReservedTokens, Microtokens> {
        self.with_local(id, |local, now| local.borrower.reserve(amount, now))
    }

    fn reservation(self: &Arc<Self>, id: &CustomerId, reserved: ReservedTokens) -> Reservation {
        Reservation::new(self.clone(), id.clone(), reserved)
    }

    fn with_local<T>(
        &self,
        id: &CustomerId,
        job: impl FnOnce(&mut LocalCustomer, Instant) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut state = self.state();
        let State {
            table, customers, ..
        } = &mut *state;
        let local = customers
            .entry(id.clone())
            .or_insert_with(|| LocalCustomer {
                borrower: Borrower::new(
                    self.settings.borrower,
                    id.clone(),
                    self.own_process.incarnation,
                ),
                borrowing: Arc::default(),
                recent_refusal: None,
            });
        local.borrower.set_holders(&table.holders(id), now);
        job(local, now)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Drops all shares if the process now runs under another incarnation.
    fn set_own_process(&mut self, own_process: Process) {
        if *self.table.own_process() != own_process {
            self.table.set_own_process(own_process);
            self.lender.remove_customers(|_| true);
        }
    }
}

fn unreachable_refusal() -> Refusal {
    let code = Code::ShareUnavailable;
    Refusal::new(code, code.meaning()).with_retry_after(Duration::from_secs(1))
}

/// Returns the time in which a customer's rate refills its burst.
fn refill_time(customer: &Customer) -> Duration {
    let millis = customer.burst_tokens.saturating_mul(1_000) / customer.rate_tokens_per_s.max(1);
    Duration::from_millis(millis)
}

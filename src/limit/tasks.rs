//! Background tasks that keep slot records and accounts up to date.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::{StreamExt, stream};
use rand::Rng;

use super::assignment::{
    Candidate, Slot, SlotRecord, plan_claim, plan_leave, plan_split, slot_from_name, slot_name,
};
use super::wire::Process;
use super::{Limiter, PlanContext, SLOT_COUNT};
use crate::entry::App;
use crate::ids::ObjectVersion;
use crate::membership::RecordObject;
use crate::platform::{Kind, Listing, PutOutcome, StoreClient, StoreError};
use crate::telemetry::Event;

/// Time between two runs of due exchanges.
const ACCOUNT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks for free shares while no record changes.
const CLAIM_INTERVAL: Duration = Duration::from_millis(1_000);
/// Largest number of concurrent writes to the store.
const CONCURRENT_WRITES_MAX: usize = 8;
/// Largest number of slots whose shares a VM splits in one pass.
const SPLITS_PER_PASS_MAX: usize = 16;
/// Time between two attempts to hand over shares with unsettled loans.
const HAND_OVER_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds of the wait after a failed store call; it doubles with each failure.
const STORE_BACKOFF_MIN: Duration = Duration::from_millis(200);
const STORE_BACKOFF_MAX: Duration = Duration::from_millis(2_000);

/// Runs the exchanges that are due, periodically until dropped.
pub async fn run_account_exchanges(app: Arc<App>) {
    let mut interval = tokio::time::interval(ACCOUNT_EXCHANGE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Ok(snapshot) = app.snapshot() {
            app.limiter().run_due_exchanges(&snapshot).await;
        }
    }
}

/// Watches the slot records and claims free shares until dropped.
pub async fn sync_slot_records(store: StoreClient, limiter: Arc<Limiter>, watch_wait: Duration) {
    let mut slot_sync = SlotSync::new(store, limiter, watch_wait);
    let mut backoff = STORE_BACKOFF_MIN;
    loop {
        match slot_sync.sync_once().await {
            Ok(()) => backoff = STORE_BACKOFF_MIN,
            Err(_) => {
                slot_sync.listed_version = None;
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(STORE_BACKOFF_MAX);
            }
        }
    }
}

/// Keeps the slot records in the store and in the limiter in step.
struct SlotSync {
    store: StoreClient,
    limiter: Arc<Limiter>,
    /// Version of the last listing; `None` before the first one.
    listed_version: Option<ObjectVersion>,
    watch_wait: Duration,
    /// Processes found to be fenced by VM records that [`Self::find_fenced_holders`] read.
    fenced_by_record: Mutex<HashSet<Process>>,
}

/// Membership's view of the fleet at one moment.
struct FleetSnapshot {
    own_process: Process,
    candidates: Vec<Candidate>,
}

impl SlotSync {
    fn new(store: StoreClient, limiter: Arc<Limiter>, watch_wait: Duration) -> Self {
        Self {
            store,
            limiter,
            listed_version: None,
            watch_wait,
            fenced_by_record: Mutex::default(),
        }
    }

    /// Applies changed records and claims free shares.
    ///
    /// The first call lists all records; later calls wait for changes.
    async fn sync_once(&mut self) -> Result<(), StoreError> {
        let listing = match self.listed_version {
            None => self.store.list(Kind::Share).await?,
            Some(listed_version) => self.watch(listed_version).await?,
        };
        self.listed_version = Some(listing.version);
        self.apply_listing(listing);
        self.claim_all().await
    }

    /// Waits for changed records, and meanwhile claims and splits shares as membership changes.
    async fn watch(&self, listed_version: ObjectVersion) -> Result<Listing, StoreError> {
        let mut watch = std::pin::pin!(self.store.watch(
            Kind::Share,
            listed_version,
            self.watch_wait
        ));
        loop {
            let has_lease = self.limiter.membership().valid_until().is_some();
            let next_check = async {
                match has_lease {
                    true => tokio::time::sleep(CLAIM_INTERVAL).await,
                    false => self.limiter.membership().changed().await,
                }
            };
            tokio::select! {
                listing = &mut watch => return listing,
                () = next_check => self.rebalance().await?,
            }
        }
    }

    /// Claims free shares, and splits own shares with VMs that hold none.
    async fn rebalance(&self) -> Result<(), StoreError> {
        self.find_fenced_holders().await?;
        self.claim_all().await?;
        self.split_shares().await
    }

    /// Reads the VM records of unreachable holders whose shares this VM would claim.
    ///
    /// Membership reads all VM records only at long intervals, which would delay the claims and
    /// leave customers without these shares.
    async fn find_fenced_holders(&self) -> Result<(), StoreError> {
        let fleet = self.fleet_snapshot();
        let mut unreachable = HashSet::new();
        for slot in 0..SLOT_COUNT {
            let (_, Some(record)) = self.limiter.record(slot) else {
                continue;
            };
            let holders = holders_of(Some(&record)).into_iter();
            unreachable.extend(holders.filter(|holder| {
                let planned = plan_claim(
                    slot,
                    Some(&record),
                    fleet.plan_context(std::slice::from_ref(holder)),
                );
                !fleet.contains(holder) && planned.is_some()
            }));
        }
        let known_fenced = self.fenced(&unreachable.iter().cloned().collect::<Vec<_>>());
        for process in unreachable
            .into_iter()
            .filter(|process| !known_fenced.contains(process))
        {
            let object = self.store.get(Kind::Vm, &process.vm).await?;
            if RecordObject::from(object).is_reclaimable(process.incarnation) {
                self.lock_fenced_by_record().insert(process);
            }
        }
        Ok(())
    }

    /// Splits shares with VMs that hold none, for a few slots per pass to limit the store's load.
    async fn split_shares(&self) -> Result<(), StoreError> {
        if self.limiter.membership().valid_until().is_none() {
            return Ok(());
        }
        let fleet = self.fleet_snapshot();
        // Each share is reduced here before the record that assigns the rest of it is written.
        let reduced = (0..SLOT_COUNT).filter_map(|slot| self.reduce_own_share(slot, &fleet));
        let writes: Vec<_> = reduced
            .take(SPLITS_PER_PASS_MAX)
            .map(|(slot, version, planned)| self.write(slot, version, planned))
            .collect();
        let written: Vec<_> = stream::iter(writes)
            .buffer_unordered(CONCURRENT_WRITES_MAX)
            .collect()
            .await;
        written
            .into_iter()
            .try_for_each(|written| written.map(drop))
    }

    /// Reduces this VM's share of a slot as planned, and returns the record to write.
    fn reduce_own_share(
        &self,
        slot: Slot,
        fleet: &FleetSnapshot,
    ) -> Option<(Slot, ObjectVersion, SlotRecord)> {
        let (version, record) = self.limiter.record(slot);
        let record = record?;
        let fenced = self.fenced(&holders_of(Some(&record)));
        let Some(planned) = plan_split(slot, &record, fleet.plan_context(&fenced)) else {
            // No receiver is left: writing the record anew restores the share to its stored size.
            return self
                .limiter
                .is_reduced(slot)
                .then_some((slot, version, record));
        };
        let kept_parts_per_million = planned.share_of(&fleet.own_process)?.parts_per_million;
        let is_reduced = self.limiter.reduce_share(slot, kept_parts_per_million);
        is_reduced.then_some((slot, version, planned))
    }

    fn fleet_snapshot(&self) -> FleetSnapshot {
        let membership = self.limiter.membership();
        FleetSnapshot {
            own_process: membership.own_process(),
            candidates: membership.candidates(),
        }
    }

    fn fenced(&self, processes: &[Process]) -> Vec<Process> {
        let fenced_by_membership = self.limiter.membership().fenced(processes);
        let fenced_by_record = self.lock_fenced_by_record();
        let is_fenced = |process: &&Process| {
            fenced_by_membership.contains(process) || fenced_by_record.contains(process)
        };
        processes.iter().filter(is_fenced).cloned().collect()
    }

    fn lock_fenced_by_record(&self) -> std::sync::MutexGuard<'_, HashSet<Process>> {
        self.fenced_by_record
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn claim_all(&self) -> Result<(), StoreError> {
        self.limiter.sync_own_process();
        if self.limiter.membership().valid_until().is_none() {
            return Ok(());
        }
        let claims = (0..SLOT_COUNT).map(|slot| self.claim(slot));
        let claims: Vec<_> = stream::iter(claims)
            .buffer_unordered(CONCURRENT_WRITES_MAX)
            .collect()
            .await;
        claims.into_iter().collect()
    }

    fn apply_listing(&self, listing: Listing) {
        for object in listing.items {
            let slot = slot_from_name(&object.name);
            let record = SlotRecord::parse(&object.value);
            if let (Some(slot), Ok(record)) = (slot, record) {
                self.limiter.apply_record(slot, object.version, record);
            }
        }
    }

    async fn claim(&self, slot: Slot) -> Result<(), StoreError> {
        let (version, record) = self.limiter.record(slot);
        let fenced = self.fenced(&holders_of(record.as_ref()));
        let Some(planned) = plan_claim(
            slot,
            record.as_ref(),
            self.fleet_snapshot().plan_context(&fenced),
        ) else {
            return Ok(());
        };
        let is_reclaimed = !fenced.is_empty();
        if self.write(slot, version, planned).await? && is_reclaimed {
            self.limiter.count(Event::ShareReclaimed);
        }
        Ok(())
    }

    /// Writes a record if the slot still has the given version; returns whether it was written.
    ///
    /// Applies the record that the store is then known to contain.
    async fn write(
        &self,
        slot: Slot,
        version: ObjectVersion,
        record: SlotRecord,
    ) -> Result<bool, StoreError> {
        let Ok(text) = record.to_text() else {
            return Ok(false);
        };
        let name = slot_name(slot);
        match self.store.put(Kind::Share, &name, version, &text).await? {
            PutOutcome::Applied(version) => {
                self.limiter.apply_record(slot, version, record);
                Ok(true)
            }
            PutOutcome::Conflict(Some(object)) => {
                if let Ok(record) = SlotRecord::parse(&object.value) {
                    self.limiter.apply_record(slot, object.version, record);
                }
                Ok(false)
            }
            // The next listing shows whether the write took effect.
            PutOutcome::Conflict(None) | PutOutcome::NotApplied | PutOutcome::Unknown => {
                Err(StoreError::Timeout)
            }
        }
    }
}

impl FleetSnapshot {
    fn plan_context<'a>(&'a self, fenced: &'a [Process]) -> PlanContext<'a> {
        PlanContext {
            own_process: &self.own_process,
            candidates: &self.candidates,
            fenced,
        }
    }

    fn contains(&self, process: &Process) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|candidate| candidate.process == *process)
    }
}

/// Hands over this VM's shares, each once all its loans are settled or have expired.
pub async fn hand_over_shares(store: StoreClient, limiter: Arc<Limiter>) {
    limiter.stop_lending();
    let slot_sync = SlotSync::new(store, limiter, Duration::ZERO);
    let loan_expiry = tokio::time::sleep(slot_sync.limiter.account_settings().grant_ttl);
    let mut loan_expiry = std::pin::pin!(loan_expiry);
    loop {
        let are_loans_expired = loan_expiry.is_elapsed();
        let has_remaining = slot_sync.hand_over_settled(are_loans_expired).await;
        if are_loans_expired || !has_remaining {
            return;
        }
        tokio::select! {
            () = &mut loan_expiry => {}
            () = tokio::time::sleep(HAND_OVER_RETRY_INTERVAL) => {}
        }
    }
}

impl SlotSync {
    /// Hands over the shares without unsettled loans, and returns whether any share remains.
    ///
    /// Other VMs reclaim the shares that are not handed over once this VM's lease has expired.
    async fn hand_over_settled(&self, are_loans_expired: bool) -> bool {
        let fleet = self.fleet_snapshot();
        if fleet.candidates.len() < 2 {
            return false;
        }
        let planned: Vec<_> = (0..SLOT_COUNT)
            .filter_map(|slot| {
                let (version, record) = self.limiter.record(slot);
                let planned = plan_leave(slot, &record?, fleet.plan_context(&[]))?;
                Some((slot, version, planned))
            })
            .collect();
        let can_hand_over = |slot| are_loans_expired || self.limiter.is_settled(slot);
        let (ready, kept): (Vec<_>, Vec<_>) = planned
            .into_iter()
            .partition(|(slot, ..)| can_hand_over(*slot));
        let writes = ready
            .into_iter()
            .map(|(slot, version, planned)| self.write(slot, version, planned));
        let written: Vec<_> = stream::iter(writes)
            .buffer_unordered(CONCURRENT_WRITES_MAX)
            .collect()
            .await;
        !kept.is_empty() || written.iter().any(|written| !matches!(written, Ok(true)))
    }
}

fn holders_of(record: Option<&SlotRecord>) -> Vec<Process> {
    let shares = record.map(|record| record.shares.as_slice());
    let shares = shares.unwrap_or_default().iter();
    shares.map(|share| share.holder.clone()).collect()
}

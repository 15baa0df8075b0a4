//! Task that makes the store calls of the lease state machine and publishes the lease.

use std::future::Future;
use std::sync::Arc;

use slog::info;
use tokio::sync::watch;

use super::{
    HeldTerm, LeaseAction, LeaseCore, LeaseHolder, LeaseObject, LeaseRecord, LeaseSettings,
    LeaseWriteOutcome, StewardState,
};
use crate::clock::{Instant, SharedClock};
use crate::ids::{FencingNumber, ObjectVersion};
use crate::platform::{Kind, PutOutcome, StoreClient};
use crate::supervisor::{StopSignal, SupervisorContext};
use crate::telemetry::Event;

const LEASE_OBJECT_NAME: &str = "steward";

/// Read-only view of the lease for tasks that act under it.
#[derive(Debug, Clone)]
pub struct LeaseView {
    held: watch::Receiver<Option<HeldTerm>>,
    clock: SharedClock,
}

impl LeaseView {
    /// Returns the fencing number if the lease is currently held.
    ///
    /// Must be called just before each action under the lease.
    pub fn fencing_number(&self) -> Option<FencingNumber> {
        self.held().map(|held| held.fencing_number)
    }

    /// Returns the term if the lease is currently held.
    pub fn held(&self) -> Option<HeldTerm> {
        let now = self.clock.now();
        let held = *self.held.borrow();
        held.filter(|held| now < held.valid_until)
    }
}

/// Task that acquires, renews and releases the lease; clones share the published state.
///
/// Each run of a clone starts by reading the lease object from the store.
#[derive(Debug, Clone)]
pub struct LeaseTask {
    core: LeaseCore,
    settings: LeaseSettings,
    store: StoreClient,
    context: SupervisorContext,
    held: Arc<watch::Sender<Option<HeldTerm>>>,
    state: Arc<watch::Sender<StewardState>>,
}

impl LeaseTask {
    /// Creates the task of a process that is a candidate for the lease.
    pub fn new(
        settings: LeaseSettings,
        holder: LeaseHolder,
        store: StoreClient,
        context: SupervisorContext,
    ) -> Self {
        Self {
            core: LeaseCore::new(settings, holder),
            settings,
            store,
            context,
            held: Arc::new(watch::Sender::new(None)),
            state: Arc::new(watch::Sender::new(StewardState::Candidate)),
        }
    }

    /// Returns a view of the lease for tasks that act under it.
    pub fn lease(&self) -> LeaseView {
        LeaseView {
            held: self.held.subscribe(),
            clock: self.context.clock.clone(),
        }
    }

    /// Returns a receiver of state changes.
    pub fn state(&self) -> watch::Receiver<StewardState> {
        self.state.subscribe()
    }

    /// Runs until `stop` is raised, then releases the lease.
    pub async fn run(mut self, stop: StopSignal) {
        while !stop.is_raised() {
            self.run_step(stop.clone().raised()).await;
        }
        self.core.release(self.now());
        while !self.core.is_released() {
            self.run_step(std::future::pending()).await;
        }
    }

    /// Makes the call that is due, or waits until one is due or `interrupt` completes.
    async fn run_step(&mut self, interrupt: impl Future<Output = ()>) {
        self.publish();
        let now = self.now();
        match self.core.next_action(now) {
            Some(LeaseAction::Read) => self.read().await,
            Some(LeaseAction::Write {
                expected_version,
                record,
            }) => self.write(expected_version, &record).await,
            None => tokio::select! {
                () = self.sleep() => {}
                () = interrupt => {}
            },
        }
        self.publish();
    }

    async fn sleep(&self) {
        let now = self.now();
        let until_expiry = self.core.held(now).map(|held| held.valid_until - now);
        let wait = self.core.time_until_next_action(now);
        tokio::time::sleep(until_expiry.map_or(wait, |remaining| remaining.min(wait))).await;
    }

    async fn read(&mut self) {
        let object = self.store.get(Kind::Lease, LEASE_OBJECT_NAME).await;
        let object = object.ok().map(LeaseObject::from);
        self.core.read_completed(self.now(), object);
    }

    async fn write(&mut self, expected_version: ObjectVersion, record: &LeaseRecord) {
        let value = serde_json::to_string(record).unwrap_or_default();
        let put = self
            .store
            .put(Kind::Lease, LEASE_OBJECT_NAME, expected_version, &value);
        let outcome = tokio::time::timeout(self.settings.renewal_interval, put).await;
        let outcome = match outcome {
            Ok(Ok(PutOutcome::Applied(version))) => LeaseWriteOutcome::Applied(version),
            Ok(Ok(PutOutcome::Conflict(object))) => LeaseWriteOutcome::Conflict(object.into()),
            Ok(Ok(PutOutcome::NotApplied)) => LeaseWriteOutcome::NotApplied,
            Ok(Ok(PutOutcome::Unknown) | Err(_)) | Err(_) => LeaseWriteOutcome::Unknown,
        };
        self.core.write_completed(self.now(), outcome);
    }

    fn now(&self) -> Instant {
        self.context.clock.now()
    }

    /// Publishes the held term, and counts and logs state changes.
    fn publish(&self) {
        let held = self.core.held(self.now());
        self.held.send_replace(held);
        let previous = *self.state.borrow();
        let state = previous.transition(
            held.map(|held| held.fencing_number),
            self.core.is_releasing(),
        );
        if state == previous {
            return;
        }
        self.state.send_replace(state);
        let number = state.fencing_number();
        self.context.metrics.record_event(lease_event(state));
        info!(self.context.log, "lease"; "state" => state.name(), "fencing_number" => number);
    }
}

fn lease_event(state: StewardState) -> Event {
    match state {
        StewardState::Holding(_) => Event::LeaseAcquired,
        StewardState::Candidate => Event::LeaseLost,
        StewardState::Released(_) => Event::LeaseReleased,
    }
}

//! Task that executes the actions of the membership state machine.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::task::JoinSet;

use super::action::{Action, PeerMessage, PeerReply, StoreAction};
use super::handle::Membership;
use super::record::{RecordObject, RecordWriteOutcome, VmRecord};
use crate::clock::Instant;
use crate::ids::ObjectVersion;
use crate::platform::{Kind, Listing, PutOutcome, StoreClient};
use crate::supervisor::StopSignal;
use crate::telemetry::{Event, Metrics};

/// Longest time between two polls of the state machine.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of a call to another VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Client for calls to other VMs.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// Sends a message and returns its reply, or `None` if none arrived within `timeout`.
    fn call(
        &self,
        to: SocketAddr,
        message: PeerMessage,
        timeout: Duration,
    ) -> impl Future<Output = Option<PeerReply>> + Send;
}

/// Task that maintains this VM's lease and member list; clones share their state.
#[derive(Debug, Clone)]
pub struct MembershipTask<P> {
    /// Membership state.
    pub membership: Membership,
    /// Client of the store that holds the records.
    pub store: StoreClient,
    /// Client for calls to other VMs.
    pub peer_client: P,
    /// Metrics that count state changes.
    pub metrics: Metrics,
    /// Log of state changes.
    pub log: Logger,
    /// Time limit for writing a record; also for fencing the own record at the end.
    pub write_timeout: Duration,
}

/// State that was last counted and logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ReportedState {
    is_valid: bool,
    is_isolated: bool,
    fence_count: u64,
}

impl<P: PeerClient> MembershipTask<P> {
    /// Runs until `stop` is raised, then fences this VM's own record.
    pub async fn run(self, document_version: impl Fn() -> ObjectVersion, stop: StopSignal) {
        let task = Arc::new(self);
        let mut calls = JoinSet::new();
        let mut reported = ReportedState::default();
        task.membership
            .update_without_notify(|core, now| core.abandon_calls(now));
        while !stop.is_raised() {
            let version = document_version();
            task.membership
                .update_without_notify(|core, _| core.set_document_version(version));
            task.start_calls(&mut calls);
            task.report_changes(&mut reported);
            tokio::select! {
                Some(_) = calls.join_next() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = stop.clone().raised() => {}
            }
        }
        let release = task.release(&mut calls);
        // If this times out, other VMs fence the record once its lease has expired.
        let _ = tokio::time::timeout(task.write_timeout, release).await;
    }

    async fn release(self: &Arc<Self>, calls: &mut JoinSet<()>) {
        self.membership.update(|core, now| core.release(now));
        while !self.is_released() {
            self.start_calls(calls);
            tokio::select! {
                Some(_) = calls.join_next() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    fn is_released(&self) -> bool {
        self.membership
            .update_without_notify(|core, _| core.lease().is_released())
    }

    fn start_calls(self: &Arc<Self>, calls: &mut JoinSet<()>) {
        let (actions, sent_at) = self
            .membership
            .update_without_notify(|core, now| (core.poll(now), now));
        for action in actions {
            let task = self.clone();
            calls.spawn(async move { task.execute(sent_at, action).await });
        }
    }

    async fn execute(&self, sent_at: Instant, action: Action) {
        match action {
            Action::Store(StoreAction::Read(vm)) => {
                let object = self.store.get(Kind::Vm, &vm).await;
                let object = object.ok().map(RecordObject::from);
                self.membership
                    .update(|core, now| core.record_read(now, sent_at, &vm, object));
            }
            Action::Store(StoreAction::Write {
                expected_version,
                record,
            }) => {
                let outcome = self.write(expected_version, &record).await;
                self.membership
                    .update(|core, now| core.record_written(now, sent_at, &record, outcome));
            }
            Action::Store(StoreAction::ListRecords) => {
                let records = self.store.list(Kind::Vm).await.ok().map(records);
                self.membership
                    .update(|core, now| core.records_listed(now, sent_at, records));
            }
            Action::Store(StoreAction::ListVms) => {
                let rows = self.store.list_vms().await.ok();
                self.membership
                    .update(|core, _| core.vms_listed(sent_at, rows));
            }
            Action::Call { to, message } => self.call(sent_at, to, message).await,
        }
    }

    async fn call(&self, sent_at: Instant, to: SocketAddr, message: PeerMessage) {
        let call = self.peer_client.call(to, message.clone(), CALL_TIMEOUT);
        let reply = tokio::time::timeout(CALL_TIMEOUT, call).await;
        self.membership.update(|core, now| {
            core.reply_received(now, sent_at, to, &message, reply.ok().flatten());
        });
    }

    async fn write(
        &self,
        expected_version: ObjectVersion,
        record: &VmRecord,
    ) -> RecordWriteOutcome {
        let value = serde_json::to_string(record).unwrap_or_default();
        let put = self
            .store
            .put(Kind::Vm, &record.vm, expected_version, &value);
        match tokio::time::timeout(self.write_timeout, put).await {
            Ok(Ok(PutOutcome::Applied(version))) => RecordWriteOutcome::Applied(version),
            Ok(Ok(PutOutcome::Conflict(object))) => RecordWriteOutcome::Conflict(object.into()),
            Ok(Ok(PutOutcome::NotApplied)) => RecordWriteOutcome::NotApplied,
            Ok(Ok(PutOutcome::Unknown) | Err(_)) | Err(_) => RecordWriteOutcome::Unknown,
        }
    }

    /// Counts and logs state changes since the last report.
    fn report_changes(&self, reported: &mut ReportedState) {
        let current = self
            .membership
            .update_without_notify(|core, now| ReportedState {
                is_valid: core.lease().valid_until().is_some_and(|until| now < until),
                is_isolated: core.is_isolated(now),
                fence_count: core.lease().fence_count(),
            });
        let changes = [
            (
                !reported.is_valid && current.is_valid,
                Event::MembershipAcquired,
            ),
            (
                reported.is_valid && !current.is_valid,
                Event::MembershipLapsed,
            ),
            (
                reported.fence_count < current.fence_count,
                Event::MembershipFenced,
            ),
            (
                !reported.is_isolated && current.is_isolated,
                Event::Isolated,
            ),
            (
                reported.is_isolated && !current.is_isolated,
                Event::IsolationEnded,
            ),
        ];
        for (_, event) in changes
            .into_iter()
            .filter(|(has_happened, _)| *has_happened)
        {
            self.metrics.record_event(event);
            info!(self.log, "membership"; "state" => event.label());
        }
        *reported = current;
    }
}

fn records(listing: Listing) -> Vec<RecordObject> {
    let items = listing.items.into_iter();
    items.map(|object| Some(object).into()).collect()
}

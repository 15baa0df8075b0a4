//! Watching of the store, directly or through a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::event_log::LogEvent;
use super::mirror_updates::TargetTimes;
use super::pending_call::{PendingCall, observe};
use super::placement::older_weights_cutoff;
use super::platform_api::{StoreCallFailure, TrackedKind};
use super::state::Gateway;
use super::store_relay::RelayClient;
use super::watch_schedule::{WatchPurpose, earliest_change, watch_wait};
use crate::clock::Instant;
use crate::ids::{ObjectVersion, VmId};

/// Fraction of the time limit for leaving upstreams for which further changes are collected before
/// the next watch, so that one call returns several of them.
const UPSTREAM_BATCH_FRACTION: f64 = 0.1;
/// Maximum time for which a starting VM waits for a relay before it lists the objects of the store
/// itself, per VM of the fleet: a small fleet can list at once without many calls. VMs with more
/// processor time wait less, as they are likely to become relays.
const FIRST_RELAY_TIMEOUT_PER_VM: Duration = Duration::from_millis(5);
/// Limit of the time that follows from the number of VMs.
const FIRST_RELAY_TIMEOUT_MAX: Duration = Duration::from_millis(1_000);
/// Maximum time for which a starting VM waits for the list of VMs, which shows the size of the
/// fleet.
const FIRST_MEMBER_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two checks for a relay at the start.
const FIRST_RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Base of the exponential delay after failed calls.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Maximum delay after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1_500);
/// Time after a failure of the store relay in which this VM watches the store itself.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between two checks whether the store relay has changed.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Keeps this VM's mirror of one kind of object up to date until dropped.
pub(super) async fn watch_kind(gateway: Arc<Gateway>, tracked: TrackedKind) {
    let mut watcher = StoreWatcher::default();
    let mut relay_after = Instant::ZERO;
    let mut client: Option<RelayClient> = None;
    if let Some((vm, address)) = gateway.first_relay().await {
        match gateway.catch_up_from(tracked, &vm, address, 0).await {
            Ok(()) => watcher.is_listed = true,
            Err(reason) => gateway.event_log.log(&LogEvent::PeerReadFailed {
                tracked,
                peer: &vm,
                reason,
            }),
        }
    }
    loop {
        let now = gateway.now();
        let relay = gateway.relay(now).filter(|_| now >= relay_after);
        let has_changes = match relay {
            Some((vm, address)) if watcher.is_listed => {
                // The connection is kept while the relay stays the same.
                let kept = client.take().filter(|client| client.address() == address);
                let mut current = kept.unwrap_or_else(|| RelayClient::new(address));
                let result = watch_through_relay(&gateway, tracked, &vm, &mut current).await;
                match result {
                    Some(_) => client = Some(current),
                    None => relay_after = gateway.now() + RELAY_RETRY_DELAY,
                }
                result.unwrap_or(false)
            }
            _ => watcher.call_store(&gateway, tracked).await,
        };
        if has_changes && tracked == TrackedKind::Upstreams {
            let drain_timeout = gateway.settings.bounds.drain_timeout;
            tokio::time::sleep(drain_timeout.mul_f64(UPSTREAM_BATCH_FRACTION)).await;
        }
    }
}

/// Waits for changes at the store relay.
///
/// Returns whether there are any, or `None` if the call failed.
async fn watch_through_relay(
    gateway: &Arc<Gateway>,
    tracked: TrackedKind,
    vm: &str,
    client: &mut RelayClient,
) -> Option<bool> {
    gateway.state().directly_watched.remove(&tracked);
    let after = gateway.mirror_revision(tracked);
    let address = client.address();
    let answer = async {
        tokio::select! {
            answer = client.watch(tracked, after) => answer,
            () = gateway.relay_changed(address) => {
                Err("the store relay of this VM has changed".into())
            }
        }
    };
    let (answer, call) = observe(&gateway.clock, answer).await;
    match answer {
        // The store was restored, or the relay has forgotten the changes. Its listing spares the
        // store a call of each VM.
        Ok(None) => {
            let listed = gateway.list_from_peer(tracked, vm, client).await;
            if let Err(reason) = &listed {
                let reason = reason.clone();
                gateway.event_log.log(&LogEvent::PeerReadFailed {
                    tracked,
                    peer: vm,
                    reason,
                });
            }
            listed.is_ok().then_some(true)
        }
        Ok(Some(answer)) => {
            let answer = answer.received_at(call.pending_until());
            let batch = answer.content;
            let has_changes = !batch.changes.is_empty();
            // The relay receives responses from the store, so the store counts as reachable.
            gateway.record_source_answer(tracked, answer.confirmed_at);
            gateway.apply_changes(tracked, batch.changes, batch.revision, &answer.target_times);
            Some(has_changes)
        }
        Err(reason) => {
            let event = LogEvent::PeerReadFailed {
                tracked,
                peer: vm,
                reason,
            };
            gateway.event_log.log(&event);
            None
        }
    }
}

/// State of watching one kind at the store itself.
#[derive(Debug, Default)]
struct StoreWatcher {
    is_listed: bool,
    failures: u32,
    unreachable_since: Option<Instant>,
}

impl StoreWatcher {
    /// Makes one list or watch call to the store; returns whether it returned changes.
    async fn call_store(&mut self, gateway: &Arc<Gateway>, tracked: TrackedKind) -> bool {
        let revision = gateway.mirror_revision(tracked);
        let started = gateway.now();
        let is_listing = !self.is_listed || revision == 0;
        let call = if is_listing { "list" } else { "watch" };
        let result = match is_listing {
            true => gateway.list(tracked).await,
            false => gateway.watch(tracked, revision, self.failures > 0).await,
        };
        gateway.observe_store_era(gateway.platform.store.era());
        let time = gateway.now().saturating_sub(started);
        gateway
            .metrics
            .record_store_call(tracked, call, result.is_ok(), time);
        match result {
            Ok(has_changes) => {
                self.record_success(gateway, tracked);
                has_changes
            }
            Err(StoreCallFailure::HistoryGone) => {
                gateway
                    .event_log
                    .log(&LogEvent::HistoryGone { tracked, revision });
                self.is_listed = false;
                false
            }
            Err(failure) => {
                self.record_failure(gateway, tracked, &failure).await;
                false
            }
        }
    }

    fn record_success(&mut self, gateway: &Gateway, tracked: TrackedKind) {
        self.is_listed = true;
        self.failures = 0;
        gateway.state().directly_watched.insert(tracked);
        if let Some(at) = self.unreachable_since.take() {
            let away_ms = gateway.now().saturating_sub(at).as_millis() as u64;
            gateway
                .event_log
                .log(&LogEvent::StoreBack { tracked, away_ms });
        }
    }

    async fn record_failure(
        &mut self,
        gateway: &Gateway,
        tracked: TrackedKind,
        failure: &StoreCallFailure,
    ) {
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(gateway.now());
            let reason = failure.to_string();
            gateway
                .event_log
                .log(&LogEvent::StoreLost { tracked, reason });
        }
        gateway.record_store_failure(tracked);
        gateway.catch_up_due.notify_one();
        self.failures += 1;
        tokio::time::sleep(retry_delay(self.failures)).await;
    }
}

/// Returns a delay that doubles with each failure, with jitter so that VMs do not call in lockstep.
fn retry_delay(failures: u32) -> Duration {
    let bound = (RETRY_DELAY_MIN * 2_u32.pow(failures.min(5))).min(RETRY_DELAY_MAX);
    rand::rng().random_range(bound / 2..=bound)
}

impl Gateway {
    /// Returns the VM through which this one watches the store, or `None` if it watches directly.
    fn relay(&self, now: Instant) -> Option<(VmId, SocketAddr)> {
        let state = self.state();
        let peer = state.peers.store_relay(now)?;
        Some((peer.heartbeat.vm.clone(), peer.heartbeat.address))
    }

    /// Waits for a store relay at the start; returns `None` if none appears in time.
    async fn first_relay(&self) -> Option<(VmId, SocketAddr)> {
        // Squared, as the VMs that become relays have to list before the others give up.
        let idle_share = (1.0 - self.settings.cpu_share).clamp(0.0, 1.0).powi(2);
        let fraction = idle_share * rand::rng().random_range(0.5..=1.0);
        let started = self.now();
        loop {
            let relay = self.relay(self.now());
            let (vms, is_member_list_read) = {
                let state = self.state();
                (state.fleet_size() as u32, state.is_member_list_read)
            };
            let timeout = (FIRST_RELAY_TIMEOUT_PER_VM * vms).min(FIRST_RELAY_TIMEOUT_MAX);
            let timeout = match is_member_list_read {
                true => timeout.mul_f64(fraction),
                false => FIRST_MEMBER_LIST_TIMEOUT,
            };
            if relay.is_some() || self.now() >= started + timeout {
                return relay;
            }
            tokio::time::sleep(FIRST_RELAY_CHECK_INTERVAL).await;
        }
    }

    /// Completes once the store relay of this VM is no longer the VM at `address`.
    async fn relay_changed(&self, address: SocketAddr) {
        loop {
            tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
            let now = self.now();
            if self
                .relay(now)
                .is_none_or(|(_, current)| current != address)
            {
                return;
            }
        }
    }

    async fn list(&self, tracked: TrackedKind) -> Result<bool, StoreCallFailure> {
        let call = PendingCall::start(self.now());
        let listing = self.platform.store.list(tracked).await?;
        let set_at = self.record_store_answer(tracked, &call);
        self.apply_listing(tracked, listing, &TargetTimes::all_at(set_at));
        Ok(true)
    }

    async fn watch(
        &self,
        tracked: TrackedKind,
        revision: ObjectVersion,
        is_probe: bool,
    ) -> Result<bool, StoreCallFailure> {
        let wait = self.watch_wait(is_probe);
        let watch = self.platform.store.watch(tracked, revision, wait);
        let (batch, call) = observe(&self.clock, watch).await;
        let batch = batch?;
        let has_changes = !batch.changes.is_empty();
        let set_at = self.record_store_answer(tracked, &call);
        let target_times = TargetTimes::all_at(set_at);
        self.apply_changes(tracked, batch.changes, batch.revision, &target_times);
        Ok(has_changes)
    }

    /// Returns how long a watch may wait.
    fn watch_wait(&self, is_probe: bool) -> Duration {
        let now = self.now();
        let purpose = match is_probe {
            true => WatchPurpose::Probe,
            false => self.state().peers.watch_purpose(now),
        };
        let limits = watch_wait(purpose, self.settings.bounds.contact_timeout);
        rand::rng().random_range(limits)
    }

    /// Returns the age that is assumed for target weights that may be older.
    ///
    /// Engines with older weights then receive requests for half of the time after which this VM
    /// counts as connected; the rest is for calls to the store and the wait at the engine.
    fn target_age_max(&self) -> Duration {
        let bounds = &self.settings.bounds;
        older_weights_cutoff(bounds.weights_timeout).saturating_sub(bounds.contact_timeout / 2)
    }

    /// Records a response of the store; returns the earliest time at which a change in it may have
    /// been made.
    fn record_store_answer(&self, tracked: TrackedKind, call: &PendingCall) -> Instant {
        let confirmed_at = self.record_source_answer(tracked, call.pending_until());
        earliest_change(call, confirmed_at, self.target_age_max(), self.now())
    }

    /// Records that the store responded, directly or to the relay at `confirmed_at`; returns the
    /// previous such time.
    fn record_source_answer(&self, tracked: TrackedKind, confirmed_at: Instant) -> Option<Instant> {
        let now = self.now();
        let mut state = self.state();
        if tracked == TrackedKind::Upstreams {
            state.upstreams.record_store_back(now);
        }
        state.confirmed_at.insert(tracked, confirmed_at)
    }

    fn record_store_failure(&self, tracked: TrackedKind) {
        let mut state = self.state();
        state.directly_watched.remove(&tracked);
        if tracked == TrackedKind::Upstreams {
            state.upstreams.record_store_lost();
        }
    }
}

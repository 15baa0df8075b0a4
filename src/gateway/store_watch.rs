//! Watching of the store, directly or through a peer, and catching up from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::event_log::LogEvent;
use super::object_mirror::ObjectMirror;
use super::platform_api::{Listing, ObjectChange, ObjectRecord, StoreCallFailure, TrackedKind};
use super::state::Gateway;
use super::store_relay;
use super::table::RoutingTable;
use crate::clock::Instant;
use crate::ids::{ObjectVersion, VmId};

/// Maximum wait of a watch of a VM that receives no heartbeats from other zones. If the connection
/// was cut silently, the missing response reveals it within the three seconds after which a VM
/// counts as connected again.
///
/// Zones that receive each other's heartbeats share the load: each waits longer, for a random time,
/// and the first one to see a change announces the new revision to the others.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay after changes of upstreams, so that one call returns several of them.
const UPSTREAM_BATCH_DELAY: Duration = Duration::from_millis(200);
/// Base of the exponential delay after failed calls.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Maximum delay after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1_500);
/// Time in which a watch may return the changes that a peer has seen before they are read from the
/// peer.
const CATCH_UP_DELAY: Duration = Duration::from_millis(400);
/// Time after a failure of the store relay in which this VM watches the store itself.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between two checks whether the store relay has changed.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Keeps this VM's mirror of one kind of object up to date until dropped.
pub(super) async fn watch_kind(gateway: Arc<Gateway>, tracked: TrackedKind) {
    let mut watcher = StoreWatcher::default();
    let mut relay_after = Instant::ZERO;
    loop {
        let now = gateway.now();
        let relay = gateway.relay(now).filter(|_| now >= relay_after);
        let has_changes = match relay {
            Some((vm, address)) if watcher.is_listed => {
                let result = watch_through_relay(&gateway, tracked, &vm, address).await;
                if result.is_none() {
                    relay_after = gateway.now() + RELAY_RETRY_DELAY;
                }
                result.unwrap_or(false)
            }
            _ => watcher.call_store(&gateway, tracked).await,
        };
        if has_changes && tracked == TrackedKind::Upstreams {
            tokio::time::sleep(UPSTREAM_BATCH_DELAY).await;
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
    address: SocketAddr,
) -> Option<bool> {
    gateway.state().directly_watched.remove(&tracked);
    let after = gateway.mirror_revision(tracked);
    let batch = tokio::select! {
        batch = store_relay::watch(address, tracked, after) => batch,
        () = gateway.relay_changed(address) => Err("the store relay of this VM has changed".into()),
    };
    match batch {
        Ok(batch) => {
            let has_changes = !batch.changes.is_empty();
            // The relay receives responses from the store, so the store counts as reachable.
            gateway.record_store_answer(tracked);
            gateway.apply_changes(tracked, batch.changes, batch.revision);
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
            false => gateway.watch(tracked, revision).await,
        };
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

/// Reads newer objects from peers whenever a peer is ahead of this VM, until dropped.
pub(super) async fn catch_up(gateway: Arc<Gateway>) {
    loop {
        gateway.catch_up_due.notified().await;
        tokio::time::sleep(CATCH_UP_DELAY).await;
        for tracked in TrackedKind::ALL {
            let Some((vm, address)) = gateway.newer_peer(tracked) else {
                continue;
            };
            let read = store_relay::read_listing(address, tracked).await;
            match read {
                Ok(listing) => {
                    let revision = listing.revision;
                    let event = LogEvent::TakenFromPeer {
                        tracked,
                        peer: &vm,
                        revision,
                    };
                    gateway.event_log.log(&event);
                    gateway.apply_listing(tracked, listing);
                }
                Err(reason) => {
                    let event = LogEvent::PeerReadFailed {
                        tracked,
                        peer: &vm,
                        reason,
                    };
                    gateway.event_log.log(&event);
                }
            }
        }
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
        let listing = self.platform.store.list(tracked).await?;
        self.record_store_answer(tracked);
        self.apply_listing(tracked, listing);
        Ok(true)
    }

    async fn watch(
        &self,
        tracked: TrackedKind,
        revision: ObjectVersion,
    ) -> Result<bool, StoreCallFailure> {
        let batch = self
            .platform
            .store
            .watch(tracked, revision, self.watch_timeout())
            .await?;
        let has_changes = !batch.changes.is_empty();
        self.record_store_answer(tracked);
        self.apply_changes(tracked, batch.changes, batch.revision);
        Ok(has_changes)
    }

    /// Returns how long a watch may wait, with jitter so that watches of several zones do not end
    /// together.
    fn watch_timeout(&self) -> Duration {
        let now = self.now();
        let zones = self.state().peers.fresh_zones(now) as u32;
        let longest = WATCH_TIMEOUT * (1 + zones);
        rand::rng().random_range((longest / 2).max(WATCH_TIMEOUT)..=longest)
    }

    fn mirror_revision(&self, tracked: TrackedKind) -> ObjectVersion {
        self.state()
            .mirrors
            .get(&tracked)
            .map_or(0, ObjectMirror::revision)
    }

    /// Returns all objects of a kind that this VM has seen, or `None` before the first listing.
    pub(super) fn listing(&self, tracked: TrackedKind) -> Option<Listing> {
        self.state().mirrors.get(&tracked)?.listing()
    }

    fn record_store_answer(&self, tracked: TrackedKind) {
        let now = self.now();
        if tracked == TrackedKind::Upstreams {
            self.state().upstreams.record_store_back(now);
        }
    }

    fn record_store_failure(&self, tracked: TrackedKind) {
        let mut state = self.state();
        state.directly_watched.remove(&tracked);
        if tracked == TrackedKind::Upstreams {
            state.upstreams.record_store_lost();
        }
    }

    /// Returns the peer with the highest revision of a kind, if it is higher than this VM's.
    fn newer_peer(&self, tracked: TrackedKind) -> Option<(String, SocketAddr)> {
        let now = self.now();
        let config = self.table().map_or(0, |table| table.version);
        let state = self.state();
        let seen = match tracked {
            TrackedKind::Config => config,
            TrackedKind::Upstreams | TrackedKind::Weights => state
                .mirrors
                .get(&tracked)
                .map_or(0, ObjectMirror::revision),
        };
        let ahead = state.peers.fresh_peers(now).map(|peer| {
            let revisions = peer.heartbeat.revisions;
            let revision = match tracked {
                TrackedKind::Config => revisions.config,
                TrackedKind::Upstreams => revisions.upstreams,
                TrackedKind::Weights => revisions.weights,
            };
            (revision, peer)
        });
        let (revision, peer) = ahead.max_by_key(|(revision, _)| *revision)?;
        (revision > seen).then(|| (peer.heartbeat.vm.clone(), peer.heartbeat.address))
    }

    /// Replaces all objects of a kind, unless newer changes were seen.
    pub(super) fn apply_listing(&self, tracked: TrackedKind, listing: Listing) {
        let revision = listing.revision;
        let new_changes = self
            .state()
            .mirrors
            .entry(tracked)
            .or_default()
            .replace(listing);
        self.apply_new_changes(tracked, new_changes, revision);
    }

    /// Applies changes received from the store or from a peer.
    pub(super) fn apply_changes(
        &self,
        tracked: TrackedKind,
        changes: Vec<ObjectChange>,
        revision: ObjectVersion,
    ) {
        let new_changes = self
            .state()
            .mirrors
            .entry(tracked)
            .or_default()
            .apply(changes, revision);
        self.apply_new_changes(tracked, new_changes, revision);
    }

    fn apply_new_changes(
        &self,
        tracked: TrackedKind,
        new_changes: Vec<ObjectChange>,
        revision: ObjectVersion,
    ) {
        let now = self.now();
        let has_changes = !new_changes.is_empty();
        for change in new_changes {
            self.apply_change(tracked, change, revision, now);
        }
        if has_changes {
            self.mirror_changed.notify_waiters();
        }
    }

    fn apply_change(
        &self,
        tracked: TrackedKind,
        change: ObjectChange,
        revision: ObjectVersion,
        now: Instant,
    ) {
        let name = &change.name;
        match change.record {
            Some(ObjectRecord::Config(config)) => self.set_table(RoutingTable::new(&config)),
            Some(ObjectRecord::Upstream(entry)) => {
                self.event_log.log(&LogEvent::UpstreamListed {
                    upstream: name,
                    service: &entry.service,
                    is_ready: entry.stage == super::model::UpstreamStage::Ready,
                    revision,
                });
                self.state().upstreams.apply(name, Some(entry), now);
            }
            Some(ObjectRecord::Weights(target)) => {
                let (model, weights) = (&target.model, target.weights);
                self.event_log.log(&LogEvent::WeightsNamed {
                    model,
                    weights,
                    revision,
                });
                let mut state = self.state();
                let history = state
                    .weight_histories
                    .entry(target.model.clone())
                    .or_default();
                history.record(weights, now);
                drop(state);
                self.target_weights_changed.notify_one();
            }
            Some(ObjectRecord::Unusable(reason)) => {
                self.event_log.log(&LogEvent::ObjectUnusable {
                    tracked,
                    name,
                    reason: &reason,
                });
                if tracked == TrackedKind::Upstreams {
                    self.state().upstreams.apply(name, None, now);
                }
            }
            None if tracked == TrackedKind::Upstreams => {
                self.event_log.log(&LogEvent::UpstreamGone {
                    upstream: name,
                    revision,
                });
                self.state().upstreams.apply(name, None, now);
            }
            None => {}
        }
    }
}

//! Follows the store by watches, and peers where the store does not answer this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::event_log::LogEvent;
use super::mirror::Mirror;
use super::platform_api::{Listing, ObjectChange, ObjectRecord, StoreCallFailure, TrackedKind};
use super::state::Gateway;
use super::store_relay;
use super::table::RoutingTable;
use crate::clock::Instant;
use crate::ids::{ObjectVersion, VmId};

/// Longest wait of a watch of a VM that hears no other zone. One that was cut off without a word is
/// noticed by its missing answer, within the three seconds after which a VM counts as in touch again.
///
/// Zones that hear each other share the watching: each waits longer, at times drawn apart, and the
/// first one to notice tells the others.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after changes among upstreams, so that several come with one call.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(200);
/// First pause after a failed call, and the longest one.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(1_500);
/// Time that a watch has to bring what a peer has seen before it is read from the peer.
const PEER_GRACE: Duration = Duration::from_millis(400);
/// Time after a relay's failure in which this VM follows the store itself.
const RELAY_PAUSE: Duration = Duration::from_millis(1_500);
/// Time between two looks at whether the relay still follows the store.
const RELAY_CHECK: Duration = Duration::from_millis(300);

/// Keeps this VM's view of one kind of object up to date until dropped.
pub(super) async fn follow(gateway: Arc<Gateway>, tracked: TrackedKind) {
    let mut source = StoreSource::default();
    let mut relay_after = Instant::ZERO;
    loop {
        let now = gateway.now();
        let relay = gateway.relay(now).filter(|_| now >= relay_after);
        let is_news = match relay {
            Some((vm, address)) if source.is_listed => {
                let found = from_relay(&gateway, tracked, &vm, address).await;
                if found.is_none() {
                    relay_after = gateway.now() + RELAY_PAUSE;
                }
                found.unwrap_or(false)
            }
            _ => source.step(&gateway, tracked).await,
        };
        if is_news && tracked == TrackedKind::Upstreams {
            tokio::time::sleep(UPSTREAMS_PAUSE).await;
        }
    }
}

/// Waits for changes at another VM; returns whether there are any, or nothing where it failed.
async fn from_relay(
    gateway: &Arc<Gateway>,
    tracked: TrackedKind,
    vm: &str,
    address: SocketAddr,
) -> Option<bool> {
    gateway.state().following.remove(&tracked);
    let after = gateway.mirror_revision(tracked);
    let found = tokio::select! {
        found = store_relay::watch(address, tracked, after) => found,
        () = gateway.relay_lost(address) => Err("it no longer follows the store".into()),
    };
    match found {
        Ok(found) => {
            let is_news = !found.changes.is_empty();
            // The relay follows the store, so that the store answers this VM as well.
            gateway.store_answered(tracked);
            gateway.take_changes(tracked, found.changes, found.revision);
            Some(is_news)
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

/// Following of the store itself.
#[derive(Debug, Default)]
struct StoreSource {
    is_listed: bool,
    failures: u32,
    lost_at: Option<Instant>,
}

impl StoreSource {
    /// Makes one call to the store; returns whether it brought changes.
    async fn step(&mut self, gateway: &Arc<Gateway>, tracked: TrackedKind) -> bool {
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
            .store_call(tracked, call, result.is_ok(), time);
        match result {
            Ok(is_news) => {
                self.answered(gateway, tracked);
                is_news
            }
            Err(StoreCallFailure::HistoryGone) => {
                gateway
                    .event_log
                    .log(&LogEvent::HistoryGone { tracked, revision });
                self.is_listed = false;
                false
            }
            Err(failure) => {
                self.failed(gateway, tracked, &failure).await;
                false
            }
        }
    }

    fn answered(&mut self, gateway: &Gateway, tracked: TrackedKind) {
        self.is_listed = true;
        self.failures = 0;
        gateway.state().following.insert(tracked);
        if let Some(at) = self.lost_at.take() {
            let away_ms = gateway.now().saturating_sub(at).as_millis() as u64;
            gateway
                .event_log
                .log(&LogEvent::StoreBack { tracked, away_ms });
        }
    }

    async fn failed(
        &mut self,
        gateway: &Gateway,
        tracked: TrackedKind,
        failure: &StoreCallFailure,
    ) {
        if self.lost_at.is_none() {
            self.lost_at = Some(gateway.now());
            let reason = failure.to_string();
            gateway
                .event_log
                .log(&LogEvent::StoreLost { tracked, reason });
        }
        gateway.store_failed(tracked);
        gateway.catch_up_due.notify_one();
        self.failures += 1;
        tokio::time::sleep(pause(self.failures)).await;
    }
}

/// Reads from peers what they have seen and this VM has not, until dropped.
pub(super) async fn catch_up(gateway: Arc<Gateway>) {
    loop {
        gateway.catch_up_due.notified().await;
        tokio::time::sleep(PEER_GRACE).await;
        for tracked in TrackedKind::ALL {
            let Some((vm, address)) = gateway.peer_ahead(tracked) else {
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
                    gateway.take_listing(tracked, listing);
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

/// Returns a pause that doubles with each failure, drawn so that VMs do not call together.
fn pause(failures: u32) -> Duration {
    let bound = (RETRY_MIN * 2_u32.pow(failures.min(5))).min(RETRY_MAX);
    rand::rng().random_range(bound / 2..=bound)
}

impl Gateway {
    /// Returns the VM through which this one follows the store; nothing where it does so itself.
    fn relay(&self, now: Instant) -> Option<(VmId, SocketAddr)> {
        let state = self.state();
        let peer = state.peers.relay(now)?;
        Some((peer.heartbeat.vm.clone(), peer.heartbeat.address))
    }

    /// Completes once this VM is to follow the store through another one, or itself.
    async fn relay_lost(&self, address: SocketAddr) {
        loop {
            tokio::time::sleep(RELAY_CHECK).await;
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
        self.store_answered(tracked);
        self.take_listing(tracked, listing);
        Ok(true)
    }

    async fn watch(
        &self,
        tracked: TrackedKind,
        revision: ObjectVersion,
    ) -> Result<bool, StoreCallFailure> {
        let found = self
            .platform
            .store
            .watch(tracked, revision, self.watch_wait())
            .await?;
        let is_news = !found.changes.is_empty();
        self.store_answered(tracked);
        self.take_changes(tracked, found.changes, found.revision);
        Ok(is_news)
    }

    /// Returns how long a watch may wait, drawn so that those of several zones end apart.
    fn watch_wait(&self) -> Duration {
        let now = self.now();
        let zones = self.state().peers.fresh_zones(now) as u32;
        let longest = WATCH_WAIT * (1 + zones);
        rand::rng().random_range((longest / 2).max(WATCH_WAIT)..=longest)
    }

    fn mirror_revision(&self, tracked: TrackedKind) -> ObjectVersion {
        self.state()
            .mirrors
            .get(&tracked)
            .map_or(0, Mirror::revision)
    }

    /// Returns all objects of a kind as this VM has seen them; nothing before the first listing.
    pub(super) fn listing(&self, tracked: TrackedKind) -> Option<Listing> {
        self.state().mirrors.get(&tracked)?.listing()
    }

    fn store_answered(&self, tracked: TrackedKind) {
        let now = self.now();
        if tracked == TrackedKind::Upstreams {
            self.state().fleet.store_back(now);
        }
    }

    fn store_failed(&self, tracked: TrackedKind) {
        let mut state = self.state();
        state.following.remove(&tracked);
        if tracked == TrackedKind::Upstreams {
            state.fleet.store_lost();
        }
    }

    /// Returns a peer that has seen changes of a kind that this VM has not.
    fn peer_ahead(&self, tracked: TrackedKind) -> Option<(String, SocketAddr)> {
        let now = self.now();
        let config = self.table().map_or(0, |table| table.version);
        let state = self.state();
        let seen = match tracked {
            TrackedKind::Config => config,
            TrackedKind::Upstreams | TrackedKind::Weights => {
                state.mirrors.get(&tracked).map_or(0, Mirror::revision)
            }
        };
        let ahead = state.peers.fresh(now).map(|peer| {
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

    /// Takes all objects of a kind, unless newer changes were seen.
    pub(super) fn take_listing(&self, tracked: TrackedKind, listing: Listing) {
        let revision = listing.revision;
        let news = self
            .state()
            .mirrors
            .entry(tracked)
            .or_default()
            .replace(listing);
        self.take_news(tracked, news, revision);
    }

    /// Takes changes that the store or a peer told.
    pub(super) fn take_changes(
        &self,
        tracked: TrackedKind,
        changes: Vec<ObjectChange>,
        revision: ObjectVersion,
    ) {
        let news = self
            .state()
            .mirrors
            .entry(tracked)
            .or_default()
            .apply(changes, revision);
        self.take_news(tracked, news, revision);
    }

    fn take_news(&self, tracked: TrackedKind, news: Vec<ObjectChange>, revision: ObjectVersion) {
        let now = self.now();
        let is_any = !news.is_empty();
        for change in news {
            self.take_change(tracked, change, revision, now);
        }
        if is_any {
            self.mirror_changed.notify_waiters();
        }
    }

    fn take_change(
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
                self.state().fleet.apply(name, Some(entry), now);
            }
            Some(ObjectRecord::Weights(named)) => {
                let (model, weights) = (&named.model, named.weights);
                self.event_log.log(&LogEvent::WeightsNamed {
                    model,
                    weights,
                    revision,
                });
                let mut state = self.state();
                let history = state.named_weights.entry(named.model.clone()).or_default();
                history.named(weights, now);
                drop(state);
                self.weights_named.notify_one();
            }
            Some(ObjectRecord::Unusable(reason)) => {
                self.event_log.log(&LogEvent::ObjectUnusable {
                    tracked,
                    name,
                    reason: &reason,
                });
                if tracked == TrackedKind::Upstreams {
                    self.state().fleet.apply(name, None, now);
                }
            }
            None if tracked == TrackedKind::Upstreams => {
                self.event_log.log(&LogEvent::UpstreamGone {
                    upstream: name,
                    revision,
                });
                self.state().fleet.apply(name, None, now);
            }
            None => {}
        }
    }
}

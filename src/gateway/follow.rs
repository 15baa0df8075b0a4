//! Follows the store by watches, and peers where the store does not answer this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::edge::{Change, Failure, Listing, Record, Tracked};
use super::hub::Hub;
use super::journal::Event;
use super::object_mirror::ObjectMirror;
use super::relay;
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
pub(super) async fn follow(hub: Arc<Hub>, tracked: Tracked) {
    let mut source = StoreSource::default();
    let mut relay_after = Instant::ZERO;
    loop {
        let now = hub.now();
        let relay = hub.relay(now).filter(|_| now >= relay_after);
        let is_news = match relay {
            Some((vm, address)) if source.is_listed => {
                let found = from_relay(&hub, tracked, &vm, address).await;
                if found.is_none() {
                    relay_after = hub.now() + RELAY_PAUSE;
                }
                found.unwrap_or(false)
            }
            _ => source.step(&hub, tracked).await,
        };
        if is_news && tracked == Tracked::Upstreams {
            tokio::time::sleep(UPSTREAMS_PAUSE).await;
        }
    }
}

/// Waits for changes at another VM; returns whether there are any, or nothing where it failed.
async fn from_relay(
    hub: &Arc<Hub>,
    tracked: Tracked,
    vm: &str,
    address: SocketAddr,
) -> Option<bool> {
    hub.core().following.remove(&tracked);
    let after = hub.mirror_revision(tracked);
    let found = tokio::select! {
        found = relay::watch(address, tracked, after) => found,
        () = hub.relay_lost(address) => Err("it no longer follows the store".into()),
    };
    match found {
        Ok(found) => {
            let is_news = !found.changes.is_empty();
            // The relay follows the store, so that the store answers this VM as well.
            hub.store_answered(tracked);
            hub.take_changes(tracked, found.changes, found.revision);
            Some(is_news)
        }
        Err(reason) => {
            let event = Event::PeerReadFailed {
                tracked,
                peer: vm,
                reason,
            };
            hub.journal.state(&event);
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
    async fn step(&mut self, hub: &Arc<Hub>, tracked: Tracked) -> bool {
        let revision = hub.mirror_revision(tracked);
        let started = hub.now();
        let is_listing = !self.is_listed || revision == 0;
        let call = if is_listing { "list" } else { "watch" };
        let result = match is_listing {
            true => hub.list(tracked).await,
            false => hub.watch(tracked, revision).await,
        };
        let time = hub.now().saturating_sub(started);
        hub.meters.store_call(tracked, call, result.is_ok(), time);
        match result {
            Ok(is_news) => {
                self.answered(hub, tracked);
                is_news
            }
            Err(Failure::HistoryGone) => {
                hub.journal.state(&Event::HistoryGone { tracked, revision });
                self.is_listed = false;
                false
            }
            Err(failure) => {
                self.failed(hub, tracked, &failure).await;
                false
            }
        }
    }

    fn answered(&mut self, hub: &Hub, tracked: Tracked) {
        self.is_listed = true;
        self.failures = 0;
        hub.core().following.insert(tracked);
        if let Some(at) = self.lost_at.take() {
            let away_ms = hub.now().saturating_sub(at).as_millis() as u64;
            hub.journal.state(&Event::StoreBack { tracked, away_ms });
        }
    }

    async fn failed(&mut self, hub: &Hub, tracked: Tracked, failure: &Failure) {
        if self.lost_at.is_none() {
            self.lost_at = Some(hub.now());
            let reason = failure.to_string();
            hub.journal.state(&Event::StoreLost { tracked, reason });
        }
        hub.store_failed(tracked);
        hub.peers_ahead.notify_one();
        self.failures += 1;
        tokio::time::sleep(pause(self.failures)).await;
    }
}

/// Reads from peers what they have seen and this VM has not, until dropped.
pub(super) async fn catch_up(hub: Arc<Hub>) {
    loop {
        hub.peers_ahead.notified().await;
        tokio::time::sleep(PEER_GRACE).await;
        for tracked in Tracked::ALL {
            let Some((vm, address)) = hub.peer_ahead(tracked) else {
                continue;
            };
            let read = relay::read_listing(address, tracked).await;
            match read {
                Ok(listing) => {
                    let revision = listing.revision;
                    let event = Event::TakenFromPeer {
                        tracked,
                        peer: &vm,
                        revision,
                    };
                    hub.journal.state(&event);
                    hub.take_listing(tracked, listing);
                }
                Err(reason) => {
                    let event = Event::PeerReadFailed {
                        tracked,
                        peer: &vm,
                        reason,
                    };
                    hub.journal.state(&event);
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

impl Hub {
    /// Returns the VM through which this one follows the store; nothing where it does so itself.
    fn relay(&self, now: Instant) -> Option<(VmId, SocketAddr)> {
        let core = self.core();
        let peer = core.peers.store_relay(now)?;
        Some((peer.beat.vm.clone(), peer.beat.address))
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

    async fn list(&self, tracked: Tracked) -> Result<bool, Failure> {
        let listing = self.platform.store.list(tracked).await?;
        self.store_answered(tracked);
        self.take_listing(tracked, listing);
        Ok(true)
    }

    async fn watch(&self, tracked: Tracked, revision: ObjectVersion) -> Result<bool, Failure> {
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
        let zones = self.core().peers.fresh_zones(now) as u32;
        let longest = WATCH_WAIT * (1 + zones);
        rand::rng().random_range((longest / 2).max(WATCH_WAIT)..=longest)
    }

    fn mirror_revision(&self, tracked: Tracked) -> ObjectVersion {
        self.core()
            .mirrors
            .get(&tracked)
            .map_or(0, ObjectMirror::revision)
    }

    /// Returns all objects of a kind as this VM has seen them; nothing before the first listing.
    pub(super) fn listing(&self, tracked: Tracked) -> Option<Listing> {
        self.core().mirrors.get(&tracked)?.listing()
    }

    fn store_answered(&self, tracked: Tracked) {
        let now = self.now();
        if tracked == Tracked::Upstreams {
            self.core().fleet.record_store_back(now);
        }
    }

    fn store_failed(&self, tracked: Tracked) {
        let mut core = self.core();
        core.following.remove(&tracked);
        if tracked == Tracked::Upstreams {
            core.fleet.record_store_lost();
        }
    }

    /// Returns a peer that has seen changes of a kind that this VM has not.
    fn peer_ahead(&self, tracked: Tracked) -> Option<(String, SocketAddr)> {
        let now = self.now();
        let config = self.table().map_or(0, |table| table.version);
        let core = self.core();
        let seen = match tracked {
            Tracked::Config => config,
            Tracked::Upstreams | Tracked::Weights => {
                core.mirrors.get(&tracked).map_or(0, ObjectMirror::revision)
            }
        };
        let ahead = core.peers.fresh_peers(now).map(|peer| {
            let revisions = peer.beat.revisions;
            let revision = match tracked {
                Tracked::Config => revisions.config,
                Tracked::Upstreams => revisions.upstreams,
                Tracked::Weights => revisions.weights,
            };
            (revision, peer)
        });
        let (revision, peer) = ahead.max_by_key(|(revision, _)| *revision)?;
        (revision > seen).then(|| (peer.beat.vm.clone(), peer.beat.address))
    }

    /// Takes all objects of a kind, unless newer changes were seen.
    pub(super) fn take_listing(&self, tracked: Tracked, listing: Listing) {
        let revision = listing.revision;
        let news = self
            .core()
            .mirrors
            .entry(tracked)
            .or_default()
            .replace(listing);
        self.take_news(tracked, news, revision);
    }

    /// Takes changes that the store or a peer told.
    pub(super) fn take_changes(
        &self,
        tracked: Tracked,
        changes: Vec<Change>,
        revision: ObjectVersion,
    ) {
        let news = self
            .core()
            .mirrors
            .entry(tracked)
            .or_default()
            .apply(changes, revision);
        self.take_news(tracked, news, revision);
    }

    fn take_news(&self, tracked: Tracked, news: Vec<Change>, revision: ObjectVersion) {
        let now = self.now();
        let is_any = !news.is_empty();
        for change in news {
            self.take_change(tracked, change, revision, now);
        }
        if is_any {
            self.seen.notify_waiters();
        }
    }

    fn take_change(&self, tracked: Tracked, change: Change, revision: ObjectVersion, now: Instant) {
        let name = &change.name;
        match change.record {
            Some(Record::Config(config)) => self.set_table(RoutingTable::new(&config)),
            Some(Record::Upstream(entry)) => {
                self.journal.state(&Event::UpstreamListed {
                    upstream: name,
                    service: &entry.service,
                    is_ready: entry.stage == super::model::UpstreamStage::Ready,
                    revision,
                });
                self.core().fleet.apply(name, Some(entry), now);
            }
            Some(Record::Weights(named)) => {
                let (model, weights) = (&named.model, named.weights);
                self.journal.state(&Event::WeightsNamed {
                    model,
                    weights,
                    revision,
                });
                let mut core = self.core();
                let history = core.named.entry(named.model.clone()).or_default();
                history.record(weights, now);
                drop(core);
                self.weights_named.notify_one();
            }
            Some(Record::Unusable(reason)) => {
                self.journal.state(&Event::ObjectUnusable {
                    tracked,
                    name,
                    reason: &reason,
                });
                if tracked == Tracked::Upstreams {
                    self.core().fleet.apply(name, None, now);
                }
            }
            None if tracked == Tracked::Upstreams => {
                self.journal.state(&Event::UpstreamGone {
                    upstream: name,
                    revision,
                });
                self.core().fleet.apply(name, None, now);
            }
            None => {}
        }
    }
}

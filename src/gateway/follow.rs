//! Follows the store by watches, and peers where the store does not answer this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use rand::Rng;

use super::edge::{Change, Failure, Listing, Record, Tracked};
use super::hub::Hub;
use super::journal::Event;
use super::pool::connect;
use super::server::mirror_path;
use super::table::RoutingTable;
use crate::clock::Instant;
use crate::ids::ObjectVersion;

/// Longest wait of a watch; TCP keep-alive finds a silent connection sooner.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Pause after changes among upstreams, so that several come with one call.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(200);
/// First pause after a failed call, and the longest one.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(1_500);
/// Time that a watch has to bring what a peer has seen before it is read from the peer.
const PEER_GRACE: Duration = Duration::from_millis(400);
/// Bound on a read from a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest answer of a peer.
const PEER_ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Keeps this VM's view of one kind of object up to date until dropped.
pub(super) async fn follow(hub: Arc<Hub>, tracked: Tracked) {
    let mut failures = 0_u32;
    let mut lost_at: Option<Instant> = None;
    let mut must_list = true;
    loop {
        let revision = hub.mirror_revision(tracked);
        let started = hub.now();
        let is_listing = must_list || revision == 0;
        let result = match is_listing {
            true => hub.platform.store.list(tracked).await.map(|listing| {
                hub.take_listing(tracked, listing);
                true
            }),
            false => hub
                .platform
                .store
                .watch(tracked, revision, WATCH_WAIT)
                .await
                .map(|found| {
                    let is_news = !found.changes.is_empty();
                    hub.store_answered(tracked);
                    hub.take_changes(tracked, found.changes, found.revision);
                    is_news
                }),
        };
        let call = if is_listing { "list" } else { "watch" };
        let time = hub.now().saturating_sub(started);
        hub.meters.store_call(tracked, call, result.is_ok(), time);
        match result {
            Ok(is_news) => {
                must_list = false;
                failures = 0;
                if let Some(at) = lost_at.take() {
                    let away_ms = hub.now().saturating_sub(at).as_millis() as u64;
                    hub.journal.state(&Event::StoreBack { tracked, away_ms });
                }
                if is_news && tracked == Tracked::Upstreams {
                    tokio::time::sleep(UPSTREAMS_PAUSE).await;
                }
            }
            Err(Failure::HistoryGone) => {
                hub.journal.state(&Event::HistoryGone { tracked, revision });
                must_list = true;
            }
            Err(failure) => {
                if lost_at.is_none() {
                    lost_at = Some(hub.now());
                    let reason = failure.to_string();
                    hub.journal.state(&Event::StoreLost { tracked, reason });
                }
                hub.store_failed(tracked);
                hub.peers_ahead.notify_one();
                failures += 1;
                tokio::time::sleep(pause(failures)).await;
            }
        }
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
            let read = tokio::time::timeout(PEER_TIMEOUT, read_peer(address, tracked)).await;
            let read = read.unwrap_or_else(|_| Err("no answer in time".into()));
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

async fn read_peer(address: SocketAddr, tracked: Tracked) -> Result<Listing, String> {
    let mut connection = connect(address).await.map_err(|error| error.to_string())?;
    let request = Request::get(mirror_path(tracked))
        .header(http::header::HOST, address.to_string())
        .body(Full::<Bytes>::default())
        .map_err(|error| error.to_string())?;
    let response = connection
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let body = Limited::new(response.into_body(), PEER_ANSWER_MAX_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}

/// Returns a pause that doubles with each failure, drawn so that VMs do not call together.
fn pause(failures: u32) -> Duration {
    let bound = (RETRY_MIN * 2_u32.pow(failures.min(5))).min(RETRY_MAX);
    rand::rng().random_range(bound / 2..=bound)
}

impl Hub {
    fn mirror_revision(&self, tracked: Tracked) -> ObjectVersion {
        self.core()
            .mirrors
            .get(&tracked)
            .map_or(0, |mirror| mirror.revision)
    }

    fn store_answered(&self, tracked: Tracked) {
        let now = self.now();
        if tracked == Tracked::Upstreams {
            self.core().fleet.store_back(now);
        }
    }

    fn store_failed(&self, tracked: Tracked) {
        if tracked == Tracked::Upstreams {
            self.core().fleet.store_lost();
        }
    }

    /// Returns a peer that has seen changes of a kind that this VM has not.
    fn peer_ahead(&self, tracked: Tracked) -> Option<(String, SocketAddr)> {
        let now = self.now();
        let config = self.table().map_or(0, |table| table.version);
        let core = self.core();
        let seen = match tracked {
            Tracked::Config => config,
            Tracked::Upstreams | Tracked::Weights => core
                .mirrors
                .get(&tracked)
                .map_or(0, |mirror| mirror.revision),
        };
        let ahead = core.peers.fresh(now).map(|peer| {
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
        let mut changes = listing.objects;
        {
            let core = self.core();
            let mirror = core.mirrors.get(&tracked);
            if mirror.is_some_and(|mirror| mirror.revision > listing.revision) {
                return;
            }
            let known = mirror.map(|mirror| mirror.objects.keys().cloned().collect::<Vec<_>>());
            let is_listed = |name: &String| changes.iter().any(|change| change.name == *name);
            let gone: Vec<_> = known
                .unwrap_or_default()
                .into_iter()
                .filter(|name| !is_listed(name))
                .collect();
            changes.extend(gone.into_iter().map(|name| Change { name, record: None }));
        }
        self.store_answered(tracked);
        self.take_changes(tracked, changes, listing.revision);
    }

    /// Takes changes that the store or a peer told.
    pub(super) fn take_changes(
        &self,
        tracked: Tracked,
        changes: Vec<Change>,
        revision: ObjectVersion,
    ) {
        let now = self.now();
        for change in changes {
            let is_news = {
                let mut core = self.core();
                let mirror = core.mirrors.entry(tracked).or_default();
                let is_news = mirror.objects.get(&change.name) != change.record.as_ref();
                match &change.record {
                    Some(record) => mirror.objects.insert(change.name.clone(), record.clone()),
                    None => mirror.objects.remove(&change.name),
                };
                if is_news {
                    mirror.changed = mirror.changed.max(revision);
                }
                is_news
            };
            if is_news {
                self.take_change(tracked, change, revision, now);
            }
        }
        let mut core = self.core();
        let mirror = core.mirrors.entry(tracked).or_default();
        mirror.revision = mirror.revision.max(revision);
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
                history.named(weights, now);
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

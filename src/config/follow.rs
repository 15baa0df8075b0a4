//! Follows the stored document and the peers, and puts each new version in force.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use super::fetch::{Fetched, fetch};
use super::start::{find, read};
use super::{DOCUMENT_NAME, Fetch, Next, PlanSettings, Sightings, VersionPlan};
use crate::document::{Document, Snapshot};
use crate::entry::App;
use crate::ids::ObjectVersion;
use crate::peer::Links;
use crate::platform::{Kind, Listing, StoreClient, StoreError};
use crate::telemetry::Event;

const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_millis(2_000);
/// Time between two reads on a new connection, where peers tell of new versions as well.
const PROBE_WITH_PEERS: Duration = Duration::from_millis(5_000);
/// The same for a VM without peers.
const PROBE_ALONE: Duration = Duration::from_millis(1_500);

/// What the follower works with.
#[derive(Debug, Clone)]
pub struct Follow {
    /// Where the configuration is put in force.
    pub app: Arc<App>,
    /// Links to peers, where there are any.
    pub links: Option<Links>,
    /// Versions that peers were seen to have.
    pub sightings: Sightings,
    /// Logs changes of state.
    pub log: Logger,
}

/// Follows the store and the peers until dropped.
pub async fn follow(settings: Follow) {
    let follower = Follower::new(settings);
    follower.start().await;
    tokio::join!(follower.watch(), follower.probe(), follower.peers());
}

struct Follower {
    settings: Follow,
    store: StoreClient,
    state: Mutex<State>,
    /// Tells the watch that it has missed a version.
    missed: Notify,
}

struct State {
    plan: VersionPlan,
    /// Highest version of the document that the store was seen to have.
    stored: ObjectVersion,
    /// Version of the store's last listing.
    listed: ObjectVersion,
    is_reachable: bool,
}

impl Follower {
    fn new(settings: Follow) -> Self {
        let mut plan = VersionPlan::new(PlanSettings::default());
        if let Ok(snapshot) = settings.app.snapshot() {
            plan.accept(snapshot.version);
        }
        let store = settings.app.store_client();
        let state = State {
            plan,
            stored: 0,
            listed: 0,
            is_reachable: true,
        };
        Self {
            settings,
            store,
            state: Mutex::new(state),
            missed: Notify::new(),
        }
    }

    /// Puts the highest version in force that the store or a few peers have.
    async fn start(&self) {
        let hints = &self.settings.app.settings().peer.hints;
        let found = find(&self.store, self.settings.links.as_ref(), hints).await;
        let mut documents = found.of_peers;
        match found.stored {
            Some(Ok(stored)) => {
                self.set_reachable();
                documents.extend(stored);
            }
            Some(Err(error)) => self.set_unreachable(&error),
            None => {}
        }
        documents.sort_by_key(|document| std::cmp::Reverse(document.version));
        for document in documents {
            self.offer(document);
        }
    }

    /// Waits for changes of the stored document.
    async fn watch(&self) {
        let mut backoff = BACKOFF_MIN;
        loop {
            let watched = tokio::select! {
                watched = self.watch_once() => watched,
                // Dropping a call replaces its connection.
                () = self.missed.notified() => continue,
            };
            match watched {
                Ok(()) => {
                    self.set_reachable();
                    backoff = BACKOFF_MIN;
                }
                Err(error) => {
                    self.set_unreachable(&error);
                    sleep_jittered(backoff).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
    }

    async fn watch_once(&self) -> Result<(), StoreError> {
        if !self.state().is_reachable
            && let Some(document) = read(&self.store).await?
        {
            self.offer_stored(document);
        }
        let wait = self.settings.app.settings().platform.watch_wait;
        let after = self.known().max(self.state().listed);
        let listing = self.store.watch(Kind::Document, after, wait).await?;
        self.state().listed = listing.version;
        if let Some(document) = document_of(listing) {
            self.offer_stored(document);
        }
        Ok(())
    }

    /// Looks for changes on a new connection each time, as a watch can fall silent for good.
    async fn probe(&self) {
        let interval = match self.settings.links {
            Some(_) => PROBE_WITH_PEERS,
            None => PROBE_ALONE,
        };
        loop {
            sleep_jittered(interval).await;
            let store = self.settings.app.store_client();
            let after = self.known();
            match store.watch(Kind::Document, after, Duration::ZERO).await {
                Ok(listing) => {
                    self.set_reachable();
                    if let Some(document) = document_of(listing)
                        && self.offer_stored(document)
                    {
                        self.missed.notify_one();
                    }
                }
                Err(error) => self.set_unreachable(&error),
            }
        }
    }

    /// Fetches what peers have and the store does not deliver.
    async fn peers(&self) {
        let Some(links) = &self.settings.links else {
            return std::future::pending().await;
        };
        loop {
            let next = self.next();
            match next {
                Next::Fetch(Fetch {
                    from,
                    above_version,
                }) => match fetch(links, from, above_version).await {
                    Ok(Some(document)) => {
                        self.state().plan.forget(from);
                        self.offer(document);
                    }
                    Ok(None) | Err(_) => self.state().plan.forget(from),
                },
                Next::At(at) => {
                    let now = self.settings.app.clock().now();
                    tokio::select! {
                        () = tokio::time::sleep(at.saturating_sub(now)) => {}
                        () = self.settings.sightings.added() => {}
                    }
                }
                Next::Nothing => self.settings.sightings.added().await,
            }
        }
    }

    fn next(&self) -> Next {
        let now = self.settings.app.clock().now();
        let mut state = self.state();
        for (from, version) in self.settings.sightings.take() {
            state.plan.sight(from, version, now);
        }
        state.plan.next(now)
    }

    /// Returns the version after which changes are of interest.
    fn known(&self) -> ObjectVersion {
        let state = self.state();
        state.stored.max(state.plan.in_force())
    }

    fn offer_stored(&self, document: Fetched) -> bool {
        let mut state = self.state();
        state.stored = state.stored.max(document.version);
        drop(state);
        self.offer(document)
    }

    /// Checks a document and puts it in force, whoever sent it; returns whether it did.
    fn offer(&self, document: Fetched) -> bool {
        let Fetched { version, text } = document;
        let app = &self.settings.app;
        if !self.state().plan.is_news(version) {
            app.metrics().record_event(Event::ConfigurationStale);
            return false;
        }
        match Document::parse(&text) {
            Ok(document) => self.install(version, document),
            Err(faults) => {
                self.state().plan.refuse(version);
                app.metrics().record_event(Event::ConfigurationRefused);
                warn!(self.settings.log, "configuration refused";
                    "version" => version, "faults" => faults.0.len());
                false
            }
        }
    }

    fn install(&self, version: ObjectVersion, document: Document) -> bool {
        let app = &self.settings.app;
        let is_installed = app.install_snapshot(Snapshot::compile(version, document));
        self.state().plan.accept(version);
        if !is_installed {
            app.metrics().record_event(Event::ConfigurationStale);
            return false;
        }
        app.metrics().record_event(Event::ConfigurationApplied);
        app.metrics().set_configuration_version(version);
        info!(self.settings.log, "configuration in force"; "version" => version);
        true
    }

    fn set_reachable(&self) {
        let mut state = self.state();
        state.plan.set_store_reachable(true);
        if !std::mem::replace(&mut state.is_reachable, true) {
            info!(self.settings.log, "store reachable");
        }
    }

    fn set_unreachable(&self, error: &StoreError) {
        let mut state = self.state();
        state.plan.set_store_reachable(false);
        if std::mem::replace(&mut state.is_reachable, false) {
            warn!(self.settings.log, "store unreachable"; "error" => %error);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn document_of(listing: Listing) -> Option<Fetched> {
    let mut items = listing.items.into_iter();
    let object = items.find(|object| object.name == DOCUMENT_NAME)?;
    Some(Fetched {
        version: object.version,
        text: object.value,
    })
}

async fn sleep_jittered(wait: Duration) {
    let jitter = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(wait.mul_f64(jitter)).await;
}

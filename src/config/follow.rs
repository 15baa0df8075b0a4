//! Follows the document in the store and at the peers, and installs each new version.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use super::fetch::{UncheckedDocument, fetch_document};
use super::initial_documents::{read_initial_documents, read_stored};
use super::{
    AdvertisedVersions, DOCUMENT_NAME, FetchAction, FetchRequest, VersionTracker,
    VersionTrackerSettings,
};
use crate::document::{Document, Snapshot};
use crate::entry::App;
use crate::ids::ObjectVersion;
use crate::peer::Links;
use crate::platform::{Kind, Listing, StoreClient, StoreError};
use crate::telemetry::Event;

/// Backoff after the first failed watch, before jitter; doubled with each failure in a row.
const WATCH_BACKOFF_MIN: Duration = Duration::from_millis(200);
const WATCH_BACKOFF_MAX: Duration = Duration::from_millis(2_000);
/// Time between two probes of the store, for a VM whose peers advertise new versions as well.
const PROBE_INTERVAL_WITH_PEERS: Duration = Duration::from_millis(5_000);
/// Time between two probes of the store, for a VM without peers.
const PROBE_INTERVAL_WITHOUT_PEERS: Duration = Duration::from_millis(1_500);

/// Application, peer links and logger that the follower uses.
#[derive(Debug, Clone)]
pub struct FollowerContext {
    /// Application in which new versions are installed.
    pub app: Arc<App>,
    /// Links to peers; `None` for a VM without peers.
    pub links: Option<Links>,
    /// Document versions that peers advertise.
    pub advertised_versions: AdvertisedVersions,
    /// Logger for installed and refused versions and for the reachability of the store.
    pub log: Logger,
}

/// Installs the highest version available at the start, then each new one; runs until dropped.
pub async fn follow(context: FollowerContext) {
    let follower = Follower::new(context);
    follower.install_initial().await;
    tokio::join!(
        follower.watch_store(),
        follower.probe_store(),
        follower.fetch_from_peers()
    );
}

struct Follower {
    context: FollowerContext,
    store: StoreClient,
    state: Mutex<State>,
    /// Notified when a probe finds a version that the watch has not delivered.
    version_missed: Notify,
}

struct State {
    tracker: VersionTracker,
    /// Highest version of the document that was read from the store.
    stored_version: ObjectVersion,
    /// Version of the last listing from a watch.
    listed_version: ObjectVersion,
    is_store_reachable: bool,
}

impl Follower {
    fn new(context: FollowerContext) -> Self {
        let mut tracker = VersionTracker::new(VersionTrackerSettings::default());
        if let Ok(snapshot) = context.app.snapshot() {
            tracker.accept(snapshot.version);
        }
        let store = context.app.store_client();
        let state = State {
            tracker,
            stored_version: 0,
            listed_version: 0,
            is_store_reachable: true,
        };
        Self {
            context,
            store,
            state: Mutex::new(state),
            version_missed: Notify::new(),
        }
    }

    /// Installs the highest valid version that the store or a few peers have.
    async fn install_initial(&self) {
        let hints = &self.context.app.settings().peer.hints;
        let found = read_initial_documents(&self.store, self.context.links.as_ref(), hints).await;
        let mut documents = found.from_peers;
        match found.stored {
            Some(Ok(stored)) => {
                self.record_store_reachable();
                documents.extend(stored);
            }
            Some(Err(error)) => self.record_store_unreachable(&error),
            None => {}
        }
        documents.sort_by_key(|document| std::cmp::Reverse(document.version));
        for document in documents {
            self.check_and_install(document);
        }
    }

    /// Watches the store for changes of the document, with backoff after errors.
    async fn watch_store(&self) {
        let mut backoff = WATCH_BACKOFF_MIN;
        loop {
            let watched = tokio::select! {
                watched = self.watch_once() => watched,
                // Dropping a call closes its connection, so that the next watch opens a new one.
                () = self.version_missed.notified() => continue,
            };
            match watched {
                Ok(()) => {
                    self.record_store_reachable();
                    backoff = WATCH_BACKOFF_MIN;
                }
                Err(error) => {
                    self.record_store_unreachable(&error);
                    sleep_jittered(backoff).await;
                    backoff = (backoff * 2).min(WATCH_BACKOFF_MAX);
                }
            }
        }
    }

    async fn watch_once(&self) -> Result<(), StoreError> {
        if !self.state().is_store_reachable
            && let Some(document) = read_stored(&self.store).await?
        {
            self.check_and_install_stored(document);
        }
        let wait = self.context.app.settings().platform.watch_wait;
        let after_version = self.known_version().max(self.state().listed_version);
        let listing = self
            .store
            .watch(Kind::Document, after_version, wait)
            .await?;
        self.state().listed_version = listing.version;
        if let Some(document) = current_document(listing) {
            self.check_and_install_stored(document);
        }
        Ok(())
    }

    /// Checks the store for changes on a new connection each time, because a watch can stop
    /// delivering changes without an error and never recover.
    async fn probe_store(&self) {
        let interval = match self.context.links {
            Some(_) => PROBE_INTERVAL_WITH_PEERS,
            None => PROBE_INTERVAL_WITHOUT_PEERS,
        };
        loop {
            sleep_jittered(interval).await;
            let store = self.context.app.store_client();
            let after_version = self.known_version();
            match store
                .watch(Kind::Document, after_version, Duration::ZERO)
                .await
            {
                Ok(listing) => {
                    self.record_store_reachable();
                    if let Some(document) = current_document(listing)
                        && self.check_and_install_stored(document)
                    {
                        self.version_missed.notify_one();
                    }
                }
                Err(error) => self.record_store_unreachable(&error),
            }
        }
    }

    /// Fetches versions that peers advertise and the store has not delivered.
    async fn fetch_from_peers(&self) {
        let Some(links) = &self.context.links else {
            return std::future::pending().await;
        };
        loop {
            let action = self.next_action();
            match action {
                FetchAction::Fetch(FetchRequest {
                    from,
                    above_version,
                }) => match fetch_document(links, from, above_version).await {
                    Ok(Some(document)) => {
                        self.state().tracker.remove_peer(from);
                        self.check_and_install(document);
                    }
                    Ok(None) | Err(_) => self.state().tracker.remove_peer(from),
                },
                FetchAction::WaitUntil(at) => {
                    let now = self.context.app.clock().now();
                    tokio::select! {
                        () = tokio::time::sleep(at.saturating_sub(now)) => {}
                        () = self.context.advertised_versions.wait_for_update() => {}
                    }
                }
                FetchAction::WaitForVersion => {
                    self.context.advertised_versions.wait_for_update().await
                }
            }
        }
    }

    fn next_action(&self) -> FetchAction {
        let now = self.context.app.clock().now();
        let mut state = self.state();
        for (from, version) in self.context.advertised_versions.take() {
            state.tracker.record_advertised(from, version, now);
        }
        state.tracker.next_action(now)
    }

    /// Returns the highest version read from the store or in force; only later changes matter.
    fn known_version(&self) -> ObjectVersion {
        let state = self.state();
        state.stored_version.max(state.tracker.in_force())
    }

    fn check_and_install_stored(&self, document: UncheckedDocument) -> bool {
        let mut state = self.state();
        state.stored_version = state.stored_version.max(document.version);
        drop(state);
        self.check_and_install(document)
    }

    /// Checks a document from the store or a peer and installs it; returns whether it is installed.
    fn check_and_install(&self, document: UncheckedDocument) -> bool {
        let UncheckedDocument { version, text } = document;
        let app = &self.context.app;
        if !self.state().tracker.is_candidate(version) {
            app.metrics().record_event(Event::ConfigurationStale);
            return false;
        }
        match Document::parse(&text) {
            Ok(document) => self.install(version, document),
            Err(faults) => {
                self.state().tracker.refuse(version);
                app.metrics().record_event(Event::ConfigurationRefused);
                warn!(self.context.log, "configuration refused: the document has faults";
                    "version" => version, "faults" => faults.0.len());
                false
            }
        }
    }

    fn install(&self, version: ObjectVersion, document: Document) -> bool {
        let app = &self.context.app;
        let is_installed = app.install_snapshot(Snapshot::compile(version, document));
        self.state().tracker.accept(version);
        if !is_installed {
            app.metrics().record_event(Event::ConfigurationStale);
            return false;
        }
        app.metrics().record_event(Event::ConfigurationApplied);
        app.metrics().set_configuration_version(version);
        info!(self.context.log, "new configuration in force"; "version" => version);
        true
    }

    fn record_store_reachable(&self) {
        let mut state = self.state();
        state.tracker.set_store_reachable(true);
        if !std::mem::replace(&mut state.is_store_reachable, true) {
            info!(self.context.log, "store reachable again");
        }
    }

    fn record_store_unreachable(&self, error: &StoreError) {
        let mut state = self.state();
        state.tracker.set_store_reachable(false);
        if std::mem::replace(&mut state.is_store_reachable, false) {
            warn!(self.context.log, "store unreachable; retrying"; "error" => %error);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn current_document(listing: Listing) -> Option<UncheckedDocument> {
    let mut items = listing.items.into_iter();
    let object = items.find(|object| object.name == DOCUMENT_NAME)?;
    Some(UncheckedDocument {
        version: object.version,
        text: object.value,
    })
}

async fn sleep_jittered(wait: Duration) {
    let jitter = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(wait.mul_f64(jitter)).await;
}

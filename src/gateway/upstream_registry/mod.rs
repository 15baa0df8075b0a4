//! Upstreams listed in the store, with this VM's observations of each.
//!
//! The registry performs no I/O, and the time is passed in. An upstream whose entry is removed is
//! leaving and receives no new requests. During an outage of the store, entries expire although
//! their upstreams are alive; such an upstream is kept for the time in which it would register
//! again.

mod upstream;

use std::collections::HashMap;
use std::time::Duration;

use super::model::{UpstreamEntry, UpstreamStage};
use super::name_hash::NameHash;
use crate::clock::Instant;
use crate::ids::UpstreamId;

pub use upstream::{Upstream, UpstreamInstance, UpstreamLoad};

/// Time for which it is remembered that a process that is no longer listed was leaving.
const LEFT_MEMORY: Duration = Duration::from_secs(60);

/// Times of an [`UpstreamRegistry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamRegistrySettings {
    /// Time after a store outage within which live upstreams register again.
    pub reregistration_window: Duration,
}

impl Default for UpstreamRegistrySettings {
    fn default() -> Self {
        Self {
            // Live upstreams register again within about 2 s, and an upstream that has left must
            // receive nothing after 2 s.
            reregistration_window: Duration::from_millis(1_800),
        }
    }
}

/// All upstreams of the gateway.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    settings: UpstreamRegistrySettings,
    upstreams: HashMap<UpstreamId, Upstream>,
    ids_by_hash: HashMap<NameHash, UpstreamId>,
    /// Processes that were leaving when their entry was removed, with that time. A store that was
    /// restored from a copy may list them again.
    left: HashMap<UpstreamInstance, Instant>,
    is_store_lost: bool,
    reregistration_ends_at: Instant,
}

impl UpstreamRegistry {
    /// Creates an empty registry.
    pub fn new(settings: UpstreamRegistrySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that the store does not respond.
    pub fn record_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store responds again.
    pub fn record_store_back(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_store_lost) {
            self.reregistration_ends_at = now + self.settings.reregistration_window;
        }
    }

    /// Applies a new or changed entry, or the removal of an entry.
    pub fn apply(&mut self, id: &str, entry: Option<UpstreamEntry>, now: Instant) {
        match entry {
            Some(entry) => self.insert(id, entry),
            None => self.unlist(id, now),
        }
    }

    /// Replaces all entries by a listing.
    pub fn replace(&mut self, listed: Vec<(UpstreamId, UpstreamEntry)>, now: Instant) {
        let ids: Vec<UpstreamId> = self.upstreams.keys().cloned().collect();
        for id in ids {
            if !listed.iter().any(|(name, _)| *name == id) {
                self.unlist(&id, now);
            }
        }
        for (id, entry) in listed {
            self.insert(&id, entry);
        }
    }

    /// Removes unlisted upstreams that have not registered again in time.
    pub fn sweep(&mut self, now: Instant) {
        let is_reregistering = self.is_reregistering(now);
        let reregistration_window = self.settings.reregistration_window;
        self.upstreams.retain(|_, upstream| {
            let is_kept =
                |at: Instant| is_reregistering && now.saturating_sub(at) < reregistration_window;
            upstream.unlisted_at.is_none_or(is_kept)
        });
        self.left
            .retain(|_, at| now.saturating_sub(*at) < LEFT_MEMORY);
        let upstreams = &self.upstreams;
        self.ids_by_hash.retain(|_, id| upstreams.contains_key(id));
    }

    /// Returns an upstream by its name.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns an upstream by the hash of its name.
    pub fn by_hash(&self, name_hash: NameHash) -> Option<&Upstream> {
        self.get(self.ids_by_hash.get(&name_hash)?)
    }

    /// Returns an upstream by the hash of its name, for changes.
    pub fn by_hash_mut(&mut self, name_hash: NameHash) -> Option<&mut Upstream> {
        self.upstreams.get_mut(self.ids_by_hash.get(&name_hash)?)
    }

    /// Returns an upstream by its name, for changes.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Returns an upstream if its current process is the given instance.
    pub fn instance_mut(&mut self, instance: &UpstreamInstance) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(&instance.id)?;
        (upstream.instance == *instance).then_some(upstream)
    }

    /// Returns the upstreams of a service that may receive new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter(move |upstream| upstream.entry.service == service && upstream.is_ready())
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    fn insert(&mut self, id: &str, entry: UpstreamEntry) {
        match self.upstreams.get_mut(id) {
            Some(upstream) if upstream.instance.born_ms == entry.born_ms => {
                // A process that leaves does not come back; the entry is older.
                let stage = match upstream.entry.stage {
                    UpstreamStage::Draining => UpstreamStage::Draining,
                    UpstreamStage::Ready => entry.stage,
                };
                upstream.entry = UpstreamEntry { stage, ..entry };
                upstream.unlisted_at = None;
                upstream.record_listed_weights();
            }
            // The entry belongs to an earlier process lifetime and arrived late.
            Some(upstream) if upstream.instance.born_ms > entry.born_ms => {}
            _ => {
                let mut upstream = Upstream::new(id, entry);
                if self.left.contains_key(&upstream.instance) {
                    upstream.record_leaving();
                }
                self.ids_by_hash.insert(upstream.name_hash, id.to_owned());
                self.upstreams.insert(id.to_owned(), upstream);
            }
        }
    }

    fn unlist(&mut self, id: &str, now: Instant) {
        let leaving = self
            .upstreams
            .get(id)
            .filter(|upstream| !upstream.is_ready());
        if let Some(upstream) = leaving {
            self.left.insert(upstream.instance.clone(), now);
        }
        if !self.is_reregistering(now) {
            self.upstreams.remove(id);
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.unlisted_at.get_or_insert(now);
        }
    }

    fn is_reregistering(&self, now: Instant) -> bool {
        self.is_store_lost || now < self.reregistration_ends_at
    }
}

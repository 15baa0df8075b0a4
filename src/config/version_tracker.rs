//! Decision which versions are worth having and which peer to fetch them from.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::ids::ObjectVersion;

/// Bounds on a [`VersionTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionTrackerSettings {
    /// How long the store may take to deliver what a peer has, before the peer is asked.
    pub store_delivery_timeout: Duration,
    /// Peers remembered.
    pub peers_max: usize,
    /// Refused versions remembered.
    pub refused_versions_max: usize,
}

impl Default for VersionTrackerSettings {
    fn default() -> Self {
        Self {
            store_delivery_timeout: Duration::from_millis(700),
            peers_max: 64,
            refused_versions_max: 16,
        }
    }
}

/// Document to fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchRequest {
    /// Peer that has it.
    pub from: SocketAddr,
    /// Version that this VM has.
    pub above_version: ObjectVersion,
}

/// What to do next about the peers' versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchAction {
    /// Fetch a document now.
    Fetch(FetchRequest),
    /// Look again at a time.
    WaitUntil(Instant),
    /// Nothing, until a version is seen.
    WaitForVersion,
}

/// What was seen of the document's versions; the one in force only rises.
#[derive(Debug, Clone, Default)]
pub struct VersionTracker {
    settings: VersionTrackerSettings,
    in_force: ObjectVersion,
    refused: BTreeSet<ObjectVersion>,
    advertised: BTreeMap<SocketAddr, AdvertisedVersion>,
    is_store_reachable: bool,
}

#[derive(Debug, Clone, Copy)]
struct AdvertisedVersion {
    version: ObjectVersion,
    first_seen_at: Instant,
}

impl VersionTracker {
    /// Creates a plan of a VM that has no version yet.
    pub fn new(settings: VersionTrackerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the version in force; 0 before the first.
    pub fn in_force(&self) -> ObjectVersion {
        self.in_force
    }

    /// Returns whether a version is worth checking: it is above the one in force and not refused.
    pub fn is_candidate(&self, version: ObjectVersion) -> bool {
        version > self.in_force && !self.refused.contains(&version)
    }

    /// Takes in that a version passed its check; returns whether it is now in force.
    pub fn accept(&mut self, version: ObjectVersion) -> bool {
        if version <= self.in_force {
            return false;
        }
        self.in_force = version;
        self.refused = self.refused.split_off(&version);
        self.advertised.retain(|_, entry| entry.version > version);
        true
    }

    /// Takes in that a version failed its check, so that it is not asked for again.
    pub fn refuse(&mut self, version: ObjectVersion) {
        self.refused.insert(version);
        while self.refused.len() > self.settings.refused_versions_max {
            self.refused.pop_first();
        }
    }

    /// Takes in that a peer has a version in force.
    pub fn record_advertised(&mut self, from: SocketAddr, version: ObjectVersion, now: Instant) {
        if !self.is_candidate(version) {
            self.advertised.remove(&from);
            return;
        }
        let is_full = self.advertised.len() >= self.settings.peers_max;
        if is_full && !self.advertised.contains_key(&from) {
            return;
        }
        let entry = AdvertisedVersion {
            version,
            first_seen_at: now,
        };
        let entry = self.advertised.entry(from).or_insert(entry);
        entry.version = entry.version.max(version);
    }

    /// Takes in whether the store answers.
    pub fn set_store_reachable(&mut self, is_reachable: bool) {
        self.is_store_reachable = is_reachable;
    }

    /// Forgets what a peer was seen to have, as it could not be had from it.
    pub fn remove_peer(&mut self, from: SocketAddr) {
        self.advertised.remove(&from);
    }

    /// Returns what to do about the highest version seen at a peer.
    ///
    /// The store has a grace while it answers, as it delivers each change to every VM anyway.
    pub fn next_action(&self, now: Instant) -> FetchAction {
        let best = self
            .advertised
            .iter()
            .filter(|(_, entry)| self.is_candidate(entry.version))
            .max_by_key(|(_, entry)| entry.version);
        let Some((from, best)) = best else {
            return FetchAction::WaitForVersion;
        };
        let due_at = match self.is_store_reachable {
            true => self.first_candidate_seen_at() + self.settings.store_delivery_timeout,
            false => best.first_seen_at,
        };
        match due_at <= now {
            true => FetchAction::Fetch(FetchRequest {
                from: *from,
                above_version: self.in_force,
            }),
            false => FetchAction::WaitUntil(due_at),
        }
    }

    fn first_candidate_seen_at(&self) -> Instant {
        let candidates = self
            .advertised
            .values()
            .filter(|entry| self.is_candidate(entry.version));
        candidates
            .map(|entry| entry.first_seen_at)
            .min()
            .unwrap_or_default()
    }
}

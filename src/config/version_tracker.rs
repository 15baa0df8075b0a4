//! Decides which document versions to check and from which peer to fetch them, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Instant;
use crate::ids::ObjectVersion;

/// Limits and timeouts of a [`VersionTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionTrackerSettings {
    /// Time that a reachable store has to deliver an advertised version before it is fetched from
    /// a peer.
    pub store_delivery_timeout: Duration,
    /// Maximum number of peers whose advertised versions are kept.
    pub peers_max: usize,
    /// Maximum number of refused versions that are kept; the lowest are removed first.
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

/// Fetch of a document from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchRequest {
    /// Address of the peer that advertises the document.
    pub from: SocketAddr,
    /// Version in force at this VM; only a higher one is of use.
    pub above_version: ObjectVersion,
}

/// Next action for the versions that peers advertise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchAction {
    /// Fetch a document now.
    Fetch(FetchRequest),
    /// Ask for the next action again at this time, or when a peer advertises a version.
    WaitUntil(Instant),
    /// Wait until a peer advertises a version.
    WaitForVersion,
}

/// Tracks the version in force, the refused versions and those that peers advertise.
///
/// The version in force never decreases.
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
    /// Creates a tracker for a VM that has no version in force yet.
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

    /// Returns whether a version is to be checked: it is above the one in force and not refused.
    pub fn is_candidate(&self, version: ObjectVersion) -> bool {
        version > self.in_force && !self.refused.contains(&version)
    }

    /// Records that a version passed its check; returns whether it is now in force.
    ///
    /// A version that is not above the one in force has no effect.
    pub fn accept(&mut self, version: ObjectVersion) -> bool {
        if version <= self.in_force {
            return false;
        }
        self.in_force = version;
        self.refused = self.refused.split_off(&version);
        self.advertised.retain(|_, entry| entry.version > version);
        true
    }

    /// Records that a version failed its check, so that it is not fetched again.
    pub fn refuse(&mut self, version: ObjectVersion) {
        self.refused.insert(version);
        while self.refused.len() > self.settings.refused_versions_max {
            self.refused.pop_first();
        }
    }

    /// Records that the peer at `from` advertises `version` as its version in force.
    ///
    /// A version that is not a candidate removes the peer. The time of the first advertisement is
    /// kept when the peer advertises a higher version. New peers are ignored at the limit.
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

    /// Records whether the store responds.
    pub fn set_store_reachable(&mut self, is_reachable: bool) {
        self.is_store_reachable = is_reachable;
    }

    /// Removes the advertised version of a peer, after a fetch from it.
    pub fn remove_peer(&mut self, from: SocketAddr) {
        self.advertised.remove(&from);
    }

    /// Returns the next action for the highest candidate that a peer advertises.
    ///
    /// While the store is reachable, the fetch waits for `store_delivery_timeout`, because the
    /// store delivers each change to every VM anyway.
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

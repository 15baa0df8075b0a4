//! Removal of old claims, by the process that holds the steward's lease.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::{Instant, SharedClock};
use crate::ids::ObjectVersion;
use crate::platform::{Kind, StoreClient};

/// Longest wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Deletions between two watch calls.
const DELETIONS_PER_WATCH_MAX: usize = 200;
/// Time between two deletions, which keeps them below twenty a second.
const DELETION_INTERVAL: Duration = Duration::from_millis(50);

/// Ages of claims by this process's own clock, so that no two clocks are compared.
///
/// A claim whose version changes starts anew, and so do all where the pruner is replaced: a claim
/// may live longer than its retention, never shorter.
#[derive(Debug, Clone)]
pub struct ClaimPruner {
    retention: Duration,
    versions: HashMap<String, ObjectVersion>,
    observations: VecDeque<(Instant, String, ObjectVersion)>,
}

impl ClaimPruner {
    /// Creates a pruner that has seen no claim.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            versions: HashMap::new(),
            observations: VecDeque::new(),
        }
    }

    /// Notes a claim as it stands.
    pub fn observe(&mut self, name: &str, version: ObjectVersion, now: Instant) {
        let known = self.versions.insert(name.to_owned(), version);
        if known != Some(version) {
            self.observations.push_back((now, name.to_owned(), version));
        }
    }

    /// Takes out the next claim that may be deleted.
    pub fn pop_expired(&mut self, now: Instant) -> Option<(String, ObjectVersion)> {
        loop {
            let (seen, ..) = self.observations.front()?;
            if now.saturating_sub(*seen) < self.retention {
                return None;
            }
            let (_, name, version) = self.observations.pop_front()?;
            if self.versions.get(&name) == Some(&version) {
                self.versions.remove(&name);
                return Some((name, version));
            }
        }
    }
}

/// Deletes claims that are older than `retention`, until dropped.
pub async fn prune_claims(store: StoreClient, clock: SharedClock, retention: Duration) {
    let mut pruner = ClaimPruner::new(retention);
    let mut after = 0;
    loop {
        match store.watch(Kind::Claim, after, WATCH_TIMEOUT).await {
            Ok(listing) => {
                for claim in &listing.items {
                    pruner.observe(&claim.name, claim.version, clock.now());
                }
                after = listing.version;
            }
            Err(_) => tokio::time::sleep(WATCH_TIMEOUT).await,
        }
        for _ in 0..DELETIONS_PER_WATCH_MAX {
            let Some((name, version)) = pruner.pop_expired(clock.now()) else {
                break;
            };
            let _ = store.delete(Kind::Claim, &name, version).await;
            tokio::time::sleep(DELETION_INTERVAL).await;
        }
    }
}

//! Deletes old claims from the store; run by the process that holds the steward's lease.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::{Instant, SharedClock};
use crate::ids::ObjectVersion;
use crate::platform::{Kind, StoreClient};

/// Timeout of one watch call, and the wait after a failed one.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of deletions between two watch calls.
const DELETIONS_PER_WATCH_MAX: usize = 200;
/// Interval between two deletions; limits them to 20 per second.
const DELETION_INTERVAL: Duration = Duration::from_millis(50);

/// Tracks the ages of claims by this process's clock alone, so that no two clocks are compared.
///
/// The age of a claim restarts when its version changes, and the ages of all claims restart with a
/// new pruner. A claim may therefore live longer than its retention, but never shorter.
#[derive(Debug, Clone)]
pub struct ClaimPruner {
    retention: Duration,
    versions: HashMap<String, ObjectVersion>,
    observations: VecDeque<(Instant, String, ObjectVersion)>,
}

impl ClaimPruner {
    /// Creates a pruner without any observed claims.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            versions: HashMap::new(),
            observations: VecDeque::new(),
        }
    }

    /// Records the current version of a claim.
    pub fn observe(&mut self, name: &str, version: ObjectVersion, now: Instant) {
        let previous = self.versions.insert(name.to_owned(), version);
        if previous != Some(version) {
            self.observations.push_back((now, name.to_owned(), version));
        }
    }

    /// Removes and returns the next claim older than the retention, as its name and version.
    pub fn pop_expired(&mut self, now: Instant) -> Option<(String, ObjectVersion)> {
        loop {
            let (observed_at, ..) = self.observations.front()?;
            if now.saturating_sub(*observed_at) < self.retention {
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

/// Deletes claims older than `retention` until the future is dropped.
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

//! Versions that peers were seen to have, on their way to the follower.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;

use crate::ids::ObjectVersion;

/// Peers whose version waits to be looked at.
const PENDING_PEERS_MAX: usize = 256;

/// Versions that peers were seen to have; clones share them.
#[derive(Debug, Clone, Default)]
pub struct AdvertisedVersions {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<HashMap<SocketAddr, ObjectVersion>>,
    updated: Notify,
}

impl AdvertisedVersions {
    /// Tells that the peer at `from` has a version in force.
    pub fn record(&self, from: SocketAddr, version: ObjectVersion) {
        let mut pending = self.pending();
        if pending.len() >= PENDING_PEERS_MAX && !pending.contains_key(&from) {
            return;
        }
        let highest = pending.entry(from).or_default();
        *highest = version.max(*highest);
        drop(pending);
        self.shared.updated.notify_one();
    }

    /// Takes what has been told.
    pub(super) fn take(&self) -> HashMap<SocketAddr, ObjectVersion> {
        std::mem::take(&mut *self.pending())
    }

    /// Waits until something is told.
    pub(super) async fn wait_for_update(&self) {
        self.shared.updated.notified().await;
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, ObjectVersion>> {
        let pending = &self.shared.pending;
        pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Queue of the document versions that peers advertise, between the heartbeats and the follower.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;

use crate::ids::ObjectVersion;

/// Maximum number of peers with a pending version; at the limit, further peers are ignored.
const PENDING_PEERS_MAX: usize = 256;

/// Highest document version that each peer has advertised since the last read.
///
/// Clones share the same versions.
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
    /// Records that the peer at `from` advertises `version` as its version in force.
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

    /// Removes and returns the recorded versions by peer address.
    pub(super) fn take(&self) -> HashMap<SocketAddr, ObjectVersion> {
        std::mem::take(&mut *self.pending())
    }

    /// Waits until a version is recorded.
    pub(super) async fn wait_for_update(&self) {
        self.shared.updated.notified().await;
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, ObjectVersion>> {
        let pending = &self.shared.pending;
        pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

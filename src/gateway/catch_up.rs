//! Reading of newer objects from peers that are ahead of this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::event_log::LogEvent;
use super::platform_api::{ChangeBatch, TrackedKind};
use super::state::Gateway;
use super::store_relay::RelayClient;
use crate::ids::ObjectVersion;

/// Time in which a watch may return the changes that a peer has seen before they are read from the
/// peer.
const CATCH_UP_DELAY: Duration = Duration::from_millis(400);

/// Reads newer objects from peers whenever a peer is ahead of this VM, until dropped.
pub(super) async fn catch_up(gateway: Arc<Gateway>) {
    loop {
        gateway.catch_up_due.notified().await;
        let revisions = TrackedKind::ALWAYS.map(|tracked| gateway.mirror_revision(tracked));
        tokio::time::sleep(CATCH_UP_DELAY).await;
        for (tracked, earlier) in TrackedKind::ALWAYS.into_iter().zip(revisions) {
            // A watch that returns changes is not stuck, even if peers are a little ahead.
            let is_stuck = gateway.mirror_revision(tracked) == earlier;
            let newer = gateway.newer_peer(tracked).filter(|_| is_stuck);
            let Some((vm, address, expected)) = newer else {
                continue;
            };
            let caught_up = gateway.catch_up_from(tracked, &vm, address, expected).await;
            if let Err(reason) = caught_up {
                let event = LogEvent::PeerReadFailed {
                    tracked,
                    peer: &vm,
                    reason,
                };
                gateway.event_log.log(&event);
            }
        }
    }
}

impl Gateway {
    /// Reads from a peer the changes that this VM lacks, or all objects if the peer no longer keeps
    /// the changes or has announced more than these, up to `expected`.
    pub(super) async fn catch_up_from(
        &self,
        tracked: TrackedKind,
        vm: &str,
        address: SocketAddr,
        expected: ObjectVersion,
    ) -> Result<(), String> {
        let after = self.mirror_revision(tracked);
        let mut client = RelayClient::new(address);
        let asked_at = self.now();
        let changes = match after {
            0 => None,
            after => client.changes(tracked, after).await?,
        };
        if let Some(answer) = changes {
            let answer = answer.received_at(asked_at);
            let ChangeBatch { changes, revision } = answer.content;
            self.apply_changes(tracked, changes, revision, &answer.target_times);
            // What a restored store has forgotten and the peer has kept is not among the changes.
            if self.seen_revision(tracked) >= expected {
                self.log_taken_from(tracked, vm, revision);
                return Ok(());
            }
        }
        self.list_from_peer(tracked, vm, &mut client).await
    }

    /// Reads all objects of a kind from a peer.
    pub(super) async fn list_from_peer(
        &self,
        tracked: TrackedKind,
        vm: &str,
        client: &mut RelayClient,
    ) -> Result<(), String> {
        let asked_at = self.now();
        let answer = client.listing(tracked).await?.received_at(asked_at);
        let revision = answer.content.revision;
        self.apply_listing(tracked, answer.content, &answer.target_times);
        self.log_taken_from(tracked, vm, revision);
        Ok(())
    }

    fn log_taken_from(&self, tracked: TrackedKind, peer: &str, revision: ObjectVersion) {
        self.event_log.log(&LogEvent::TakenFromPeer {
            tracked,
            peer,
            revision,
        });
    }

    /// Returns the version of the configuration in force, or the position of another mirror.
    fn seen_revision(&self, tracked: TrackedKind) -> ObjectVersion {
        match tracked {
            TrackedKind::Config => self.table().map_or(0, |table| table.version),
            TrackedKind::Upstreams | TrackedKind::Weights | TrackedKind::Rollouts => {
                self.mirror_revision(tracked)
            }
        }
    }

    /// Returns the peer with the highest revision of a kind and that revision, if it is higher than
    /// this VM's.
    fn newer_peer(&self, tracked: TrackedKind) -> Option<(String, SocketAddr, ObjectVersion)> {
        let now = self.now();
        let seen = self.seen_revision(tracked);
        let state = self.state();
        let ahead = state.peers.fresh_peers(now).map(|peer| {
            let revisions = peer.heartbeat.revisions;
            let revision = match tracked {
                TrackedKind::Config => revisions.config,
                TrackedKind::Upstreams => revisions.upstreams,
                TrackedKind::Weights => revisions.weights,
                // Heartbeats do not state it; the grants of the holder reach a VM without the store.
                TrackedKind::Rollouts => 0,
            };
            (revision, peer)
        });
        // Reads within a zone are cheaper.
        let own_zone = &self.settings.availability_zone;
        let (revision, peer) = ahead.max_by_key(|(revision, peer)| {
            let is_own_zone = peer.heartbeat.availability_zone == *own_zone;
            (*revision > seen, is_own_zone, *revision)
        })?;
        let heartbeat = &peer.heartbeat;
        (revision > seen).then(|| (heartbeat.vm.clone(), heartbeat.address, revision))
    }
}

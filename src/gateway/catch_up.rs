//! Reading of newer objects from peers that are ahead of this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::event_log::LogEvent;
use super::object_mirror::ObjectMirror;
use super::platform_api::{ChangeBatch, TrackedKind};
use super::state::Gateway;
use super::store_relay::RelayClient;

/// Time in which a watch may return the changes that a peer has seen before they are read from the
/// peer.
const CATCH_UP_DELAY: Duration = Duration::from_millis(400);

/// Reads newer objects from peers whenever a peer is ahead of this VM, until dropped.
pub(super) async fn catch_up(gateway: Arc<Gateway>) {
    loop {
        gateway.catch_up_due.notified().await;
        let revisions = TrackedKind::ALL.map(|tracked| gateway.mirror_revision(tracked));
        tokio::time::sleep(CATCH_UP_DELAY).await;
        for (tracked, earlier) in TrackedKind::ALL.into_iter().zip(revisions) {
            // A watch that returns changes is not stuck, even if peers are a little ahead.
            let is_stuck = gateway.mirror_revision(tracked) == earlier;
            let Some((vm, address)) = gateway.newer_peer(tracked).filter(|_| is_stuck) else {
                continue;
            };
            if let Err(reason) = gateway.catch_up_from(tracked, &vm, address).await {
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
    /// the changes.
    pub(super) async fn catch_up_from(
        &self,
        tracked: TrackedKind,
        vm: &str,
        address: SocketAddr,
    ) -> Result<(), String> {
        let after = self.mirror_revision(tracked);
        let mut client = RelayClient::new(address);
        let asked_at = self.now();
        let revision = match client.changes(tracked, after).await {
            Ok(answer) if after > 0 => {
                let answer = answer.received_at(asked_at);
                let ChangeBatch { changes, revision } = answer.content;
                self.apply_changes(tracked, changes, revision, &answer.target_times);
                revision
            }
            _ => {
                let answer = client.listing(tracked).await?.received_at(asked_at);
                let revision = answer.content.revision;
                self.apply_listing(tracked, answer.content, &answer.target_times);
                revision
            }
        };
        let event = LogEvent::TakenFromPeer {
            tracked,
            peer: vm,
            revision,
        };
        self.event_log.log(&event);
        Ok(())
    }

    /// Returns the peer with the highest revision of a kind, if it is higher than this VM's.
    fn newer_peer(&self, tracked: TrackedKind) -> Option<(String, SocketAddr)> {
        let now = self.now();
        let config = self.table().map_or(0, |table| table.version);
        let state = self.state();
        let seen = match tracked {
            TrackedKind::Config => config,
            TrackedKind::Upstreams | TrackedKind::Weights => state
                .mirrors
                .get(&tracked)
                .map_or(0, ObjectMirror::revision),
        };
        let ahead = state.peers.fresh_peers(now).map(|peer| {
            let revisions = peer.heartbeat.revisions;
            let revision = match tracked {
                TrackedKind::Config => revisions.config,
                TrackedKind::Upstreams => revisions.upstreams,
                TrackedKind::Weights => revisions.weights,
            };
            (revision, peer)
        });
        // Reads within a zone are cheaper.
        let own_zone = &self.settings.availability_zone;
        let (revision, peer) = ahead.max_by_key(|(revision, peer)| {
            let is_own_zone = peer.heartbeat.availability_zone == *own_zone;
            (*revision > seen, is_own_zone, *revision)
        })?;
        (revision > seen).then(|| (peer.heartbeat.vm.clone(), peer.heartbeat.address))
    }
}

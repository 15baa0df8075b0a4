//! Shared handle through which other parts of the process use membership.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use super::core::{MembershipCore, MembershipSettings};
use super::member_list::Member;
use super::record::RecordObject;
use super::timing::Timing;
use super::vm_lease::VmIdentity;
use super::wire::{FenceVote, FenceVoteRequest, Heartbeat, HeartbeatReply, PeerInfo};
use crate::clock::{Instant, SharedClock};
use crate::ids::{Incarnation, ObjectVersion, VmId};
use crate::settings::Settings;

/// Handle to this VM's membership state; clones share the state.
#[derive(Debug, Clone)]
pub struct Membership {
    core: Arc<Mutex<MembershipCore>>,
    clock: SharedClock,
    changed: Arc<Notify>,
}

impl Membership {
    /// Creates the membership state of a process that has just started.
    pub fn new(settings: &Settings, incarnation: Incarnation, clock: SharedClock) -> Self {
        let process = &settings.process;
        let settings = MembershipSettings {
            identity: VmIdentity {
                vm: process.vm.clone(),
                incarnation,
                peer_address: settings.peer.address,
                availability_zone: process.availability_zone.clone(),
            },
            timing: Timing::new(
                settings.platform.lease_ttl,
                settings.peer.heartbeat_interval,
            ),
            hints: settings.peer.hints.clone(),
        };
        Self {
            core: Arc::new(Mutex::new(MembershipCore::new(settings, clock.now()))),
            clock,
            changed: Arc::default(),
        }
    }

    /// Sets the address that the peer listener has bound.
    pub fn set_peer_address(&self, peer_address: SocketAddr) {
        self.update(|core, _| core.set_peer_address(peer_address));
    }

    /// Returns when this VM's lease expires, or `None` if it holds none.
    ///
    /// Callers compare it with the clock at each grant of a resource.
    pub fn valid_until(&self) -> Option<Instant> {
        self.lock().lease().valid_until()
    }

    /// Returns the incarnation under which this VM holds resources; it increases with each fence.
    pub fn incarnation(&self) -> Incarnation {
        self.lock().lease().identity().incarnation
    }

    /// Returns what this VM reports about itself, or `None` if it has no peer address.
    pub fn own_peer(&self) -> Option<PeerInfo> {
        self.lock().own_peer()
    }

    /// Returns whether this VM has reached neither the store nor a majority of its peers within the
    /// isolation timeout.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        self.lock().is_isolated(now)
    }

    /// Returns the other VMs that are not known to be fenced.
    pub fn members(&self) -> Vec<Member> {
        self.lock().members()
    }

    /// Returns a VM's record as last read, which may be stale.
    pub fn record(&self, vm: &VmId) -> Option<RecordObject> {
        self.lock().member_list().record(vm).cloned()
    }

    /// Returns the highest document version advertised by a responsive member, with its address.
    pub fn newest_advertised_document(&self) -> Option<(ObjectVersion, SocketAddr)> {
        self.lock().newest_advertised_document()
    }

    /// Marks this VM as leaving, which its record and heartbeats announce.
    pub fn leave(&self) {
        self.update(|core, now| core.leave(now));
    }

    /// Returns the reply to another VM's heartbeat, or `None` if this VM has no peer address.
    pub fn heartbeat_received(&self, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        self.update(|core, now| core.heartbeat_received(now, heartbeat))
    }

    /// Votes, as a witness, on fencing another VM's record.
    pub fn vote_on_fence(&self, request: &FenceVoteRequest) -> FenceVote {
        self.update(|core, now| core.vote_on_fence(now, request))
    }

    /// Waits until the membership state may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Updates the state and wakes waiters; the time is read under the lock.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut MembershipCore, Instant) -> T) -> T {
        let mut core = self.lock();
        let now = self.clock.now();
        let result = change(&mut core, now);
        drop(core);
        self.changed.notify_waiters();
        result
    }

    /// Updates the state without waking waiters; the time is read under the lock.
    pub(super) fn update_without_notify<T>(
        &self,
        poll: impl FnOnce(&mut MembershipCore, Instant) -> T,
    ) -> T {
        let mut core = self.lock();
        let now = self.clock.now();
        poll(&mut core, now)
    }

    fn lock(&self) -> MutexGuard<'_, MembershipCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

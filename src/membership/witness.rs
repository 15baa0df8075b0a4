//! Lease confirmations and fence votes that a VM issues as a witness of others.

use std::collections::HashMap;

use super::timing::Timing;
use super::wire::FenceVote;
use crate::clock::Instant;
use crate::ids::{Incarnation, VmId};

/// Incarnations that a witness tracks at most; it confirms no lease of any further one.
const INCARNATIONS_MAX: usize = 4_096;

/// Times of the latest lease confirmation of, and the latest vote to fence, one incarnation.
#[derive(Debug, Clone, Copy, Default)]
struct IncarnationState {
    confirmed_at: Option<Instant>,
    voted_to_fence_at: Option<Instant>,
}

/// Confirms leases of other VMs and votes on fencing their records; performs no I/O.
///
/// Its state is lost when the process ends, so for a while after its start it neither confirms nor
/// votes.
#[derive(Debug, Clone)]
pub struct Witness {
    timing: Timing,
    started_at: Instant,
    incarnations: HashMap<(VmId, Incarnation), IncarnationState>,
}

impl Witness {
    /// Creates a witness without recorded confirmations and votes.
    pub fn new(timing: Timing, started_at: Instant) -> Self {
        Self {
            timing,
            started_at,
            incarnations: HashMap::new(),
        }
    }

    /// Confirms the lease of an incarnation and returns true, or returns false if it may not.
    pub fn confirm_lease(&mut self, now: Instant, vm: &VmId, incarnation: Incarnation) -> bool {
        let vote_ttl = self.timing.vote_ttl;
        let Some(incarnation_state) = self.incarnation_state(now, vm, incarnation) else {
            return false;
        };
        let is_fence_voted = incarnation_state
            .voted_to_fence_at
            .is_some_and(|voted_at| now < voted_at + vote_ttl);
        if !is_fence_voted {
            incarnation_state.confirmed_at = Some(now);
        }
        !is_fence_voted
    }

    /// Votes on fencing the record of an incarnation.
    pub fn vote_on_fence(
        &mut self,
        now: Instant,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> FenceVote {
        let confirmation_ttl = self.timing.confirmation_ttl;
        let Some(incarnation_state) = self.incarnation_state(now, vm, incarnation) else {
            return FenceVote::Abstain;
        };
        let is_lease_confirmed = incarnation_state
            .confirmed_at
            .is_some_and(|confirmed_at| now < confirmed_at + confirmation_ttl);
        if is_lease_confirmed {
            return FenceVote::No;
        }
        incarnation_state.voted_to_fence_at = Some(now);
        FenceVote::Yes
    }

    /// Returns the state of an incarnation, or `None` while the witness abstains after its start or
    /// tracks the maximum number of incarnations.
    fn incarnation_state(
        &mut self,
        now: Instant,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> Option<&mut IncarnationState> {
        if now < self.started_at + self.timing.startup_abstention {
            return None;
        }
        let key = (vm.clone(), incarnation);
        if self.incarnations.len() >= INCARNATIONS_MAX && !self.incarnations.contains_key(&key) {
            self.remove_expired(now);
        }
        if self.incarnations.len() >= INCARNATIONS_MAX && !self.incarnations.contains_key(&key) {
            return None;
        }
        Some(self.incarnations.entry(key).or_default())
    }

    fn remove_expired(&mut self, now: Instant) {
        let Timing {
            confirmation_ttl,
            vote_ttl,
            ..
        } = self.timing;
        let is_current = |at: Option<Instant>, time| at.is_some_and(|at| now < at + time);
        self.incarnations.retain(|_, incarnation_state| {
            is_current(incarnation_state.confirmed_at, confirmation_ttl)
                || is_current(incarnation_state.voted_to_fence_at, vote_ttl)
        });
    }
}

//! What a VM promises about others.

use std::collections::HashMap;

use super::timing::Timing;
use super::wire::FenceVote;
use crate::clock::Instant;
use crate::ids::{Incarnation, VmId};

/// Incarnations that a witness remembers at most; it vouches for no further one.
const INCARNATIONS_MAX: usize = 4_096;

/// Latest promises about one incarnation of a VM.
#[derive(Debug, Clone, Copy, Default)]
struct IncarnationState {
    confirmed_at: Option<Instant>,
    voted_to_fence_at: Option<Instant>,
}

/// Vouches for VMs, and votes on their reclaim; pure.
///
/// Its memory is lost with the process, so it abstains from both for a while after its start.
#[derive(Debug, Clone)]
pub struct Witness {
    timing: Timing,
    started_at: Instant,
    incarnations: HashMap<(VmId, Incarnation), IncarnationState>,
}

impl Witness {
    /// Creates a witness that remembers nothing.
    pub fn new(timing: Timing, started_at: Instant) -> Self {
        Self {
            timing,
            started_at,
            incarnations: HashMap::new(),
        }
    }

    /// Answers whether the witness vouches for an incarnation.
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

    /// Votes on the reclaim of what an incarnation holds.
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

    /// Returns what is remembered; nothing while abstaining or when full.
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

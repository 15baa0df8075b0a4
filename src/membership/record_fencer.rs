//! Fencing of a VM that seems dead.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::record::{RecordObject, RecordState, RecordWriteOutcome, VmRecord};
use super::reply_times::strict_majority;
use super::timing::Timing;
use super::wire::{FenceVote, FenceVoteRequest};
use crate::clock::Instant;
use crate::ids::{ObjectVersion, VmId};

/// Call that a reclaim needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceAction {
    /// Read the record.
    Read,
    /// Ask these witnesses.
    RequestVotes {
        /// Their addresses.
        witnesses: Vec<SocketAddr>,
        /// The question.
        request: FenceVoteRequest,
    },
    /// Fence the record if it has the expected version.
    Fence {
        /// Version that the record must have.
        expected_version: ObjectVersion,
        /// The record, fenced.
        record: VmRecord,
    },
}

/// How a reclaim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The VM renewed its lease meanwhile, or its record cannot be judged.
    NotFenced,
    /// The incarnation is fenced, by this reclaim or by another.
    Fenced,
}

#[derive(Debug, Clone)]
enum FencingStage {
    /// The record is to be read for the first time.
    InitialRead,
    /// The record's lease is lapsing.
    AwaitingExpiry { until: Instant },
    /// The record is read again.
    ConfirmingRead,
    /// The witnesses are being asked.
    Voting {
        started_at: Instant,
        is_request_sent: bool,
        yes_votes: BTreeSet<SocketAddr>,
    },
    /// A majority agreed; the record is to be fenced.
    Fencing,
    /// Nothing is left to do.
    Ended(FenceOutcome),
}

/// Fences the record of a VM that seems dead; pure.
///
/// It waits until the lease in the store has lapsed, then gathers the votes of a strict majority of
/// the recorded witnesses within one window in which none of them vouches again. At the end of that
/// window the VM's lease has lapsed, and only a renewal in the store could revive it. The fence is
/// conditional on the version seen, so either it or that renewal takes effect, however late.
#[derive(Debug, Clone)]
pub struct RecordFencer {
    timing: Timing,
    vm: VmId,
    observed: Option<(ObjectVersion, VmRecord)>,
    stage: FencingStage,
    is_call_pending: bool,
    next_call_at: Instant,
}

impl RecordFencer {
    /// Creates the reclaim of a VM.
    pub fn new(timing: Timing, vm: VmId) -> Self {
        Self {
            timing,
            vm,
            observed: None,
            stage: FencingStage::InitialRead,
            is_call_pending: false,
            next_call_at: Instant::ZERO,
        }
    }

    /// Returns how the reclaim ended.
    pub fn outcome(&self) -> Option<FenceOutcome> {
        match self.stage {
            FencingStage::Ended(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns the record that was judged.
    pub fn record(&self) -> Option<&VmRecord> {
        self.observed.as_ref().map(|(_, record)| record)
    }

    /// Returns the call that is due.
    pub fn next_action(&mut self, now: Instant) -> Option<FenceAction> {
        if self.is_call_pending || now < self.next_call_at {
            return None;
        }
        self.advance_stage(now);
        let (version, record) = match (&self.stage, &self.observed) {
            (FencingStage::InitialRead | FencingStage::ConfirmingRead, _) => {
                self.is_call_pending = true;
                return Some(FenceAction::Read);
            }
            (_, Some((version, record))) => (*version, record.clone()),
            (_, None) => return None,
        };
        match &mut self.stage {
            FencingStage::Voting {
                is_request_sent, ..
            } if !*is_request_sent => {
                *is_request_sent = true;
                Some(self.vote_request(&record))
            }
            FencingStage::Fencing => {
                self.is_call_pending = true;
                Some(FenceAction::Fence {
                    expected_version: version,
                    record: record.to_fenced(),
                })
            }
            _ => None,
        }
    }

    /// Takes the answer to a read; nothing where it failed.
    pub fn read_completed(&mut self, now: Instant, object: Option<RecordObject>) {
        self.is_call_pending = false;
        match object {
            Some(object) => self.apply_object(now, object),
            None => self.next_call_at = now + self.timing.drift_margin,
        }
    }

    /// Takes the outcome of the fence.
    pub fn write_completed(&mut self, now: Instant, outcome: RecordWriteOutcome) {
        self.is_call_pending = false;
        match outcome {
            RecordWriteOutcome::Applied(_) => {
                self.stage = FencingStage::Ended(FenceOutcome::Fenced)
            }
            RecordWriteOutcome::Conflict(object) => self.apply_object(now, object),
            RecordWriteOutcome::NotApplied | RecordWriteOutcome::Unknown => {
                self.stage = FencingStage::ConfirmingRead;
                self.next_call_at = now + self.timing.drift_margin;
            }
        }
    }

    /// Takes a witness's vote on a question sent at `sent_at`.
    pub fn vote_received(
        &mut self,
        now: Instant,
        sent_at: Instant,
        witness: SocketAddr,
        vote: FenceVote,
    ) {
        let window = self.timing.vote_window;
        let Some((_, record)) = &self.observed else {
            return;
        };
        let is_witness = record
            .witnesses
            .iter()
            .any(|known| known.peer_address == witness);
        let FencingStage::Voting {
            started_at,
            yes_votes,
            ..
        } = &mut self.stage
        else {
            return;
        };
        let is_in_window = sent_at >= *started_at && now < *started_at + window;
        if vote == FenceVote::Yes && is_witness && is_in_window {
            yes_votes.insert(witness);
        }
        if yes_votes.len() >= strict_majority(record.witnesses.len()) {
            self.stage = FencingStage::Fencing;
        }
    }

    /// Moves on where only time had to pass.
    fn advance_stage(&mut self, now: Instant) {
        match self.stage {
            FencingStage::AwaitingExpiry { until } if now >= until => {
                self.stage = FencingStage::ConfirmingRead
            }
            FencingStage::Voting { started_at, .. }
                if now >= started_at + self.timing.vote_window =>
            {
                self.stage = FencingStage::ConfirmingRead;
            }
            _ => {}
        }
    }

    fn vote_request(&self, record: &VmRecord) -> FenceAction {
        let witnesses = record.witnesses.iter();
        FenceAction::RequestVotes {
            witnesses: witnesses.map(|witness| witness.peer_address).collect(),
            request: FenceVoteRequest {
                vm: self.vm.clone(),
                incarnation: record.incarnation,
            },
        }
    }

    /// Draws the conclusions from the record as it stands.
    fn apply_object(&mut self, now: Instant, object: RecordObject) {
        let is_first = matches!(self.stage, FencingStage::InitialRead);
        let is_unchanged = self
            .observed
            .as_ref()
            .is_some_and(|(version, _)| *version == object.version);
        let Some(record) = object.record else {
            self.stage = FencingStage::Ended(FenceOutcome::NotFenced);
            return;
        };
        let is_fenced = record.state == RecordState::Fenced;
        let has_witnesses = !record.witnesses.is_empty();
        self.observed = Some((object.version, record));
        self.stage = match (is_fenced, is_first, is_unchanged, has_witnesses) {
            (true, ..) => FencingStage::Ended(FenceOutcome::Fenced),
            (_, true, ..) => FencingStage::AwaitingExpiry {
                until: now + self.timing.lease_ttl + self.timing.drift_margin,
            },
            (_, _, false, _) => FencingStage::Ended(FenceOutcome::NotFenced),
            (_, _, true, false) => FencingStage::Fencing,
            (_, _, true, true) => FencingStage::Voting {
                started_at: now,
                is_request_sent: false,
                yes_votes: BTreeSet::new(),
            },
        };
    }
}

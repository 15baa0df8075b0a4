//! Fencing of the record of a suspected VM.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::record::{RecordObject, RecordState, RecordWriteOutcome, VmRecord};
use super::reply_times::strict_majority;
use super::timing::Timing;
use super::wire::{FenceVote, FenceVoteRequest};
use crate::clock::Instant;
use crate::ids::{ObjectVersion, VmId};

/// Call that a [`RecordFencer`] requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceAction {
    /// Reads the record.
    Read,
    /// Requests votes from the witnesses.
    RequestVotes {
        /// Addresses of the witnesses.
        witnesses: Vec<SocketAddr>,
        /// Request to send to each of them.
        request: FenceVoteRequest,
    },
    /// Writes the fenced record, conditional on its version.
    Fence {
        /// Version that the stored record must have for the write to apply.
        expected_version: ObjectVersion,
        /// Record in the fenced state.
        record: VmRecord,
    },
}

/// Outcome of a [`RecordFencer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The VM renewed its lease meanwhile, or its record is absent or malformed.
    NotFenced,
    /// The incarnation is fenced, by this fencer or by another.
    Fenced,
}

#[derive(Debug, Clone)]
enum FencingStage {
    /// The record must be read for the first time.
    InitialRead,
    /// The fencer waits until the lease in the store has expired.
    AwaitingExpiry { until: Instant },
    /// The record must be read again.
    ConfirmingRead,
    /// Votes of the witnesses are being collected.
    Voting {
        started_at: Instant,
        is_request_sent: bool,
        yes_votes: BTreeSet<SocketAddr>,
    },
    /// No votes are needed, or a majority voted for fencing; the fence must be written.
    Fencing,
    /// The outcome is known.
    Ended(FenceOutcome),
}

/// Fences the record of a suspected VM; performs no I/O.
///
/// It waits until the lease in the store has expired, then collects votes from a strict majority of
/// the recorded witnesses within one vote window, in which none of the voters confirms the lease
/// again. At the end of that window the VM's lease has expired, and only a renewal in the store
/// could revive it. The fence is conditional on the version read, so either the fence or that
/// renewal is applied, however late it arrives.
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
    /// Creates a fencer for a VM's record.
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

    /// Returns the outcome, or `None` while it is not known.
    pub fn outcome(&self) -> Option<FenceOutcome> {
        match self.stage {
            FencingStage::Ended(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns the record as last read.
    pub fn record(&self) -> Option<&VmRecord> {
        self.observed.as_ref().map(|(_, record)| record)
    }

    /// Returns the call that is due, and counts it as sent.
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

    /// Reports the result of a read; `None` if it failed.
    pub fn read_completed(&mut self, now: Instant, object: Option<RecordObject>) {
        self.is_call_pending = false;
        match object {
            Some(object) => self.apply_object(now, object),
            None => self.next_call_at = now + self.timing.drift_margin,
        }
    }

    /// Reports the outcome of the fencing write.
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

    /// Records a witness's vote on a request sent at `sent_at`.
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

    /// Advances a stage that only waits for time to pass.
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

    /// Updates the stage from the stored record.
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

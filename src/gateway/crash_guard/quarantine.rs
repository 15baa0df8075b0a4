//! Parts of prompts that are kept from engines, and the trials that end this.
//!
//! All VMs keep the same table and merge each other's records. A record has a round, which rises
//! with each trial and release, so that a later state replaces an earlier one in whatever order they
//! arrive. The waits before trials grow, and one VM at a time permits them for the fleet.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evidence::Conclusion;
use crate::clock::Instant;
use crate::gateway::prompt::PartHash;

/// Times and bounds of a [`Quarantine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Time from the first hold to the first trial.
    pub first_trial_after: Duration,
    /// Factor between the waits before two trials.
    pub trial_wait_factor: u32,
    /// Maximum wait before a trial.
    pub trial_wait_max: Duration,
    /// Wait before the next trial after one that reached no engine.
    pub returned_trial_wait: Duration,
    /// Minimum wait before the trial of a request with several held parts.
    pub joint_trial_after: Duration,
    /// Time without a trial or crash after which a record is dropped.
    pub memory: Duration,
    /// Time for which a release is remembered, so that older records do not undo it.
    pub release_memory: Duration,
    /// Maximum number of records.
    pub records_max: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            first_trial_after: Duration::from_secs(4),
            trial_wait_factor: 5,
            trial_wait_max: Duration::from_secs(3_600),
            returned_trial_wait: Duration::from_millis(500),
            joint_trial_after: Duration::from_secs(60),
            memory: Duration::from_secs(24 * 3_600),
            release_memory: Duration::from_secs(600),
            records_max: 256,
        }
    }
}

/// State of one part, as VMs exchange and store it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuarantineRecord {
    /// Hash of the part's identifier.
    pub part: PartHash,
    /// Identifier of the part, if it is known.
    pub part_id: Option<String>,
    /// Number of the state; a higher one replaces a lower one.
    pub round: u32,
    /// Whether requests with the part are kept from engines.
    pub is_held: bool,
    /// Crashes that led to the hold.
    pub crashes: u16,
    /// Trials since the hold.
    pub trials: u32,
    /// Whether parts beside it were at the same crashes.
    pub is_ambiguous: bool,
    /// Time from the begin of the round to the next trial.
    pub trial_wait_ms: u64,
    /// Time since the round began.
    pub age_ms: u64,
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// None of its parts is held.
    Clear,
    /// One of its parts is held, and a trial of it is due if it is permitted for this round.
    TrialDue {
        /// Held part.
        part: PartHash,
        /// Round that the trial would end.
        round: u32,
    },
    /// A part is held.
    Held(PartHash),
}

/// Where a change of a part's state came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineSource {
    /// Evidence at this VM.
    Own,
    /// News of another VM.
    Peer,
    /// Record in the platform's store, or its removal.
    Store,
}

impl QuarantineSource {
    /// Returns the name that is used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Part with its state at this VM.
#[derive(Debug, Clone)]
struct Entry {
    part_id: Option<String>,
    round: u32,
    is_held: bool,
    crashes: u16,
    trials: u32,
    is_ambiguous: bool,
    trial_wait: Duration,
    since: Instant,
}

impl Entry {
    /// Returns the order of states: later rounds first, and in one round the release.
    fn order(&self) -> (u32, bool) {
        (self.round, !self.is_held)
    }
}

/// Maximum length of a part's identifier in records.
const PART_ID_MAX_BYTES: usize = 64;

/// Parts that are kept from engines, and parts released lately.
#[derive(Debug, Default)]
pub struct Quarantine {
    settings: QuarantineSettings,
    entries: HashMap<PartHash, Entry>,
}

impl Quarantine {
    /// Creates an empty table.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
        }
    }

    /// Returns what may be done with a request with these parts.
    pub fn verdict(&self, parts: &[PartHash], now: Instant) -> QuarantineVerdict {
        if self.entries.is_empty() {
            return QuarantineVerdict::Clear;
        }
        let mut held = parts.iter().filter(|part| self.is_held(**part));
        match (held.next(), held.next()) {
            (None, _) => QuarantineVerdict::Clear,
            // A crash would not tell which of them caused it, so requests with one come first.
            (Some(part), Some(_)) => self.verdict_on(*part, self.settings.joint_trial_after, now),
            (Some(part), None) => self.verdict_on(*part, Duration::ZERO, now),
        }
    }

    /// Returns whether requests with a part are kept from engines.
    pub fn is_held(&self, part: PartHash) -> bool {
        self.entries.get(&part).is_some_and(|entry| entry.is_held)
    }

    /// Returns whether any part is held.
    pub fn has_held(&self) -> bool {
        self.entries.values().any(|entry| entry.is_held)
    }

    /// Returns the number of held parts.
    pub fn held_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_held).count()
    }

    /// Returns the identifier of a part, if it is known.
    pub fn part_id(&self, part: PartHash) -> Option<&str> {
        self.entries.get(&part)?.part_id.as_deref()
    }

    /// Holds a part; returns the new record, or `None` if the part is held already.
    pub fn hold(
        &mut self,
        conclusion: &Conclusion,
        part_id: Option<&str>,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let known = self.entries.get(&conclusion.part);
        if known.is_some_and(|entry| entry.is_held) {
            return None;
        }
        let round = known.map_or(0, |entry| entry.round) + 1;
        let part_id = part_id.filter(|id| id.len() <= PART_ID_MAX_BYTES);
        self.make_room();
        let entry = Entry {
            part_id: part_id.map(str::to_owned),
            round,
            is_held: true,
            crashes: conclusion.crashes.len().min(usize::from(u16::MAX)) as u16,
            trials: 0,
            is_ambiguous: conclusion.is_ambiguous,
            // Of several parts only one may be the cause, and the others are needed.
            trial_wait: match conclusion.is_ambiguous {
                true => Duration::ZERO,
                false => self.settings.first_trial_after,
            },
            since: now,
        };
        self.entries.insert(conclusion.part, entry);
        self.record(conclusion.part, now)
    }

    /// Permits one trial of a part if it is due in this round, and puts the next one off; returns the
    /// new record.
    pub fn permit_trial(
        &mut self,
        part: PartHash,
        round: u32,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        if self.due_trial(part, Duration::ZERO, now) != Some(round) {
            return None;
        }
        let settings = self.settings;
        let entry = self.entries.get_mut(&part)?;
        entry.round += 1;
        entry.trials += 1;
        entry.since = now;
        let factor = settings.trial_wait_factor.saturating_pow(entry.trials);
        let wait = settings.first_trial_after.saturating_mul(factor);
        entry.trial_wait = wait.min(settings.trial_wait_max);
        self.record(part, now)
    }

    /// Records that the trial of this round reached no engine, so that another one follows soon;
    /// returns the new record.
    pub fn return_trial(
        &mut self,
        part: PartHash,
        round: u32,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let entry = self.entries.get_mut(&part)?;
        if !entry.is_held || entry.round != round || entry.trials == 0 {
            return None;
        }
        entry.round += 1;
        entry.trials -= 1;
        entry.since = now;
        entry.trial_wait = self.settings.returned_trial_wait;
        self.record(part, now)
    }

    /// Releases a part; returns the new record, or `None` if it is not held.
    pub fn release(&mut self, part: PartHash, now: Instant) -> Option<QuarantineRecord> {
        let entry = self.entries.get_mut(&part)?;
        if !entry.is_held {
            return None;
        }
        entry.round += 1;
        entry.is_held = false;
        entry.since = now;
        self.record(part, now)
    }

    /// Applies a record of another VM or of the store; returns whether it replaces this VM's.
    pub fn merge(&mut self, record: &QuarantineRecord, now: Instant) -> bool {
        let age = Duration::from_millis(record.age_ms);
        let received = Entry {
            part_id: record
                .part_id
                .clone()
                .filter(|id| id.len() <= PART_ID_MAX_BYTES),
            round: record.round,
            is_held: record.is_held,
            crashes: record.crashes,
            trials: record.trials,
            is_ambiguous: record.is_ambiguous,
            trial_wait: Duration::from_millis(record.trial_wait_ms),
            since: now.saturating_sub(age),
        };
        match self.entries.get_mut(&record.part) {
            Some(known) if known.order() >= received.order() => {
                if known.part_id.is_none() {
                    known.part_id = received.part_id;
                }
                false
            }
            Some(known) => {
                let part_id = received.part_id.or_else(|| known.part_id.take());
                *known = Entry {
                    part_id,
                    ..received
                };
                true
            }
            None => {
                self.make_room();
                self.entries.insert(record.part, received);
                true
            }
        }
    }

    /// Returns the records of all parts.
    pub fn records(&self, now: Instant) -> Vec<QuarantineRecord> {
        let parts = self.entries.keys();
        parts.filter_map(|part| self.record(*part, now)).collect()
    }

    /// Drops old records.
    pub fn sweep(&mut self, now: Instant) {
        let settings = self.settings;
        self.entries.retain(|_, entry| {
            let memory = match entry.is_held {
                true => settings.memory,
                false => settings.release_memory,
            };
            now.saturating_sub(entry.since) < memory
        });
    }

    /// Returns the record of a part.
    pub fn record(&self, part: PartHash, now: Instant) -> Option<QuarantineRecord> {
        let entry = self.entries.get(&part)?;
        Some(QuarantineRecord {
            part,
            part_id: entry.part_id.clone(),
            round: entry.round,
            is_held: entry.is_held,
            crashes: entry.crashes,
            trials: entry.trials,
            is_ambiguous: entry.is_ambiguous,
            trial_wait_ms: entry.trial_wait.as_millis() as u64,
            age_ms: now.saturating_sub(entry.since).as_millis() as u64,
        })
    }

    fn verdict_on(
        &self,
        part: PartHash,
        trial_wait_min: Duration,
        now: Instant,
    ) -> QuarantineVerdict {
        match self.due_trial(part, trial_wait_min, now) {
            Some(round) => QuarantineVerdict::TrialDue { part, round },
            None => QuarantineVerdict::Held(part),
        }
    }

    /// Returns the current round of a held part if a trial is due.
    fn due_trial(&self, part: PartHash, wait_min: Duration, now: Instant) -> Option<u32> {
        let entry = self.entries.get(&part).filter(|entry| entry.is_held)?;
        (now >= entry.since + entry.trial_wait.max(wait_min)).then_some(entry.round)
    }

    /// Removes the oldest record if the table is full, a released one first.
    fn make_room(&mut self) {
        if self.entries.len() < self.settings.records_max {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.is_held, entry.since));
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.entries.remove(&part);
        }
    }
}

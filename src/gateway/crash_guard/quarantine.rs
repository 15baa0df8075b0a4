//! What is kept from engines, and the trials that end this.
//!
//! All VMs keep the same table and merge each other's records. A record has a round, which rises
//! with each trial and release, so that a later state replaces an earlier one in whatever order they
//! arrive. The waits before trials grow, and one VM at a time permits them for the fleet. Copies of
//! a request are tried a few times only: the same bytes crash the next engine too.

use std::collections::HashMap;
use std::time::Duration;

use super::evidence::Conclusion;
use super::record::QuarantineRecord;
use super::suspect::{Suspect, SuspectKind};
use crate::clock::Instant;

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
    /// Factor between the waits before two trials of a request.
    pub request_trial_wait_factor: u32,
    /// Crashes and trials after which copies of a request are not tried any more.
    pub request_sends_max: u32,
    /// Minimum wait before the trial of a request with several held suspects.
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
            request_trial_wait_factor: 150,
            request_sends_max: 5,
            joint_trial_after: Duration::from_secs(60),
            memory: Duration::from_secs(24 * 3_600),
            release_memory: Duration::from_secs(600),
            records_max: 256,
        }
    }
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// Nothing of it is held.
    Clear,
    /// Something of it is held, and a trial of that is due if it is permitted for this round.
    TrialDue {
        /// What is held.
        suspect: Suspect,
        /// Round that the trial would end.
        round: u32,
    },
    /// This is held.
    Held(Suspect),
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

impl Entry {
    /// Returns whether a copy of a held request may be sent once more, ever.
    fn may_try_request(&self, settings: &QuarantineSettings) -> bool {
        // Of several requests only one may be the cause.
        let trials_min = u32::from(self.is_ambiguous);
        let trials_max = settings
            .request_sends_max
            .saturating_sub(self.crashes.into())
            .max(trials_min);
        self.trials < trials_max
    }
}

/// Maximum length of a part's identifier in records.
const PART_ID_MAX_BYTES: usize = 64;

/// Suspects that are kept from engines, and those released lately.
#[derive(Debug, Default)]
pub struct Quarantine {
    settings: QuarantineSettings,
    entries: HashMap<Suspect, Entry>,
}

impl Quarantine {
    /// Creates an empty table.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
        }
    }

    /// Returns what may be done with a request with these suspects.
    pub fn verdict(&self, suspects: &[Suspect], now: Instant) -> QuarantineVerdict {
        if self.entries.is_empty() {
            return QuarantineVerdict::Clear;
        }
        let mut held = suspects.iter().filter(|suspect| self.is_held(**suspect));
        match (held.next(), held.next()) {
            (None, _) => QuarantineVerdict::Clear,
            // A crash would not tell which of them caused it, so requests with one come first.
            (Some(first), Some(_)) => self.verdict_on(*first, self.settings.joint_trial_after, now),
            (Some(first), None) => self.verdict_on(*first, Duration::ZERO, now),
        }
    }

    /// Returns whether requests with a suspect are kept from engines.
    pub fn is_held(&self, suspect: Suspect) -> bool {
        self.entries
            .get(&suspect)
            .is_some_and(|entry| entry.is_held)
    }

    /// Returns whether anything is held.
    pub fn has_held(&self) -> bool {
        self.entries.values().any(|entry| entry.is_held)
    }

    /// Returns the number of held suspects.
    pub fn held_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_held).count()
    }

    /// Returns the identifier of a part, if it is known.
    pub fn part_id(&self, suspect: Suspect) -> Option<&str> {
        self.entries.get(&suspect)?.part_id.as_deref()
    }

    /// Sets the identifier of a held part if it is not known; returns whether it was not.
    pub fn name(&mut self, suspect: Suspect, id: &str) -> bool {
        let entry = self.entries.get_mut(&suspect);
        let unnamed = entry.filter(|entry| entry.is_held && entry.part_id.is_none());
        match unnamed.filter(|_| id.len() <= PART_ID_MAX_BYTES) {
            Some(entry) => {
                entry.part_id = Some(id.to_owned());
                true
            }
            None => false,
        }
    }

    /// Holds a suspect; returns the new record, or `None` if it is held already.
    pub fn hold(
        &mut self,
        conclusion: &Conclusion,
        part_id: Option<&str>,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let known = self.entries.get(&conclusion.suspect);
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
            // Of several suspects only one may be the cause, and the others are needed.
            trial_wait: match conclusion.is_ambiguous {
                true => Duration::ZERO,
                false => self.settings.first_trial_after,
            },
            since: now,
        };
        self.entries.insert(conclusion.suspect, entry);
        self.record(conclusion.suspect, now)
    }

    /// Permits one trial of a suspect if it is due in this round, and puts the next one off; returns the
    /// new record.
    pub fn permit_trial(
        &mut self,
        suspect: Suspect,
        round: u32,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        if self.due_trial(suspect, Duration::ZERO, now) != Some(round) {
            return None;
        }
        let settings = self.settings;
        let entry = self.entries.get_mut(&suspect)?;
        entry.round += 1;
        entry.trials += 1;
        entry.since = now;
        let factor = match suspect.kind() {
            SuspectKind::Part => settings.trial_wait_factor,
            SuspectKind::Request => settings.request_trial_wait_factor,
        };
        let factor = factor.saturating_pow(entry.trials);
        let wait = settings.first_trial_after.saturating_mul(factor);
        entry.trial_wait = wait.min(settings.trial_wait_max);
        self.record(suspect, now)
    }

    /// Records that the trial of this round reached no engine, so that another one follows soon;
    /// returns the new record.
    pub fn return_trial(
        &mut self,
        suspect: Suspect,
        round: u32,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let entry = self.entries.get_mut(&suspect)?;
        if !entry.is_held || entry.round != round || entry.trials == 0 {
            return None;
        }
        entry.round += 1;
        entry.trials -= 1;
        entry.since = now;
        entry.trial_wait = self.settings.returned_trial_wait;
        self.record(suspect, now)
    }

    /// Releases a suspect; returns the new record, or `None` if it is not held.
    pub fn release(&mut self, suspect: Suspect, now: Instant) -> Option<QuarantineRecord> {
        let entry = self.entries.get_mut(&suspect)?;
        if !entry.is_held {
            return None;
        }
        entry.round += 1;
        entry.is_held = false;
        entry.since = now;
        self.record(suspect, now)
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
        match self.entries.get_mut(&record.suspect()) {
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
                self.entries.insert(record.suspect(), received);
                true
            }
        }
    }

    /// Returns the records of all suspects.
    pub fn records(&self, now: Instant) -> Vec<QuarantineRecord> {
        let suspects = self.entries.keys();
        suspects
            .filter_map(|suspect| self.record(*suspect, now))
            .collect()
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

    /// Returns the record of a suspect.
    pub fn record(&self, suspect: Suspect, now: Instant) -> Option<QuarantineRecord> {
        let entry = self.entries.get(&suspect)?;
        Some(QuarantineRecord {
            hash: suspect.hash(),
            kind: suspect.kind(),
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
        suspect: Suspect,
        trial_wait_min: Duration,
        now: Instant,
    ) -> QuarantineVerdict {
        match self.due_trial(suspect, trial_wait_min, now) {
            Some(round) => QuarantineVerdict::TrialDue { suspect, round },
            None => QuarantineVerdict::Held(suspect),
        }
    }

    /// Returns the current round of a held suspect if a trial is due.
    fn due_trial(&self, suspect: Suspect, wait_min: Duration, now: Instant) -> Option<u32> {
        let entry = self.entries.get(&suspect).filter(|entry| entry.is_held)?;
        if suspect.kind() == SuspectKind::Request && !entry.may_try_request(&self.settings) {
            return None;
        }
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
        if let Some(suspect) = oldest.map(|(suspect, _)| *suspect) {
            self.entries.remove(&suspect);
        }
    }
}

//! Keeps requests that crash engines from further engines: what one VM knows and tells the others.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::evidence::{Conclusion, CrashEvidence, Strike};
use super::news::{CrashNews, Outbox, RECORDS_PER_MESSAGE_MAX};
use super::quarantine::{Quarantine, QuarantineVerdict};
use super::record::QuarantineRecord;
use super::suspect::{Suspect, SuspectKind};
use super::watch::{BrokenConnection, CrashWatch, InterruptedRun};
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;

/// Maximum number of identifiers of suspected parts that are kept for the log.
const PART_IDS_MAX: usize = 4_096;

/// Change of the state of a suspect, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// New state.
    pub record: QuarantineRecord,
    /// Crashes that led to it at this VM: processes, each with the time since its crash.
    pub crashes: Vec<(ProcessHash, Duration)>,
}

/// Crashes, the evidence that they give, and what is held for them.
#[derive(Debug, Default)]
pub struct CrashGuard {
    watch: CrashWatch,
    evidence: CrashEvidence,
    quarantine: Quarantine,
    outbox: Outbox,
    /// Identifiers of parts that were at crashed engines.
    part_ids: HashMap<Suspect, String>,
    /// Suspects whose state the store does not have.
    unstored: HashSet<Suspect>,
}

impl CrashGuard {
    /// Returns the table of what is held.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns what may be done with a request with these suspects.
    pub fn verdict(&self, suspects: &[Suspect], now: Instant) -> QuarantineVerdict {
        self.quarantine.verdict(suspects, now)
    }

    /// Returns whether a request whose attempt at a process broke may crash another engine: one of
    /// its suspects is held, or has no known answer and was at another crash.
    pub fn is_suspected(&self, suspects: &[Suspect], process: ProcessHash) -> bool {
        suspects.iter().any(|suspect| {
            self.quarantine.is_held(*suspect) || self.evidence.is_suspected(*suspect, process)
        })
    }

    /// Records that the connection of a request to a process broke; `part_ids` are the identifiers
    /// of the suspects that are parts.
    pub fn record_broken<'a>(
        &mut self,
        process: ProcessHash,
        run: InterruptedRun,
        part_ids: impl Iterator<Item = (Suspect, &'a str)>,
        now: Instant,
    ) -> BrokenConnection {
        for (part, id) in part_ids {
            if self.part_ids.len() < PART_IDS_MAX && !self.part_ids.contains_key(&part) {
                self.part_ids.insert(part, id.to_owned());
            }
        }
        let broken = self.watch.record_broken(process, run.clone(), now);
        if broken == BrokenConnection::Crashed {
            self.record_strikes(process, &[run], now);
        }
        broken
    }

    /// Records that a process still listens.
    pub fn record_listening(&mut self, process: ProcessHash) {
        self.watch.record_listening(process);
    }

    /// Records that a process has crashed; returns the number of requests that it had.
    pub fn record_crash(&mut self, process: ProcessHash) -> usize {
        let Some((crashed_at, runs)) = self.watch.record_crash(process) else {
            return 0;
        };
        self.record_strikes(process, &runs, crashed_at);
        runs.len()
    }

    /// Records that a request ran to its end; returns the change, if copies of it were held.
    ///
    /// Its parts are cleared only once the engine has lived on.
    pub fn record_end(
        &mut self,
        process: ProcessHash,
        run: &InterruptedRun,
        now: Instant,
    ) -> Option<QuarantineChange> {
        self.watch.record_end(process, run, now);
        let mut suspects = run.suspects.iter();
        let request = *suspects.find(|suspect| suspect.kind() == SuspectKind::Request)?;
        self.record_answer(request, now, now)
    }

    /// Permits one trial of a suspect if it is due in this round; returns the new state.
    pub fn permit_trial(
        &mut self,
        suspect: Suspect,
        round: u32,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let record = self.quarantine.permit_trial(suspect, round, now)?;
        self.tell_record(suspect);
        Some(record)
    }

    /// Records that a trial reached no engine; returns the new state.
    pub fn return_trial(
        &mut self,
        suspect: Suspect,
        round: u32,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let record = self.quarantine.return_trial(suspect, round, now)?;
        self.tell_record(suspect);
        Some(record)
    }

    /// Releases a suspect; returns the new state, or `None` if it is not held.
    pub fn release(&mut self, suspect: Suspect, now: Instant) -> Option<QuarantineChange> {
        let record = self.quarantine.release(suspect, now)?;
        self.tell_record(suspect);
        let crashes = Vec::new();
        Some(QuarantineChange { record, crashes })
    }

    /// Sets the identifier of a held part if it is not known, as where only another VM had requests
    /// with it; returns the change.
    pub fn name_held(
        &mut self,
        suspect: Suspect,
        id: &str,
        now: Instant,
    ) -> Option<QuarantineChange> {
        if !self.quarantine.name(suspect, id) {
            return None;
        }
        self.tell_record(suspect);
        self.change(suspect, now)
    }

    /// Applies news of another VM and, if this VM forwards news, tells what it did not know.
    pub fn apply(
        &mut self,
        news: &CrashNews,
        forwards: bool,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let since = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        for strike in &news.strikes {
            let strike = Strike {
                suspect: strike.suspect,
                process: strike.process,
                at: since(strike.age_ms),
                began_at: since(strike.age_ms.saturating_add(strike.ran_ms)),
                is_proven: strike.is_proven,
            };
            if self.record_strike(strike) && forwards {
                self.outbox.push_strike(strike);
            }
        }
        let mut changes = Vec::new();
        for answer in &news.answers {
            let at = since(answer.age_ms);
            let was_suspect = self.evidence.record_answer(answer.suspect, at);
            if was_suspect && forwards {
                self.outbox.push_answer(answer.suspect, at);
            }
        }
        for record in &news.records {
            if self.merge(record, now) {
                if forwards {
                    self.outbox.push_record(record.suspect());
                }
                changes.extend(self.change(record.suspect(), now));
            }
        }
        changes
    }

    /// Applies a record of the store; returns the change, if it replaces what this VM knew.
    pub fn apply_stored(
        &mut self,
        record: &QuarantineRecord,
        now: Instant,
    ) -> Option<QuarantineChange> {
        if !self.merge(record, now) {
            return None;
        }
        self.unstored.remove(&record.suspect());
        self.outbox.push_record(record.suspect());
        self.change(record.suspect(), now)
    }

    /// Draws conclusions and drops old knowledge; returns the changes.
    pub fn tick(&mut self, now: Instant) -> Vec<QuarantineChange> {
        self.watch.sweep(now);
        self.evidence.sweep(now);
        self.quarantine.sweep(now);
        if self.evidence.is_empty() {
            self.part_ids.clear();
        }
        let mut changes = Vec::new();
        for (suspects, ended_at) in self.watch.take_survived(now) {
            for suspect in suspects.iter() {
                changes.extend(self.record_answer(*suspect, ended_at, now));
            }
        }
        for conclusion in self.evidence.conclude(now) {
            changes.extend(self.hold(&conclusion, now));
        }
        changes
    }

    /// Returns the next message; the items of earlier ones are repeated a few times.
    pub fn next_news(&mut self, now: Instant) -> CrashNews {
        self.outbox.next_news(&self.quarantine, now)
    }

    /// Returns whether there is news to send.
    pub fn has_news(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Tells the states of all parts once more, for VMs that have missed them.
    pub fn repeat_records(&mut self, now: Instant) {
        for record in self.quarantine.records(now) {
            self.outbox.repeat_record(record.suspect());
        }
    }

    /// Returns the states of all parts, as messages.
    pub fn all_records(&self, now: Instant) -> Vec<CrashNews> {
        let records = self.quarantine.records(now);
        let messages = records.chunks(RECORDS_PER_MESSAGE_MAX);
        let message = |records: &[QuarantineRecord]| CrashNews {
            records: records.to_vec(),
            ..CrashNews::default()
        };
        messages.map(message).collect()
    }

    /// Returns the states that the store does not have yet.
    pub fn unstored(&self, now: Instant) -> Vec<QuarantineRecord> {
        let suspects = self.unstored.iter();
        suspects
            .filter_map(|suspect| self.quarantine.record(*suspect, now))
            .collect()
    }

    /// Records that the store has a state.
    pub fn record_stored(&mut self, record: &QuarantineRecord, now: Instant) {
        let current = self.quarantine.record(record.suspect(), now);
        if current.is_none_or(|current| current.round <= record.round) {
            self.unstored.remove(&record.suspect());
        }
    }

    /// Records that the store may have lost all states.
    pub fn record_store_lost(&mut self, now: Instant) {
        let records = self.quarantine.records(now).into_iter();
        let held = records.filter(|record| record.is_held);
        self.unstored.extend(held.map(|record| record.suspect()));
    }

    /// Returns whether the store was told of the state of a suspect.
    pub fn is_stored(&self, suspect: Suspect) -> bool {
        !self.unstored.contains(&suspect)
    }

    fn record_strikes(
        &mut self,
        process: ProcessHash,
        runs: &[InterruptedRun],
        crashed_at: Instant,
    ) {
        let mut latest: HashMap<Suspect, Instant> = HashMap::new();
        for run in runs {
            for suspect in run.suspects.iter() {
                let began_at = latest.entry(*suspect).or_insert(run.began_at);
                *began_at = run.began_at.max(*began_at);
            }
        }
        for (suspect, began_at) in latest {
            let strike = Strike {
                suspect,
                process,
                at: crashed_at,
                began_at,
                is_proven: self.evidence.is_proven(suspect),
            };
            if self.record_strike(strike) {
                self.outbox.push_strike(strike);
            }
        }
    }

    /// Records a complete answer; returns the change, if the suspect was held.
    fn record_answer(
        &mut self,
        suspect: Suspect,
        at: Instant,
        now: Instant,
    ) -> Option<QuarantineChange> {
        if self.evidence.record_answer(suspect, at) {
            self.outbox.push_answer(suspect, at);
        }
        self.release(suspect, now)
    }

    /// Records a strike, unless a held suspect explains the crash; returns whether it is news.
    fn record_strike(&mut self, strike: Strike) -> bool {
        if self.quarantine.is_held(strike.suspect) {
            self.evidence.record_explained(strike.process);
            return false;
        }
        self.evidence.record_strike(strike)
    }

    fn hold(&mut self, conclusion: &Conclusion, now: Instant) -> Option<QuarantineChange> {
        let part_id = self.part_ids.get(&conclusion.suspect);
        let record = self
            .quarantine
            .hold(conclusion, part_id.map(String::as_str), now)?;
        self.tell_record(conclusion.suspect);
        let crashes = conclusion.crashes.iter();
        Some(QuarantineChange {
            record,
            crashes: crashes
                .map(|(process, at)| (*process, now.saturating_sub(*at)))
                .collect(),
        })
    }

    fn merge(&mut self, record: &QuarantineRecord, now: Instant) -> bool {
        let is_newer = self.quarantine.merge(record, now);
        if is_newer {
            self.unstored.insert(record.suspect());
            if record.is_held && record.kind == SuspectKind::Request {
                self.evidence.record_held_request(record.suspect());
            }
            if !record.is_held {
                // The operator or a complete answer has cleared it.
                self.evidence.record_answer(record.suspect(), now);
            }
        }
        is_newer
    }

    fn change(&self, suspect: Suspect, now: Instant) -> Option<QuarantineChange> {
        let record = self.quarantine.record(suspect, now)?;
        let crashes = Vec::new();
        Some(QuarantineChange { record, crashes })
    }

    fn tell_record(&mut self, suspect: Suspect) {
        self.unstored.insert(suspect);
        self.outbox.push_record(suspect);
    }
}

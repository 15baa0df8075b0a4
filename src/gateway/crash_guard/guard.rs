//! Keeps requests that crash engines from further engines: what one VM knows and tells the others.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::evidence::{Conclusion, CrashEvidence, Strike};
use super::news::{CrashNews, Outbox, RECORDS_PER_MESSAGE_MAX};
use super::quarantine::{Quarantine, QuarantineRecord, QuarantineVerdict};
use super::watch::{BrokenConnection, CrashWatch};
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;
use crate::gateway::prompt::PartHash;

/// Maximum number of identifiers of suspected parts that are kept for the log.
const PART_IDS_MAX: usize = 4_096;

/// Change of a part's state, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// New state.
    pub record: QuarantineRecord,
    /// Crashes that led to it at this VM: processes, each with the time since its crash.
    pub crashes: Vec<(ProcessHash, Duration)>,
}

/// Crashes, the evidence that they give, and the parts held for them.
#[derive(Debug, Default)]
pub struct CrashGuard {
    watch: CrashWatch,
    evidence: CrashEvidence,
    quarantine: Quarantine,
    outbox: Outbox,
    /// Identifiers of parts that were at crashed engines.
    part_ids: HashMap<PartHash, String>,
    /// Parts whose state the store does not have.
    unstored: HashSet<PartHash>,
}

impl CrashGuard {
    /// Returns the table of held parts.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns what may be done with a request with these parts.
    pub fn verdict(&self, parts: &[PartHash], now: Instant) -> QuarantineVerdict {
        self.quarantine.verdict(parts, now)
    }

    /// Returns whether a request whose attempt at a process broke may crash another engine: one of
    /// its parts is held, or has no known answer and was at another crash.
    pub fn is_suspected(&self, parts: &[PartHash], process: ProcessHash) -> bool {
        parts.iter().any(|part| {
            self.quarantine.is_held(*part) || self.evidence.is_suspected(*part, process)
        })
    }

    /// Records that the connection of a request to a process broke.
    pub fn record_broken<'a>(
        &mut self,
        process: ProcessHash,
        parts: &Arc<[PartHash]>,
        part_ids: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> BrokenConnection {
        for (part, id) in parts.iter().zip(part_ids) {
            if self.part_ids.len() < PART_IDS_MAX && !self.part_ids.contains_key(part) {
                self.part_ids.insert(*part, id.to_owned());
            }
        }
        let broken = self.watch.record_broken(process, parts, now);
        if broken == BrokenConnection::Crashed {
            self.record_strikes(process, std::slice::from_ref(parts), now);
        }
        broken
    }

    /// Records that a process still listens.
    pub fn record_listening(&mut self, process: ProcessHash) {
        self.watch.record_listening(process);
    }

    /// Records that a process has crashed; returns the number of requests that it had.
    pub fn record_crash(&mut self, process: ProcessHash, now: Instant) -> usize {
        let requests = self.watch.record_crash(process);
        self.record_strikes(process, &requests, now);
        requests.len()
    }

    /// Records that a request ran to its end.
    pub fn record_end(&mut self, process: ProcessHash, parts: &Arc<[PartHash]>, now: Instant) {
        self.watch.record_end(process, parts, now);
    }

    /// Permits one trial of a part if it is due in this round; returns the new state.
    pub fn permit_trial(
        &mut self,
        part: PartHash,
        round: u32,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let record = self.quarantine.permit_trial(part, round, now)?;
        self.tell_record(part);
        Some(record)
    }

    /// Records that a trial reached no engine; returns the new state.
    pub fn return_trial(
        &mut self,
        part: PartHash,
        round: u32,
        now: Instant,
    ) -> Option<QuarantineRecord> {
        let record = self.quarantine.return_trial(part, round, now)?;
        self.tell_record(part);
        Some(record)
    }

    /// Releases a part; returns the new state, or `None` if it is not held.
    pub fn release(&mut self, part: PartHash, now: Instant) -> Option<QuarantineChange> {
        let record = self.quarantine.release(part, now)?;
        self.tell_record(part);
        let crashes = Vec::new();
        Some(QuarantineChange { record, crashes })
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
                part: strike.part,
                process: strike.process,
                at: since(strike.age_ms),
                is_proven: strike.is_proven,
            };
            if self.record_strike(strike) && forwards {
                self.outbox.push_strike(strike);
            }
        }
        let mut changes = Vec::new();
        for answer in &news.answers {
            let at = since(answer.age_ms);
            let was_suspect = self.evidence.record_answer(answer.part, at);
            if was_suspect && forwards {
                self.outbox.push_answer(answer.part, at);
            }
        }
        for record in &news.records {
            if self.merge(record, now) {
                if forwards {
                    self.outbox.push_record(record.part);
                }
                changes.extend(self.change(record.part, now));
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
        self.unstored.remove(&record.part);
        self.outbox.push_record(record.part);
        self.change(record.part, now)
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
        for (parts, ended_at) in self.watch.take_survived(now) {
            for part in parts.iter() {
                if self.evidence.record_answer(*part, ended_at) {
                    self.outbox.push_answer(*part, ended_at);
                }
                changes.extend(self.release(*part, now));
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
            self.outbox.repeat_record(record.part);
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
        let parts = self.unstored.iter();
        parts
            .filter_map(|part| self.quarantine.record(*part, now))
            .collect()
    }

    /// Records that the store has a state.
    pub fn record_stored(&mut self, record: &QuarantineRecord, now: Instant) {
        let current = self.quarantine.record(record.part, now);
        if current.is_none_or(|current| current.round <= record.round) {
            self.unstored.remove(&record.part);
        }
    }

    /// Records that the store may have lost all states.
    pub fn record_store_lost(&mut self, now: Instant) {
        let records = self.quarantine.records(now).into_iter();
        let held = records.filter(|record| record.is_held);
        self.unstored.extend(held.map(|record| record.part));
    }

    /// Returns whether the store was told of a part's state.
    pub fn is_stored(&self, part: PartHash) -> bool {
        !self.unstored.contains(&part)
    }

    fn record_strikes(&mut self, process: ProcessHash, requests: &[Arc<[PartHash]>], now: Instant) {
        let parts: HashSet<PartHash> = requests
            .iter()
            .flat_map(|parts| parts.iter())
            .copied()
            .collect();
        for part in parts {
            let strike = Strike {
                part,
                process,
                at: now,
                is_proven: self.evidence.is_proven(part),
            };
            if self.record_strike(strike) {
                self.outbox.push_strike(strike);
            }
        }
    }

    /// Records a strike, unless a held part explains the crash; returns whether it is news.
    fn record_strike(&mut self, strike: Strike) -> bool {
        if self.quarantine.is_held(strike.part) {
            self.evidence.record_explained(strike.process);
            return false;
        }
        self.evidence.record_strike(strike)
    }

    fn hold(&mut self, conclusion: &Conclusion, now: Instant) -> Option<QuarantineChange> {
        let part_id = self.part_ids.get(&conclusion.part);
        let record = self
            .quarantine
            .hold(conclusion, part_id.map(String::as_str), now)?;
        self.tell_record(conclusion.part);
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
            self.unstored.insert(record.part);
            if !record.is_held {
                // The operator or a complete answer has cleared it.
                self.evidence.record_answer(record.part, now);
            }
        }
        is_newer
    }

    fn change(&self, part: PartHash, now: Instant) -> Option<QuarantineChange> {
        let record = self.quarantine.record(part, now)?;
        let crashes = Vec::new();
        Some(QuarantineChange { record, crashes })
    }

    fn tell_record(&mut self, part: PartHash) {
        self.unstored.insert(part);
        self.outbox.push_record(part);
    }
}

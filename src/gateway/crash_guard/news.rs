//! News about crashes that VMs send each other.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::evidence::Strike;
use super::quarantine::Quarantine;
use super::record::QuarantineRecord;
use super::suspect::Suspect;
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;

/// Number of messages in which an item is repeated, as datagrams may be lost.
const REPEATS: u32 = 3;
/// Maximum number of strikes in one message, which then fits a datagram with the other items.
const STRIKES_PER_MESSAGE_MAX: usize = 200;
/// Maximum number of answers in one message.
const ANSWERS_PER_MESSAGE_MAX: usize = 64;
/// Maximum number of records in one message.
pub(in crate::gateway) const RECORDS_PER_MESSAGE_MAX: usize = 16;
/// Maximum number of items of one kind that wait; the oldest are dropped.
const WAITING_MAX: usize = 2_000;

/// Crash of a process that had a request with a suspect, in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StrikeNews {
    /// What the request had.
    pub suspect: Suspect,
    /// Process that crashed.
    pub process: ProcessHash,
    /// Time since the crash.
    pub age_ms: u32,
    /// Time from the send of the latest such request to the crash.
    pub ran_ms: u32,
    /// Whether a VM knows of complete answers to the suspect.
    pub is_proven: bool,
}

/// Complete answer that clears a suspect, in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerNews {
    /// What the request had.
    pub suspect: Suspect,
    /// Time since the end of the answer.
    pub age_ms: u32,
}

/// What a VM tells others about crashes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct CrashNews {
    /// Crashes held against suspects.
    pub strikes: Vec<StrikeNews>,
    /// Answers that clear suspects.
    pub answers: Vec<AnswerNews>,
    /// States of suspects that are or were held.
    pub records: Vec<QuarantineRecord>,
}

impl CrashNews {
    /// Returns whether the message says nothing.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty() && self.answers.is_empty() && self.records.is_empty()
    }
}

/// Item of news with the number of messages that it is still to be part of.
type Waiting<T> = VecDeque<(T, u32)>;

/// News that is to be sent.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Outbox {
    strikes: Waiting<Strike>,
    answers: Waiting<(Suspect, Instant)>,
    records: Waiting<Suspect>,
}

impl Outbox {
    pub(in crate::gateway) fn push_strike(&mut self, strike: Strike) {
        push_waiting(&mut self.strikes, strike);
    }

    pub(in crate::gateway) fn push_answer(&mut self, suspect: Suspect, at: Instant) {
        push_waiting(&mut self.answers, (suspect, at));
    }

    pub(in crate::gateway) fn push_record(&mut self, suspect: Suspect) {
        self.records.retain(|(known, _)| *known != suspect);
        push_waiting(&mut self.records, suspect);
    }

    /// Tells a record once more.
    pub(in crate::gateway) fn repeat_record(&mut self, suspect: Suspect) {
        if !self.records.iter().any(|(known, _)| *known == suspect) {
            self.records.push_back((suspect, 1));
        }
    }

    pub(in crate::gateway) fn is_empty(&self) -> bool {
        self.strikes.is_empty() && self.answers.is_empty() && self.records.is_empty()
    }

    /// Returns the next message; the items of earlier ones are repeated a few times.
    pub(in crate::gateway) fn next_news(
        &mut self,
        quarantine: &Quarantine,
        now: Instant,
    ) -> CrashNews {
        let age_ms = |at: Instant| now.saturating_sub(at).as_millis() as u32;
        let strikes = take_waiting(&mut self.strikes, STRIKES_PER_MESSAGE_MAX);
        let answers = take_waiting(&mut self.answers, ANSWERS_PER_MESSAGE_MAX);
        let records = take_waiting(&mut self.records, RECORDS_PER_MESSAGE_MAX);
        CrashNews {
            strikes: strikes
                .into_iter()
                .map(|strike| StrikeNews {
                    suspect: strike.suspect,
                    process: strike.process,
                    age_ms: age_ms(strike.at),
                    ran_ms: strike.at.saturating_sub(strike.began_at).as_millis() as u32,
                    is_proven: strike.is_proven,
                })
                .collect(),
            answers: answers
                .into_iter()
                .map(|(suspect, at)| AnswerNews {
                    suspect,
                    age_ms: age_ms(at),
                })
                .collect(),
            records: records
                .into_iter()
                .filter_map(|suspect| quarantine.record(suspect, now))
                .collect(),
        }
    }
}

fn push_waiting<T>(waiting: &mut Waiting<T>, item: T) {
    if waiting.len() >= WAITING_MAX {
        waiting.pop_front();
    }
    waiting.push_back((item, REPEATS));
}

/// Takes items for one message; those with repeats left go to the back.
fn take_waiting<T: Clone>(waiting: &mut Waiting<T>, max: usize) -> Vec<T> {
    let mut taken = Vec::new();
    for _ in 0..waiting.len().min(max) {
        if let Some((item, repeats)) = waiting.pop_front() {
            taken.push(item.clone());
            if repeats > 1 {
                waiting.push_back((item, repeats - 1));
            }
        }
    }
    taken
}

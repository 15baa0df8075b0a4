//! Finds the part of their prompts that engines which crashed had in common.
//!
//! Each crash is a group test: one of the parts that were at the engine may have caused it. A part
//! that a completed answer contains is harmless, whatever it was beside. Of the others, a part is
//! concluded to crash engines once it was at several crashes and no answer to it came since. A crash
//! that a concluded part explains says nothing about the parts beside it. Neither do crashes of
//! several engines at once, unless the part was at nearly all of them: their cause is elsewhere.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;
use crate::gateway::prompt::PartHash;
use crate::route::GenerationalMap;

/// Thresholds of [`CrashEvidence`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashEvidenceSettings {
    /// Thresholds for a part to which no answer is known.
    pub unproven: CrashThresholds,
    /// Thresholds for a part to which answers were complete before.
    pub proven: CrashThresholds,
    /// Minimum time between two crashes that count as separate events; engines of one rack or host
    /// fail together.
    pub separate_after: Duration,
    /// Time after which a crash is no longer held against a part.
    pub memory: Duration,
    /// Maximum number of parts under suspicion.
    pub suspects_max: usize,
}

/// Evidence that is needed against one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashThresholds {
    /// Crashes of different processes.
    pub crashes: usize,
    /// Separate events among them.
    pub events: usize,
    /// Time after that in which a complete answer clears the part.
    pub settle_time: Duration,
}

impl Default for CrashEvidenceSettings {
    fn default() -> Self {
        Self {
            unproven: CrashThresholds {
                crashes: 3,
                events: 3,
                settle_time: Duration::from_millis(700),
            },
            proven: CrashThresholds {
                crashes: 5,
                events: 3,
                settle_time: Duration::from_millis(1_500),
            },
            separate_after: Duration::from_millis(100),
            memory: Duration::from_secs(600),
            suspects_max: 4_096,
        }
    }
}

/// Crash of a process that had a request with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// Part of the request's prompt.
    pub part: PartHash,
    /// Process that crashed.
    pub process: ProcessHash,
    /// Time of the crash.
    pub at: Instant,
    /// Whether the reporter knows of complete answers to the part.
    pub is_proven: bool,
}

/// Part that is concluded to crash engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conclusion {
    /// Part of prompts.
    pub part: PartHash,
    /// Processes that crashed with a request with the part, and when.
    pub crashes: Vec<(ProcessHash, Instant)>,
    /// Whether other parts were at the same crashes, of which only one may be the cause.
    pub is_ambiguous: bool,
}

/// One in this many crashes may lack a report of a part that was there.
const ALIKE_DIVISOR: usize = 4;
/// Maximum number of crashes remembered for one part; more add nothing to the evidence.
const CRASHES_PER_PART_MAX: usize = 32;
/// Maximum number of explained crashes that are remembered.
const EXPLAINED_MAX: usize = 1_024;
/// Maximum number of crashed processes that are remembered.
const PROCESSES_MAX: usize = 1_024;
/// Number of parts with complete answers that are remembered.
const PROVEN_MAX: usize = 16_384;

/// Crashes held against parts of prompts.
#[derive(Debug)]
pub struct CrashEvidence {
    settings: CrashEvidenceSettings,
    suspects: HashMap<PartHash, Suspect>,
    /// Crashes that no concluded part explains, in the order in which they became known.
    processes: VecDeque<(ProcessHash, Instant)>,
    /// Crashes that a concluded part explains, oldest first.
    explained: VecDeque<ProcessHash>,
    proven: GenerationalMap<()>,
}

#[derive(Debug, Default)]
struct Suspect {
    /// Crashes since the last complete answer, in order of time.
    crashes: Vec<(ProcessHash, Instant)>,
    is_proven: bool,
}

impl Suspect {
    fn thresholds(&self, settings: &CrashEvidenceSettings) -> CrashThresholds {
        match self.is_proven {
            true => settings.proven,
            false => settings.unproven,
        }
    }

    /// Returns whether the evidence has been sufficient for long enough.
    ///
    /// `processes` are all crashes that are not explained.
    fn is_ripe(
        &self,
        settings: &CrashEvidenceSettings,
        processes: &VecDeque<(ProcessHash, Instant)>,
        now: Instant,
    ) -> bool {
        let thresholds = self.thresholds(settings);
        if self.crashes.len() < thresholds.crashes {
            return false;
        }
        let mut events = 0;
        let mut event_at = None;
        let alone = self
            .crashes
            .iter()
            .filter(|(_, at)| self.was_at_nearly_all(*at, processes, settings));
        for (number, (_, at)) in alone.enumerate() {
            let is_separate = |since: Instant| *at >= since + settings.separate_after;
            if event_at.is_none_or(is_separate) {
                events += 1;
                event_at = Some(*at);
            }
            if number + 1 >= thresholds.crashes && events >= thresholds.events {
                return now >= *at + thresholds.settle_time;
            }
        }
        false
    }

    /// Returns whether the part was at nearly all engines that crashed together with one of them.
    fn was_at_nearly_all(
        &self,
        crashed_at: Instant,
        processes: &VecDeque<(ProcessHash, Instant)>,
        settings: &CrashEvidenceSettings,
    ) -> bool {
        let is_together = |at: Instant| at.abs_diff(crashed_at) < settings.separate_after;
        let together = processes.iter().filter(|(_, at)| is_together(*at));
        let all = together.clone().count();
        let own = together
            .filter(|(process, _)| self.was_at(*process))
            .count();
        all - own <= own / ALIKE_DIVISOR
    }

    fn was_at(&self, process: ProcessHash) -> bool {
        self.crashes.iter().any(|(known, _)| *known == process)
    }

    /// Returns the number of crashes that both parts were at.
    fn crashes_shared_with(&self, other: &Self) -> usize {
        let shared = self.crashes.iter();
        shared.filter(|(process, _)| other.was_at(*process)).count()
    }
}

impl Default for CrashEvidence {
    fn default() -> Self {
        Self::new(CrashEvidenceSettings::default())
    }
}

impl CrashEvidence {
    /// Creates an empty table.
    pub fn new(settings: CrashEvidenceSettings) -> Self {
        Self {
            settings,
            suspects: HashMap::new(),
            processes: VecDeque::new(),
            explained: VecDeque::new(),
            proven: GenerationalMap::new(PROVEN_MAX),
        }
    }

    /// Returns whether complete answers to a part are known.
    pub fn is_proven(&self, part: PartHash) -> bool {
        let suspect = self.suspects.get(&part);
        self.proven.peek(part).is_some() || suspect.is_some_and(|suspect| suspect.is_proven)
    }

    /// Returns whether any part is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Holds a crash against a part; returns whether that is news.
    pub fn record_strike(&mut self, strike: Strike) -> bool {
        if self.explained.contains(&strike.process) {
            return false;
        }
        self.record_process(strike.process, strike.at);
        let is_proven = strike.is_proven || self.proven.peek(strike.part).is_some();
        if !self.suspects.contains_key(&strike.part) {
            self.make_room();
        }
        let suspect = self.suspects.entry(strike.part).or_default();
        suspect.is_proven |= is_proven;
        if suspect.was_at(strike.process) || suspect.crashes.len() >= CRASHES_PER_PART_MAX {
            return false;
        }
        suspect.crashes.push((strike.process, strike.at));
        suspect.crashes.sort_unstable_by_key(|(_, at)| *at);
        true
    }

    /// Records a complete answer to a part, which clears it of the crashes before; returns whether
    /// it was under suspicion.
    pub fn record_answer(&mut self, part: PartHash, at: Instant) -> bool {
        if self.proven.get_mut(part).is_none() {
            self.proven.insert(part, ());
        }
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return false;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|(_, crashed_at)| *crashed_at > at);
        suspect.is_proven = true;
        let is_cleared = suspect.crashes.len() < before;
        if suspect.crashes.is_empty() {
            self.suspects.remove(&part);
        }
        is_cleared
    }

    /// Records that a concluded part was at a crash, which says nothing about the parts beside it.
    pub fn record_explained(&mut self, process: ProcessHash) {
        if self.explained.contains(&process) {
            return;
        }
        if self.explained.len() >= EXPLAINED_MAX {
            self.explained.pop_front();
        }
        self.explained.push_back(process);
        self.processes.retain(|(known, _)| *known != process);
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|(known, _)| *known != process);
            !suspect.crashes.is_empty()
        });
    }

    /// Returns whether a part without any known answer was at the crash of another process.
    pub fn is_suspected(&self, part: PartHash, except: ProcessHash) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|suspect| {
            let mut others = suspect.crashes.iter();
            !suspect.is_proven && others.any(|(process, _)| *process != except)
        })
    }

    /// Draws the conclusions that the evidence permits, and removes the crashes that they explain.
    ///
    /// The part at most crashes comes first, and one without any known answer before others. Parts
    /// at nearly all of its crashes cannot be told from it and are concluded with it; those at fewer
    /// would need a second cause.
    pub fn conclude(&mut self, now: Instant) -> Vec<Conclusion> {
        let mut conclusions = Vec::new();
        while let Some(group) = self.ripest_group(now) {
            let is_ambiguous = group.len() > 1;
            let mut explained = HashSet::new();
            for part in group {
                let suspect = self.suspects.remove(&part).unwrap_or_default();
                explained.extend(suspect.crashes.iter().map(|(process, _)| *process));
                conclusions.push(Conclusion {
                    part,
                    crashes: suspect.crashes,
                    is_ambiguous,
                });
            }
            for process in explained {
                self.record_explained(process);
            }
        }
        conclusions
    }

    fn ripest_group(&self, now: Instant) -> Option<Vec<PartHash>> {
        let is_ripe = |suspect: &Suspect| suspect.is_ripe(&self.settings, &self.processes, now);
        let ripe: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_ripe(suspect))
            .collect();
        let rank = |part: PartHash, suspect: &Suspect| {
            (suspect.is_proven, usize::MAX - suspect.crashes.len(), part)
        };
        let (_, best) = ripe
            .iter()
            .min_by_key(|(part, suspect)| rank(**part, suspect))?;
        let shared_min = best.crashes.len() - best.crashes.len() / ALIKE_DIVISOR;
        let is_alike = |suspect: &Suspect| {
            suspect.is_proven == best.is_proven && suspect.crashes_shared_with(best) >= shared_min
        };
        let group = ripe.iter().filter(|(_, suspect)| is_alike(suspect));
        Some(group.map(|(part, _)| **part).collect())
    }

    /// Forgets old crashes.
    pub fn sweep(&mut self, now: Instant) {
        let memory = self.settings.memory;
        self.processes
            .retain(|(_, at)| now.saturating_sub(*at) < memory);
        self.suspects.retain(|_, suspect| {
            suspect
                .crashes
                .retain(|(_, at)| now.saturating_sub(*at) < memory);
            !suspect.crashes.is_empty()
        });
    }

    fn record_process(&mut self, process: ProcessHash, at: Instant) {
        if self.processes.iter().any(|(known, _)| *known == process) {
            return;
        }
        if self.processes.len() >= PROCESSES_MAX {
            self.processes.pop_front();
        }
        self.processes.push_back((process, at));
    }

    /// Removes an eighth of the suspects if the table is full: those with the fewest crashes, and of
    /// these the oldest.
    fn make_room(&mut self) {
        if self.suspects.len() < self.settings.suspects_max {
            return;
        }
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(part, suspect)| {
                let last_at = suspect.crashes.last().map(|(_, at)| *at);
                (suspect.crashes.len(), last_at, *part)
            })
            .collect();
        ranked.sort_unstable();
        for (_, _, part) in ranked.iter().take(self.settings.suspects_max.div_ceil(8)) {
            self.suspects.remove(part);
        }
    }
}

//! Finds what engines that crashed had in common: parts of prompts, or requests as a whole.
//!
//! Each crash is a group test: one of the suspects that were at the engine may have caused it. What
//! a completed answer contains is harmless, whatever it was beside. Of the others, one is concluded
//! to crash engines once it was at several crashes and no answer to it came since. A crash that a
//! concluded suspect explains says nothing about those beside it. Neither do crashes of several
//! engines at once, unless the suspect was at nearly all of them: their cause is elsewhere.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::charges::{ALIKE_DIVISOR, Charge, Charges};
use super::suspect::{Suspect, SuspectKind};
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;
use crate::route::GenerationalMap;

/// Thresholds of [`CrashEvidence`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashEvidenceSettings {
    /// Thresholds for a part to which no answer is known.
    pub unproven: CrashThresholds,
    /// Thresholds for a part to which answers were complete before.
    pub proven: CrashThresholds,
    /// Thresholds for a request. Earlier answers to copies count only since the first crash.
    pub request: CrashThresholds,
    /// Minimum time between two crashes that count as separate events; engines of one rack or host
    /// fail together.
    pub separate_after: Duration,
    /// Time after which a crash is no longer held against a suspect.
    pub memory: Duration,
    /// Maximum number of suspects.
    pub suspects_max: usize,
}

/// Evidence that is needed against one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashThresholds {
    /// Crashes of different processes.
    pub crashes: usize,
    /// Separate events among them.
    pub events: usize,
    /// Whether the crash of an engine that got the suspect after another crash is a separate event.
    ///
    /// Not for parts: in an outage, requests that fail are sent on to engines whose crash is not
    /// known yet, and some of them have the part.
    pub counts_chains: bool,
    /// Time after that in which a complete answer clears the suspect.
    pub settle_time: Duration,
}

impl Default for CrashEvidenceSettings {
    fn default() -> Self {
        let unproven = CrashThresholds {
            crashes: 3,
            events: 3,
            counts_chains: false,
            settle_time: Duration::from_millis(700),
        };
        Self {
            unproven,
            proven: CrashThresholds {
                crashes: 5,
                events: 3,
                counts_chains: false,
                settle_time: Duration::from_millis(1_500),
            },
            request: CrashThresholds {
                counts_chains: true,
                ..unproven
            },
            separate_after: Duration::from_millis(100),
            memory: Duration::from_secs(600),
            suspects_max: 4_096,
        }
    }
}

/// Crash of a process that had a request with a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// What the request had.
    pub suspect: Suspect,
    /// Process that crashed.
    pub process: ProcessHash,
    /// Time of the crash.
    pub at: Instant,
    /// Time at which the latest such request was sent to the process.
    pub began_at: Instant,
    /// Whether the reporter knows of complete answers to the suspect.
    pub is_proven: bool,
}

/// Suspect that is concluded to crash engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conclusion {
    /// What crashes engines.
    pub suspect: Suspect,
    /// Processes that crashed with it, and when.
    pub crashes: Vec<(ProcessHash, Instant)>,
    /// Whether other suspects were at the same crashes, of which only one may be the cause.
    pub is_ambiguous: bool,
}

/// Maximum number of crashes remembered for one suspect; more add nothing to the evidence.
const CRASHES_PER_SUSPECT_MAX: usize = 32;
/// Maximum number of explained crashes that are remembered.
const EXPLAINED_MAX: usize = 1_024;
/// Maximum number of crashed processes that are remembered.
const PROCESSES_MAX: usize = 1_024;
/// Number of parts with complete answers that are remembered.
const PROVEN_MAX: usize = 16_384;

/// Crashes held against suspects.
#[derive(Debug)]
pub struct CrashEvidence {
    settings: CrashEvidenceSettings,
    suspects: HashMap<Suspect, Charges>,
    /// Crashes that no concluded suspect explains, in the order in which they became known.
    processes: VecDeque<(ProcessHash, Instant)>,
    /// Crashes that a concluded suspect explains, oldest first.
    explained: VecDeque<ProcessHash>,
    /// Parts with complete answers.
    proven: GenerationalMap<()>,
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

    /// Returns whether complete answers to a suspect are known.
    pub fn is_proven(&self, suspect: Suspect) -> bool {
        let charges = self.suspects.get(&suspect);
        self.is_proven_part(suspect) || charges.is_some_and(|charges| charges.is_proven)
    }

    /// Returns whether nothing is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Holds a crash against a suspect; returns whether that is news.
    pub fn record_strike(&mut self, strike: Strike) -> bool {
        if self.explained.contains(&strike.process) {
            return false;
        }
        self.record_process(strike.process, strike.at);
        let is_proven = strike.is_proven || self.is_proven_part(strike.suspect);
        if !self.suspects.contains_key(&strike.suspect) {
            self.make_room();
        }
        let charges = self.suspects.entry(strike.suspect).or_default();
        charges.is_proven |= is_proven;
        let crashes = &mut charges.crashes;
        let known = crashes
            .iter_mut()
            .find(|charge| charge.process == strike.process);
        if let Some(known) = known {
            known.began_at = known.began_at.max(strike.began_at);
            return false;
        }
        if crashes.len() >= CRASHES_PER_SUSPECT_MAX {
            return false;
        }
        crashes.push(Charge {
            process: strike.process,
            at: strike.at,
            began_at: strike.began_at,
            is_explained: false,
        });
        crashes.sort_unstable_by_key(|charge| charge.at);
        true
    }

    /// Records a complete answer to a suspect, which clears it of the crashes before; returns whether
    /// it was under suspicion.
    pub fn record_answer(&mut self, suspect: Suspect, at: Instant) -> bool {
        // Most requests have no copy, and would displace the parts.
        if suspect.kind() == SuspectKind::Part && self.proven.get_mut(suspect.hash()).is_none() {
            self.proven.insert(suspect.hash(), ());
        }
        let Some(charges) = self.suspects.get_mut(&suspect) else {
            return false;
        };
        let before = charges.crashes.len();
        charges.crashes.retain(|charge| charge.at > at);
        charges.is_proven = true;
        let is_cleared = charges.crashes.len() < before;
        if charges.crashes.is_empty() {
            self.suspects.remove(&suspect);
        }
        is_cleared
    }

    /// Records that a concluded suspect was at a crash, which says nothing about those beside it.
    pub fn record_explained(&mut self, process: ProcessHash) {
        if self.explained.contains(&process) {
            return;
        }
        if self.explained.len() >= EXPLAINED_MAX {
            self.explained.pop_front();
        }
        self.explained.push_back(process);
        self.processes.retain(|(known, _)| *known != process);
        self.suspects.retain(|_, charges| {
            charges.crashes.retain(|charge| charge.process != process);
            !charges.crashes.is_empty()
        });
    }

    /// Returns whether a suspect without any known answer was at the crash of another process.
    pub fn is_suspected(&self, suspect: Suspect, except: ProcessHash) -> bool {
        let charges = self.suspects.get(&suspect);
        charges.is_some_and(|charges| {
            let mut others = charges.crashes.iter();
            !charges.is_proven && others.any(|charge| charge.process != except)
        })
    }

    /// Draws the conclusions that the evidence permits, and removes the crashes that they explain.
    ///
    /// The suspect at most crashes comes first, one without any known answer before others, and a
    /// request before a part that was at the same crashes: others share the part. Suspects at nearly
    /// all of its crashes cannot be told from it and are concluded with it; those at fewer would
    /// need a second cause.
    pub fn conclude(&mut self, now: Instant) -> Vec<Conclusion> {
        let mut conclusions = Vec::new();
        while let Some(group) = self.ripest_group(now) {
            let is_ambiguous = group.len() > 1;
            let mut explained = HashSet::new();
            let kind = match group.iter().all(|one| one.kind() == SuspectKind::Request) {
                true => SuspectKind::Request,
                false => SuspectKind::Part,
            };
            for suspect in group {
                let charges = self.suspects.remove(&suspect).unwrap_or_default();
                let crashes = charges.crashes.iter();
                let crashes: Vec<_> = crashes.map(|charge| (charge.process, charge.at)).collect();
                explained.extend(crashes.iter().map(|(process, _)| *process));
                conclusions.push(Conclusion {
                    suspect,
                    crashes,
                    is_ambiguous,
                });
            }
            for process in explained {
                match kind {
                    SuspectKind::Part => self.record_explained(process),
                    SuspectKind::Request => self.record_explained_by_request(process),
                }
            }
        }
        conclusions
    }

    /// Records that a held request was at a crash.
    ///
    /// The crash still counts against the parts beside it, which may have caused it, but they are
    /// concluded only with another crash: copies of one request say nothing of others.
    fn record_explained_by_request(&mut self, process: ProcessHash) {
        self.processes.retain(|(known, _)| *known != process);
        self.suspects.retain(|suspect, charges| {
            if suspect.kind() == SuspectKind::Request {
                charges.crashes.retain(|charge| charge.process != process);
            }
            let crashes = charges.crashes.iter_mut();
            crashes
                .filter(|charge| charge.process == process)
                .for_each(|charge| charge.is_explained = true);
            !charges.crashes.is_empty()
        });
    }

    /// Records that another VM has concluded a request to crash engines.
    pub fn record_held_request(&mut self, request: Suspect) {
        let charges = self.suspects.remove(&request).unwrap_or_default();
        for charge in charges.crashes {
            self.record_explained_by_request(charge.process);
        }
    }

    fn ripest_group(&self, now: Instant) -> Option<Vec<Suspect>> {
        let ripe = self.suspects.iter().filter(|(suspect, charges)| {
            let thresholds = self.thresholds(**suspect, charges);
            let separate_after = self.settings.separate_after;
            charges.is_ripe(thresholds, separate_after, &self.processes, now)
        });
        let ripe: Vec<_> = ripe.collect();
        let (first, best) = ripe.iter().min_by_key(|(suspect, charges)| {
            (charges.is_proven, Reverse(charges.crashes.len()), **suspect)
        })?;
        let shared_min = best.crashes.len() - best.crashes.len() / ALIKE_DIVISOR;
        let is_alike = |suspect: Suspect, charges: &Charges| {
            charges.is_proven == best.is_proven
                && charges.crashes_shared_with(best) >= shared_min
                // Nobody else is refused for a request.
                && (first.kind() == SuspectKind::Part || suspect.kind() == SuspectKind::Request)
        };
        let group = ripe
            .iter()
            .filter(|(suspect, charges)| is_alike(**suspect, charges));
        Some(group.map(|(suspect, _)| **suspect).collect())
    }

    fn thresholds(&self, suspect: Suspect, charges: &Charges) -> CrashThresholds {
        match suspect.kind() {
            SuspectKind::Request => self.settings.request,
            SuspectKind::Part if charges.is_proven => self.settings.proven,
            SuspectKind::Part => self.settings.unproven,
        }
    }

    fn is_proven_part(&self, suspect: Suspect) -> bool {
        suspect.kind() == SuspectKind::Part && self.proven.peek(suspect.hash()).is_some()
    }

    /// Forgets old crashes.
    pub fn sweep(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_sub(at) < self.settings.memory;
        self.processes.retain(|(_, at)| is_recent(*at));
        self.suspects.retain(|_, charges| {
            charges.crashes.retain(|charge| is_recent(charge.at));
            !charges.crashes.is_empty()
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
            .map(|(suspect, charges)| {
                let last_at = charges.crashes.last().map(|charge| charge.at);
                (charges.crashes.len(), last_at, *suspect)
            })
            .collect();
        ranked.sort_unstable();
        for (_, _, suspect) in ranked.iter().take(self.settings.suspects_max.div_ceil(8)) {
            self.suspects.remove(suspect);
        }
    }
}

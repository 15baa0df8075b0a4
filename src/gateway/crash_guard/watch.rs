//! Requests whose engine may have crashed, and what they had in common with it.
//!
//! A broken connection alone does not show a crash: a reset, a cut path and an engine that drops
//! one request look alike. An engine has crashed if it does not listen any more afterwards.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::suspect::{Suspect, SuspectKind};
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;

/// Time for which broken connections of a process, and its crash, are remembered.
const PROCESS_MEMORY: Duration = Duration::from_secs(10);
/// Time within which an engine crashes after it began to write an answer, with a margin. A run that
/// ended so recently does not show yet that its prompt is harmless.
const CRASH_DELAY_MAX: Duration = Duration::from_millis(600);
/// Maximum number of ended runs that are watched.
const ENDED_RUNS_MAX: usize = 4_096;

/// What one request may crash an engine with.
type Suspects = Arc<[Suspect]>;

/// Request that was at an engine when it crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InterruptedRun {
    /// What the request may have crashed the engine with.
    pub suspects: Arc<[Suspect]>,
    /// Time at which it was sent to the engine.
    pub began_at: Instant,
}

/// What to do about a broken connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenConnection {
    /// Check whether the process still listens.
    CheckDue,
    /// The process is being checked.
    CheckRunning,
    /// The process is known to have crashed.
    Crashed,
}

/// Requests at processes that may have crashed, and runs that ended recently.
#[derive(Debug, Default)]
pub struct CrashWatch {
    processes: HashMap<ProcessHash, WatchedProcess>,
    ended: VecDeque<EndedRun>,
}

#[derive(Debug)]
struct WatchedProcess {
    broken_at: Instant,
    requests: Vec<InterruptedRun>,
    has_crashed: bool,
}

#[derive(Debug)]
struct EndedRun {
    process: ProcessHash,
    suspects: Suspects,
    began_at: Instant,
    at: Instant,
}

impl CrashWatch {
    /// Records that the connection of a request to a process broke.
    pub fn record_broken(
        &mut self,
        process: ProcessHash,
        run: InterruptedRun,
        now: Instant,
    ) -> BrokenConnection {
        match self.processes.get_mut(&process) {
            Some(watched) if watched.has_crashed => BrokenConnection::Crashed,
            Some(watched) => {
                watched.requests.push(run);
                BrokenConnection::CheckRunning
            }
            None => {
                let watched = WatchedProcess {
                    broken_at: now,
                    requests: vec![run],
                    has_crashed: false,
                };
                self.processes.insert(process, watched);
                BrokenConnection::CheckDue
            }
        }
    }

    /// Records that a process still listens.
    pub fn record_listening(&mut self, process: ProcessHash) {
        self.processes.remove(&process);
    }

    /// Records that a process has crashed; returns the time at which its connections broke and the
    /// requests that it had.
    ///
    /// These include requests that had just ended, but not as a whole: an engine that completes a
    /// request does not crash because of it.
    pub fn record_crash(&mut self, process: ProcessHash) -> Option<(Instant, Vec<InterruptedRun>)> {
        let watched = self.processes.get_mut(&process)?;
        watched.has_crashed = true;
        let mut requests = std::mem::take(&mut watched.requests);
        let is_at_process = |run: &EndedRun| run.process == process;
        let ended = self.ended.iter().filter(|run| is_at_process(run));
        requests.extend(ended.map(|run| InterruptedRun {
            suspects: parts(&run.suspects).collect(),
            began_at: run.began_at,
        }));
        self.ended.retain(|run| !is_at_process(run));
        Some((watched.broken_at, requests))
    }

    /// Returns whether no process is watched.
    pub fn is_idle(&self) -> bool {
        self.processes.is_empty()
    }

    /// Records that a request ran to its end.
    pub fn record_end(&mut self, process: ProcessHash, run: &InterruptedRun, now: Instant) {
        if parts(&run.suspects).next().is_none() {
            return;
        }
        if self.ended.len() >= ENDED_RUNS_MAX {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedRun {
            process,
            suspects: run.suspects.clone(),
            began_at: run.began_at,
            at: now,
        });
    }

    /// Returns the runs that their engines survived, each with the time of its end.
    pub fn take_survived(&mut self, now: Instant) -> Vec<(Arc<[Suspect]>, Instant)> {
        let mut survived = Vec::new();
        while let Some(run) = self.ended.front() {
            if now < run.at + CRASH_DELAY_MAX {
                break;
            }
            // A process whose connections broke may have crashed after the end of the run.
            let is_in_doubt = self.processes.contains_key(&run.process);
            if let Some(run) = self.ended.pop_front().filter(|_| !is_in_doubt) {
                survived.push((run.suspects, run.at));
            }
        }
        survived
    }

    /// Forgets processes whose connections broke long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.processes
            .retain(|_, watched| now.saturating_sub(watched.broken_at) < PROCESS_MEMORY);
    }
}

/// Returns the suspects that are parts of prompts.
fn parts(suspects: &[Suspect]) -> impl Iterator<Item = Suspect> {
    let suspects = suspects.iter().copied();
    suspects.filter(|suspect| suspect.kind() == SuspectKind::Part)
}

//! Requests whose engine may have crashed, and what they had in common with it.
//!
//! A broken connection alone does not show a crash: a reset, a cut path and an engine that drops
//! one request look alike. An engine has crashed if it does not listen any more afterwards.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;
use crate::gateway::prompt::PartHash;

/// Time for which broken connections of a process, and its crash, are remembered.
const PROCESS_MEMORY: Duration = Duration::from_secs(10);
/// Time within which an engine crashes after it began to write an answer, with a margin. A run that
/// ended so recently does not show yet that its prompt is harmless.
const CRASH_DELAY_MAX: Duration = Duration::from_millis(600);
/// Maximum number of ended runs that are watched.
const ENDED_RUNS_MAX: usize = 4_096;

/// Parts of one request's prompt.
type Parts = Arc<[PartHash]>;

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
    requests: Vec<Parts>,
    has_crashed: bool,
}

#[derive(Debug)]
struct EndedRun {
    process: ProcessHash,
    parts: Parts,
    at: Instant,
}

impl CrashWatch {
    /// Records that the connection of a request to a process broke.
    pub fn record_broken(
        &mut self,
        process: ProcessHash,
        parts: &Parts,
        now: Instant,
    ) -> BrokenConnection {
        match self.processes.get_mut(&process) {
            Some(watched) if watched.has_crashed => BrokenConnection::Crashed,
            Some(watched) => {
                watched.requests.push(parts.clone());
                BrokenConnection::CheckRunning
            }
            None => {
                let watched = WatchedProcess {
                    broken_at: now,
                    requests: vec![parts.clone()],
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

    /// Records that a process has crashed; returns the requests that it had or had just completed.
    pub fn record_crash(&mut self, process: ProcessHash) -> Vec<Arc<[PartHash]>> {
        let Some(watched) = self.processes.get_mut(&process) else {
            return Vec::new();
        };
        watched.has_crashed = true;
        let mut requests = std::mem::take(&mut watched.requests);
        let is_at_process = |run: &EndedRun| run.process == process;
        let ended = self.ended.iter().filter(|run| is_at_process(run));
        requests.extend(ended.map(|run| run.parts.clone()));
        self.ended.retain(|run| !is_at_process(run));
        requests
    }

    /// Records that a request ran to its end.
    pub fn record_end(&mut self, process: ProcessHash, parts: &Parts, now: Instant) {
        if parts.is_empty() {
            return;
        }
        if self.ended.len() >= ENDED_RUNS_MAX {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedRun {
            process,
            parts: parts.clone(),
            at: now,
        });
    }

    /// Returns the runs that their engines survived, each with the time of its end.
    pub fn take_survived(&mut self, now: Instant) -> Vec<(Arc<[PartHash]>, Instant)> {
        let mut survived = Vec::new();
        while let Some(run) = self.ended.front() {
            if now < run.at + CRASH_DELAY_MAX {
                break;
            }
            // A process whose connections broke may have crashed after the end of the run.
            let is_in_doubt = self.processes.contains_key(&run.process);
            if let Some(run) = self.ended.pop_front().filter(|_| !is_in_doubt) {
                survived.push((run.parts, run.at));
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

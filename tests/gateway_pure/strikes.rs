//! Crashes that are held against suspects, shared by the tests of the evidence.

use celerylever::gateway::{CrashEvidence, Strike, Suspect};

use super::*;

/// Time after which any evidence has settled.
pub(crate) const SETTLED: Duration = Duration::from_secs(5);

pub(crate) fn at(ms: u64) -> Instant {
    MS(100_000 + ms)
}

/// Holds a crash of a process against suspects, whose latest request was sent shortly before.
pub(crate) fn strike(evidence: &mut CrashEvidence, process: u64, ms: u64, suspects: &[Suspect]) {
    strike_at(evidence, process, at(ms) - MS(80), at(ms), suspects);
}

/// Holds a crash of a process against suspects, whose latest request was sent at another time.
pub(crate) fn strike_begun(
    evidence: &mut CrashEvidence,
    process: u64,
    began_ms: u64,
    ms: u64,
    suspects: &[Suspect],
) {
    strike_at(evidence, process, at(began_ms), at(ms), suspects);
}

fn strike_at(
    evidence: &mut CrashEvidence,
    process: u64,
    began_at: Instant,
    at: Instant,
    suspects: &[Suspect],
) {
    for suspect in suspects {
        evidence.record_strike(Strike {
            suspect: *suspect,
            process,
            at,
            began_at,
            is_proven: false,
        });
    }
}

/// Draws the conclusions that the evidence permits; returns them in order, with whether they are
/// ambiguous.
pub(crate) fn concluded(evidence: &mut CrashEvidence, now: Instant) -> Vec<(Suspect, bool)> {
    let conclusions = evidence.conclude(now).into_iter();
    let mut concluded: Vec<_> = conclusions
        .map(|conclusion| (conclusion.suspect, conclusion.is_ambiguous))
        .collect();
    concluded.sort_unstable();
    concluded
}

/// Draws the conclusions that the evidence permits; returns their suspects in order.
pub(crate) fn concluded_suspects(evidence: &mut CrashEvidence, now: Instant) -> Vec<Suspect> {
    let concluded = concluded(evidence, now).into_iter();
    concluded.map(|(suspect, _)| suspect).collect()
}

//! Outages of several engines at once, which no request caused.

use celerylever::gateway::{CrashEvidence, Strike, Suspect};

use super::*;

const SYSTEM: Suspect = Suspect::Part(1);
const ENGINES: u64 = 6;
/// Time after which any evidence has settled.
const SETTLED: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Instant {
    MS(100_000 + ms)
}

/// Holds a crash of a process against suspects, whose latest request was sent at another time.
fn strike(
    evidence: &mut CrashEvidence,
    process: u64,
    began_ms: u64,
    ms: u64,
    suspects: &[Suspect],
) {
    for suspect in suspects {
        evidence.record_strike(Strike {
            suspect: *suspect,
            process,
            at: at(ms),
            began_at: at(began_ms),
            is_proven: false,
        });
    }
}

/// Guards against a system prompt that is held because requests of an engine that went down were
/// sent on to engines that had gone down with it.
#[test]
fn an_outage_is_one_event_for_a_part_of_requests_that_are_sent_on() {
    let mut evidence = CrashEvidence::default();
    for engine in 0..ENGINES {
        let ms = 1_000 + 2 * engine;
        strike(&mut evidence, engine, ms - 1, ms, &[SYSTEM]);
    }
    assert_eq!(evidence.conclude(at(1_000) + SETTLED), []);
}

//! Outages of several engines at once beside a part that crashes them one at a time.

use celerylever::gateway::{CrashEvidence, Quarantine, QuarantineVerdict, Suspect};

use super::strikes::{SETTLED, at, concluded_suspects, strike, strike_begun};
use super::*;

const SYSTEM: Suspect = Suspect::Part(1);
const DEADLY: Suspect = Suspect::Part(2);
const ENGINES: u64 = 6;

fn document(number: u64) -> Suspect {
    Suspect::Part(100 + number)
}

/// Crashes all engines at once; requests with the deadly part are at some of them.
fn outage(evidence: &mut CrashEvidence, first_process: u64, ms: u64) {
    for engine in 0..ENGINES {
        let (process, ms) = (first_process + engine, ms + engine);
        strike(evidence, process, ms, &[SYSTEM, document(engine)]);
        if engine < 2 {
            strike(evidence, process, ms, &[DEADLY]);
        }
    }
}

/// Guards against a system prompt that is held because requests of an engine that went down were
/// sent on to engines that had gone down with it.
#[test]
fn an_outage_is_one_event_for_a_part_of_requests_that_are_sent_on() {
    let mut evidence = CrashEvidence::default();
    for engine in 0..ENGINES {
        let ms = 1_000 + 2 * engine;
        strike_begun(&mut evidence, engine, ms - 1, ms, &[SYSTEM]);
    }
    assert_eq!(concluded_suspects(&mut evidence, at(1_000) + SETTLED), []);
}

/// Guards against a system prompt that is held for the crashes of a part beside it, because all
/// engines went down before any answer to it was known.
#[rstest]
#[case::one_outage(1)]
#[case::two_outages(2)]
fn an_outage_does_not_tell_a_system_prompt_from_the_deadly_part(#[case] outages: u64) {
    let mut evidence = CrashEvidence::default();
    for number in 0..outages {
        outage(&mut evidence, number * 10, 100 + number * 1_000);
    }
    strike(&mut evidence, 50, 3_000, &[SYSTEM, DEADLY, document(1)]);
    strike(&mut evidence, 51, 3_500, &[SYSTEM, DEADLY, document(7)]);
    let now = at(3_500) + SETTLED;
    let mut conclusions = evidence.conclude(now);
    conclusions.sort_unstable_by_key(|conclusion| conclusion.suspect);
    let concluded: Vec<_> = conclusions
        .iter()
        .map(|conclusion| (conclusion.suspect, conclusion.is_ambiguous))
        .collect();
    assert_eq!(concluded, [(SYSTEM, true), (DEADLY, true)]);

    // The first request without the deadly part tells them apart.
    let mut quarantine = Quarantine::default();
    for conclusion in &conclusions {
        quarantine.hold(conclusion, None, now).unwrap();
    }
    let trial = quarantine.verdict(&[SYSTEM, document(1)], now);
    let due = QuarantineVerdict::TrialDue {
        suspect: SYSTEM,
        round: 1,
    };
    assert_eq!(trial, due);
    let deadly = quarantine.verdict(&[SYSTEM, DEADLY], now);
    assert_eq!(deadly, QuarantineVerdict::Held(SYSTEM));
}

/// Guards against innocent parts that are held beside the one that engines fell under together.
#[test]
fn a_part_at_single_crashes_is_not_held_for_one_that_no_outage_explains() {
    let mut evidence = CrashEvidence::default();
    outage(&mut evidence, 0, 100);
    for process in 0..4 {
        let ms = 3_000 + process * 300;
        strike(
            &mut evidence,
            50 + process,
            ms,
            &[SYSTEM, document(process % 2)],
        );
    }
    assert_eq!(
        concluded_suspects(&mut evidence, at(5_000) + SETTLED),
        [SYSTEM]
    );
}

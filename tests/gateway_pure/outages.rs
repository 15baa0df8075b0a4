//! Outages of several engines at once, which no request caused.

use celerylever::gateway::{CrashEvidence, Suspect};

use super::strikes::{SETTLED, at, concluded_suspects, strike_begun};

const SYSTEM: Suspect = Suspect::Part(1);
const ENGINES: u64 = 6;

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

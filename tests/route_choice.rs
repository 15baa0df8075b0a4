//! The choice of an engine: against a full scan, and under each failure of what it knows.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use celerylever::document::{Document, Model, Snapshot, Upstream, UpstreamKind, UpstreamState};
use celerylever::route::{
    Choice, ChooseError, Chooser, ChooserSettings, EngineFailure, HealthChange, LoadReport,
    PIECE_TOKENS, Prefix, Reason, ResponseHead, RoutingRequest,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Weight of recomputed tokens, as documented.
const RECOMPUTE_WEIGHT: f64 = 2.0;
const SECOND: Duration = Duration::from_secs(1);

fn snapshot(version: u64, engines: usize, leaving: &[usize]) -> Snapshot {
    let mut document = Document::default();
    document.models.insert("m".into(), Model::default());
    for engine in 0..engines {
        let upstream = Upstream {
            address: ([127, 0, 0, 1], 1_000 + engine as u16).into(),
            availability_zone: "a".into(),
            kind: UpstreamKind::Engine,
            models: vec!["m".into()],
            state: match leaving.contains(&engine) {
                true => UpstreamState::Leaving,
                false => UpstreamState::Serving,
            },
            ..Upstream::default()
        };
        document.upstreams.insert(format!("e{engine:03}"), upstream);
    }
    Snapshot::compile(version, document)
}

fn chooser(engines: usize, seed: u64) -> Chooser {
    let mut chooser = Chooser::new(ChooserSettings {
        availability_zone: "a".into(),
        seed,
        ..ChooserSettings::default()
    });
    chooser.configure(&snapshot(1, engines, &[]), Duration::ZERO);
    chooser
}

fn ask(levels: Vec<u64>) -> RoutingRequest {
    let tokens = (levels.len() as u64 - 1) * PIECE_TOKENS + 300;
    RoutingRequest::new("m".into(), "v1".into(), Prefix::from_hashes(levels, tokens))
}

fn sheet(number: u64, pieces: u64) -> RoutingRequest {
    let levels = (0..=pieces).map(|piece| 1 + number * 1_000_003 * u64::from(piece > 0) + piece);
    ask(levels
        .map(|level| level.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect())
}

fn head(incarnation: u64, weight_version: &str, cached_tokens: u64) -> ResponseHead {
    ResponseHead {
        incarnation: Some(incarnation),
        weight_version: Some(weight_version.into()),
        cached_tokens: Some(cached_tokens),
        is_first_token: false,
    }
}

fn load(incarnation: u64, weight_version: &str, queued: usize, age: Duration) -> LoadReport {
    LoadReport {
        incarnation,
        weight_version: weight_version.into(),
        running: 1,
        queued,
        age,
    }
}

/// Sends a request and has it answered and ended.
fn serve(
    chooser: &mut Chooser,
    mut ask: RoutingRequest,
    incarnation: u64,
    now: Duration,
) -> Choice {
    let choice = chooser.choose(&mut ask, now).unwrap();
    chooser.record_response(&ask, &choice, &head(incarnation, "v1", 0), now);
    chooser.record_finish(choice.engine);
    choice
}

fn held_pieces(chooser: &mut Chooser, ask: RoutingRequest, now: Duration) -> usize {
    let mut ask = ask;
    let choice = chooser.choose(&mut ask, now).unwrap();
    chooser.record_failure(&choice, None, now);
    chooser.record_finish(choice.engine);
    choice.held_pieces
}

/// Tokens behind the last whole piece of a scanned prompt.
const TAIL_TOKENS: u64 = 3_000;
const PROMPT_TOKENS: u64 = 8 * PIECE_TOKENS + TAIL_TOKENS;

/// What is true of one sheet at one engine, kept without bounds.
#[derive(Clone, Copy)]
struct Place {
    is_home: bool,
    is_replica: bool,
    is_held: bool,
    pending_tokens: u64,
}

/// Score of an engine as documented.
fn naive_score(place: Place) -> Duration {
    let token = Duration::from_micros(50);
    // A home is credited with the whole prompt, seen before or not.
    let missed = match place.is_home || place.is_held {
        true => TAIL_TOKENS,
        false => PROMPT_TOKENS,
    };
    let backlog = token * place.pending_tokens as u32;
    let weight = RECOMPUTE_WEIGHT + backlog.as_secs_f64() / 0.05;
    let away = match place.is_home || place.is_replica {
        true => Duration::ZERO,
        false => (token * PROMPT_TOKENS as u32).mul_f64(0.25),
    };
    (token * missed as u32).mul_f64(weight) + backlog + away
}

fn scanned(number: u64) -> RoutingRequest {
    let levels = sheet(number, 8).prefix.hashes().to_vec();
    let prefix = Prefix::from_hashes(levels, PROMPT_TOKENS);
    RoutingRequest::new("m".into(), "v1".into(), prefix)
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn choice_between_two_engines_equals_a_full_scan(#[case] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut chooser = chooser(2, seed);
    let home_of = |number| {
        let mut fresh = self::chooser(2, seed);
        fresh.choose(&mut scanned(number), SECOND).unwrap().engine
    };
    let homes: Vec<u16> = (0..6).map(home_of).collect();
    let mut held: HashSet<(u64, u16)> = HashSet::new();
    let mut replicated_at: HashMap<u64, Duration> = HashMap::new();
    let mut pending = [0; 2];
    let mut under_way: Vec<(u64, RoutingRequest, Choice)> = Vec::new();
    let mut away = 0;
    for step in 1..3_000 {
        let now = SECOND + Duration::from_millis(10 * step);
        if rng.random_bool(0.5) && under_way.len() < 50 {
            let number = rng.random_range(0..6);
            let mut ask = scanned(number);
            let choice = chooser.choose(&mut ask, now).unwrap();
            let grown = replicated_at.get(&number).copied();
            let score = |engine: u16| {
                naive_score(Place {
                    is_home: engine == homes[number as usize],
                    is_replica: grown.is_some_and(|at| now - at < 10 * SECOND),
                    is_held: held.contains(&(number, engine)),
                    pending_tokens: pending[usize::from(engine)],
                })
            };
            let best = score(0).min(score(1));
            assert_eq!(score(choice.engine), best, "step {step}, sheet {number}");
            let is_away = choice.engine != homes[number as usize];
            away += u32::from(is_away);
            match choice.reason {
                Reason::Replicated => _ = replicated_at.insert(number, now),
                Reason::Home | Reason::Placed if choice.backlog > Duration::ZERO => {
                    replicated_at.entry(number).and_modify(|at| *at = now);
                }
                _ => {}
            }
            pending[usize::from(choice.engine)] += choice.missed_tokens;
            under_way.push((number, ask, choice));
        } else if !under_way.is_empty() {
            let (number, ask, choice) = under_way.swap_remove(rng.random_range(0..under_way.len()));
            let cached = 8 * PIECE_TOKENS * u64::from(held.contains(&(number, choice.engine)));
            chooser.record_response(&ask, &choice, &head(1, "v1", cached), now);
            chooser.record_finish(choice.engine);
            pending[usize::from(choice.engine)] -= choice.missed_tokens;
            held.insert((number, choice.engine));
        }
    }
    assert!(away > 20, "only {away} went away from home");
}

#[test]
fn vms_agree_on_the_home_of_a_prefix_without_a_message() {
    for number in 0..50 {
        let chosen: HashSet<u16> = (0..8)
            .map(|vm| {
                chooser(20, vm)
                    .choose(&mut sheet(number, 12), SECOND)
                    .unwrap()
                    .engine
            })
            .collect();
        assert_eq!(chosen.len(), 1, "sheet {number}");
    }
}

#[test]
fn engine_that_came_back_empty_is_known_to_hold_nothing() {
    let mut chooser = chooser(1, 1);
    serve(&mut chooser, sheet(1, 8), 7, SECOND);
    assert_eq!(held_pieces(&mut chooser, sheet(1, 8), 2 * SECOND), 8);
    chooser.apply_report(
        0,
        &load(8, "v1", 0, Duration::ZERO),
        2 * SECOND,
        false,
        2 * SECOND,
    );
    assert_eq!(held_pieces(&mut chooser, sheet(1, 8), 3 * SECOND), 0);
}

#[test]
fn late_answer_of_an_earlier_start_teaches_nothing() {
    let mut chooser = chooser(1, 1);
    serve(&mut chooser, sheet(1, 8), 7, SECOND);
    let mut late = sheet(2, 8);
    let choice = chooser.choose(&mut late, 2 * SECOND).unwrap();
    serve(&mut chooser, sheet(3, 8), 8, 3 * SECOND);
    chooser.record_response(&late, &choice, &head(7, "v1", 0), 4 * SECOND);
    assert_eq!(held_pieces(&mut chooser, sheet(2, 8), 5 * SECOND), 0);
    serve(&mut chooser, sheet(3, 8), 8, 5 * SECOND);
    assert_eq!(held_pieces(&mut chooser, sheet(3, 8), 6 * SECOND), 8);
}

#[test]
fn weight_change_and_lost_events_empty_what_was_known() {
    for forget in [
        (|c: &mut Chooser| {
            let report = load(7, "v2", 0, Duration::ZERO);
            c.apply_report(0, &report, 2 * SECOND, false, 2 * SECOND);
            let back = load(7, "v1", 0, Duration::ZERO);
            c.apply_report(0, &back, 2 * SECOND, false, 2 * SECOND);
        }) as fn(&mut Chooser),
        |c| c.record_event_gap(0, 2 * SECOND),
        |c| {
            c.configure(&snapshot(2, 1, &[0]), 2 * SECOND);
            c.configure(&snapshot(3, 1, &[]), 2 * SECOND);
        },
    ] {
        let mut chooser = chooser(1, 1);
        serve(&mut chooser, sheet(1, 8), 7, SECOND);
        forget(&mut chooser);
        assert_eq!(held_pieces(&mut chooser, sheet(1, 8), 3 * SECOND), 0);
    }
}

#[test]
fn engine_that_holds_other_weights_gets_nothing_while_another_serves() {
    let mut chooser = chooser(4, 1);
    chooser.apply_report(2, &load(7, "v2", 0, Duration::ZERO), SECOND, false, SECOND);
    for number in 0..200 {
        let choice = serve(&mut chooser, sheet(number, 8), 1, SECOND);
        assert_ne!(choice.engine, 2);
    }
}

#[test]
fn leaving_engine_gets_nothing_new() {
    let mut chooser = chooser(4, 1);
    chooser.configure(&snapshot(2, 4, &[1]), SECOND);
    chooser.set_leaving([([127, 0, 0, 1], 1_003).into()]);
    for number in 0..200 {
        let choice = serve(&mut chooser, sheet(number, 8), 1, 2 * SECOND);
        assert!([0, 2].contains(&choice.engine), "{choice:?}");
    }
}

#[test]
fn report_that_all_saw_draws_no_herd() {
    const VMS: u64 = 8;
    const ENGINES: usize = 12;
    let mut counts = vec![0; ENGINES];
    for vm in 0..VMS {
        let mut chooser = chooser(ENGINES, vm);
        for engine in 0..ENGINES as u16 {
            // Engine 5 looked idle a second ago and all others busy.
            let queued = if engine == 5 { 0 } else { 20 };
            let report = load(1, "v1", queued, SECOND / 2);
            chooser.apply_report(engine, &report, 10 * SECOND, false, 10 * SECOND);
        }
        for number in 0..25 {
            // Requests without a prefix go where load alone sends them.
            let mut ask = ask(vec![number]);
            let engine = match chooser.choose(&mut ask, 10 * SECOND) {
                Ok(choice) => choice.engine,
                Err(ChooseError::Saturated(hold)) => {
                    chooser.add_queued(hold);
                    hold.engine
                }
                Err(ChooseError::NoEngine) => panic!("no engine"),
            };
            counts[usize::from(engine)] += 1;
        }
    }
    let total = VMS as usize * 25;
    assert!(counts[5] < total / 3, "{counts:?}");
}

#[test]
fn burst_of_one_vm_spreads_before_any_report() {
    let mut chooser = chooser(8, 1);
    let mut counts = [0; 8];
    for _ in 0..40 {
        let choice = chooser.choose(&mut scanned(1), SECOND).unwrap();
        counts[usize::from(choice.engine)] += 1;
    }
    assert!(
        counts.iter().all(|count| (1..30).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn report_says_nothing_once_it_is_old() {
    let mut chooser = chooser(2, 1);
    let home = chooser.choose(&mut sheet(1, 8), SECOND).unwrap();
    chooser.record_failure(&home, None, SECOND);
    chooser.record_finish(home.engine);
    let report = load(1, "v1", 10_000, Duration::ZERO);
    chooser.apply_report(home.engine, &report, SECOND, false, SECOND);
    let elsewhere = serve(&mut chooser, sheet(1, 8), 1, SECOND);
    assert_ne!(elsewhere.engine, home.engine);
    let later = chooser.choose(&mut sheet(1, 8), 20 * SECOND).unwrap();
    assert_eq!((later.engine, later.backlog), (home.engine, Duration::ZERO));
}

#[test]
fn silent_engine_gets_nothing_until_a_new_connection_is_answered() {
    let mut chooser = chooser(2, 1);
    let mut now = SECOND;
    assert_eq!(
        chooser.record_engine_failure(0, EngineFailure::NoResponse, now),
        None
    );
    let change = chooser.record_engine_failure(0, EngineFailure::NoResponse, now);
    assert_eq!(change, Some(HealthChange::Down));
    for number in 0..50 {
        assert_eq!(serve(&mut chooser, sheet(number, 8), 1, now).engine, 1);
    }
    now += 2 * SECOND;
    let report = load(1, "v1", 0, Duration::ZERO);
    assert_eq!(chooser.apply_report(0, &report, now, false, now), None);
    assert!(!chooser.is_up("e000"));
    let poll = chooser.next_poll(SECOND / 2, now + SECOND).unwrap();
    assert!(poll.is_probe);
    let change = chooser.apply_report(0, &report, now + SECOND, true, now + SECOND);
    assert_eq!(change, Some(HealthChange::Up));
    assert!(chooser.is_up("e000"));
}

#[test]
fn loss_of_every_engine_leaves_a_last_resort() {
    let mut chooser = chooser(2, 1);
    for engine in [0, 1, 0, 1] {
        chooser.record_engine_failure(engine, EngineFailure::Connect, SECOND);
    }
    assert!(chooser.choose(&mut sheet(1, 8), SECOND).is_ok());
}

//! Tests of the prompt speed of each engine and of the choice by it.

use std::time::Duration;

use celerylever::gateway::{
    Candidate, Placement, PlacementSettings, ResourceDemand, UsualSpeed, choose_candidate,
};

const COMMON_TOKENS_PER_MS: f64 = 80.0;

fn engine(prefill_tokens: u64, tokens_per_ms: Option<f64>) -> Candidate {
    Candidate {
        prefill_tokens,
        requests: 2,
        slots: 64,
        memory_capacity_tokens: 247_166,
        prefill_tokens_per_ms: tokens_per_ms,
        is_same_zone: true,
        ..Candidate::default()
    }
}

fn choose(candidates: &[Candidate]) -> Placement {
    let demand = ResourceDemand {
        prompt_tokens: 11_992,
        output_tokens: 55,
        wait_objective: Duration::from_millis(500),
    };
    choose_candidate(&PlacementSettings::default(), &demand, candidates)
}

/// Returns a speed after samples of an engine that processes this many tokens per millisecond.
fn speed_after(samples: usize, tokens_per_ms: f64, slowness: f64) -> f64 {
    let mut speed = UsualSpeed::default();
    for _ in 0..samples {
        speed.record_prefill(tokens_per_ms, slowness, COMMON_TOKENS_PER_MS);
    }
    speed.prefill_tokens_per_ms(COMMON_TOKENS_PER_MS)
}

/// Guards against a choice by tokens alone, with engines that differ in speed.
#[test]
fn the_engine_that_ends_the_prompt_first_is_chosen() {
    let (slow, fast) = (engine(0, Some(56.0)), engine(6_000, Some(136.0)));
    assert_eq!(choose(&[slow, fast]), Placement::Chosen(1));
    // The same engines at the common speed.
    assert_eq!(
        choose(&[engine(0, None), engine(6_000, None)]),
        Placement::Chosen(0)
    );
}

/// Guards against waits at a slow engine that the objective does not allow.
#[test]
fn the_work_before_a_request_is_limited_by_the_engines_own_speed() {
    assert_eq!(choose(&[engine(12_000, Some(80.0))]), Placement::Chosen(0));
    assert_eq!(choose(&[engine(12_000, Some(32.0))]), Placement::NoRoom);
    assert_eq!(choose(&[engine(24_000, Some(136.0))]), Placement::Chosen(0));
}

#[test]
fn an_engine_has_the_common_speed_until_it_is_measured() {
    assert_eq!(speed_after(0, 40.0, 1.0), COMMON_TOKENS_PER_MS);
    // One sample may be wrong: other requests may have been before it.
    assert_eq!(speed_after(1, 40.0, 1.0), 70.0);
}

#[test]
fn the_speed_of_an_engine_is_learned_within_some_tens_of_samples() {
    let slow = speed_after(30, 56.0, 1.0);
    let fast = speed_after(30, 136.0, 1.0);
    assert!((56.0..62.0).contains(&slow), "{slow}");
    assert!((126.0..136.0).contains(&fast), "{fast}");
}

/// Guards against an engine that counts as slow for good after it was slow for the moment.
#[test]
fn what_is_slow_for_the_moment_does_not_change_the_usual_speed() {
    assert_eq!(speed_after(30, 32.0, 2.5), COMMON_TOKENS_PER_MS);
}

/// Guards against samples that would exclude an engine or draw all requests to it.
#[test]
fn a_learned_speed_is_bounded() {
    assert!((speed_after(500, 10.0, 1.0) - 32.0).abs() < 0.1);
    assert!((speed_after(500, 500.0, 1.0) - 200.0).abs() < 0.1);
}

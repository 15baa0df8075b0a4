//! Tests of the choice of an engine for a request.

use super::*;

fn demand() -> ResourceDemand {
    ResourceDemand {
        prompt_tokens: 8_000,
        output_tokens: 100,
        wait_objective: MS(600),
    }
}

fn candidate() -> Candidate {
    Candidate {
        memory_capacity_tokens: 100_000,
        slots: 8,
        is_same_zone: true,
        ..Candidate::default()
    }
}

fn choose(candidates: &[Candidate]) -> Placement {
    choose_candidate(&PlacementSettings::default(), &demand(), candidates)
}

#[test]
fn nobody_is_nowhere() {
    assert_eq!(choose(&[]), Placement::NoCandidate);
}

#[test]
fn the_engine_that_holds_the_shared_part_is_chosen() {
    let cached = Candidate {
        cached_tokens: 5_000,
        rendezvous_rank: 2,
        ..candidate()
    };
    assert_eq!(
        choose(&[candidate(), candidate(), cached]),
        Placement::Chosen(2)
    );
}

#[test]
fn a_part_is_fetched_where_its_holder_is_busy() {
    let holder = Candidate {
        cached_tokens: 5_000,
        prefill_tokens: 20_000,
        requests: 2,
        ..candidate()
    };
    let other = Candidate {
        fetchable_tokens: 5_000,
        rendezvous_rank: 1,
        ..candidate()
    };
    assert_eq!(choose(&[holder, other]), Placement::Chosen(1));
}

#[test]
fn an_engine_about_to_load_weights_gets_nothing_while_another_is_left() {
    let last_resort = Candidate {
        is_last_resort: true,
        cached_tokens: 8_000,
        ..candidate()
    };
    let busy = Candidate {
        prefill_tokens: 10_000,
        requests: 1,
        rendezvous_rank: 1,
        ..candidate()
    };
    assert_eq!(choose(&[last_resort, busy]), Placement::Chosen(1));
    assert_eq!(choose(&[last_resort]), Placement::Chosen(0));
}

#[rstest]
#[case::memory(Candidate { memory_tokens: 90_000, requests: 3, ..candidate() })]
#[case::slots(Candidate { requests: 8, ..candidate() })]
#[case::reading(Candidate { prefill_tokens: 60_000, requests: 3, ..candidate() })]
fn a_full_engine_makes_requests_wait(#[case] full: Candidate) {
    assert_eq!(choose(&[full]), Placement::NoRoom);
}

#[test]
fn a_shared_part_takes_memory_once() {
    let cached = Candidate {
        memory_tokens: 78_000,
        requests: 10,
        cached_tokens: 7_500,
        ..candidate()
    };
    let uncached = Candidate {
        cached_tokens: 0,
        ..cached
    };
    let settings = PlacementSettings::default();
    let with_many_slots = |candidate| Candidate {
        slots: 64,
        ..candidate
    };
    assert_eq!(
        choose_candidate(&settings, &demand(), &[with_many_slots(cached)]),
        Placement::Chosen(0)
    );
    assert_eq!(
        choose_candidate(&settings, &demand(), &[with_many_slots(uncached)]),
        Placement::NoRoom
    );
}

#[test]
fn an_idle_engine_takes_a_prompt_of_any_size() {
    let small = Candidate {
        memory_capacity_tokens: 1_000,
        ..candidate()
    };
    assert_eq!(choose(&[small]), Placement::Chosen(0));
}

/// A batch of prompts is spread evenly. No engine receives more tokens than it can prefill within
/// the part of the objective that is reserved for waiting; the other requests stay queued.
#[test]
fn clumps_are_spread_and_the_rest_waits() {
    let mut engines = vec![candidate(); 4];
    let mut placed = 0;
    for _ in 0..60 {
        let Placement::Chosen(index) = choose(&engines) else {
            break;
        };
        let engine = &mut engines[index];
        engine.requests += 1;
        engine.prefill_tokens += 8_000;
        engine.memory_tokens += 8_100;
        placed += 1;
    }
    let most = engines.iter().map(|engine| engine.requests).max();
    let least = engines.iter().map(|engine| engine.requests).min();
    assert_eq!((most, least, placed), (Some(4), Some(4), 16));
}

proptest! {
    /// The chosen candidate also wins a choice between itself and any other candidate.
    #[test]
    fn the_choice_is_never_worse_than_any_other(loads in proptest::collection::vec((0_u64..40_000, 0_u64..8_000, any::<bool>()), 1..12)) {
        let candidates: Vec<_> = loads.iter().map(|(prefill_tokens, cached, is_same_zone)| Candidate {
            prefill_tokens: *prefill_tokens,
            cached_tokens: *cached,
            is_same_zone: *is_same_zone,
            ..candidate()
        }).collect();
        let Placement::Chosen(chosen) = choose(&candidates) else {
            return Err(TestCaseError::fail("no candidate chosen although all have room"));
        };
        for index in 0..candidates.len() {
            let pair = [candidates[chosen], candidates[index]];
            prop_assert_eq!(choose(&pair), Placement::Chosen(0));
        }
    }
}

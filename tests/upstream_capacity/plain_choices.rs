//! Tests of the choice among plain upstreams.

use std::time::Duration;

use celerylever::gateway::{PlainCandidate, PlainChoice, choose_plain};

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Number of draws, spread evenly.
const DRAWS: u32 = 200;

fn candidate(requests: f64, slowness: f64) -> PlainCandidate {
    PlainCandidate {
        requests,
        slots: 6.0,
        capacity: 30.0,
        service_time: Some(MS(30)),
        slowness,
        age: Some(MS(10)),
        ..PlainCandidate::default()
    }
}

/// Returns the share in percent that each candidate gets.
fn shares(candidates: &[PlainCandidate], is_only_attempt: bool) -> Vec<u32> {
    let mut counts = vec![0; candidates.len()];
    for number in 0..DRAWS {
        let draw = f64::from(number) / f64::from(DRAWS);
        match choose_plain(candidates, is_only_attempt, draw) {
            PlainChoice::Chosen(index) => counts[index] += 100,
            PlainChoice::NoRoom => panic!("no room"),
        }
    }
    counts.into_iter().map(|count| count / DRAWS).collect()
}

/// Guards against all VMs choosing the same of several upstreams that are equally good.
#[test]
fn equal_upstreams_get_equal_shares() {
    let shares = shares(&[candidate(3.0, 1.0); 4], false);
    assert_eq!(shares, [25; 4]);
}

/// Guards against a choice by the number of requests alone.
#[test]
fn a_slow_upstream_gets_nothing_while_others_end_sooner() {
    let candidates = [
        candidate(0.0, 4.0),
        candidate(9.0, 1.0),
        candidate(9.0, 1.0),
    ];
    assert_eq!(shares(&candidates, false), [0, 50, 50]);
}

#[test]
fn a_slow_upstream_is_used_when_the_others_would_take_as_long() {
    let candidates = [
        candidate(2.0, 2.0),
        candidate(20.0, 1.0),
        candidate(20.0, 1.0),
    ];
    assert_eq!(shares(&candidates, false), [100, 0, 0]);
}

/// Guards against a herd: the older the figures, the more of the other VMs' requests are on their
/// way to the upstream that looks best.
#[test]
fn old_figures_spread_requests_further_than_fresh_ones() {
    let aged = |requests, age| PlainCandidate {
        age: Some(age),
        ..candidate(requests, 1.0)
    };
    let fresh = shares(&[aged(8.0, MS(1)), aged(14.0, MS(1))], false);
    let old = shares(&[aged(8.0, MS(150)), aged(14.0, MS(150))], false);
    assert_eq!(fresh[1], 0, "{fresh:?}");
    assert!((25..50).contains(&old[1]), "{old:?}");
}

/// Guards against rejections by an upstream whose waiting places are taken, while others have room.
#[test]
fn a_full_upstream_gets_nothing_while_another_has_room() {
    let rejecting = PlainCandidate {
        is_full: true,
        ..candidate(0.0, 1.0)
    };
    let slow = candidate(29.0, 10.0);
    assert_eq!(
        shares(&[candidate(30.0, 1.0), rejecting, slow], false),
        [0, 0, 100]
    );
    let all_full = [candidate(30.0, 1.0), rejecting];
    assert_eq!(choose_plain(&all_full, false, 0.5), PlainChoice::NoRoom);
}

/// Guards against a rejection of a request that no other upstream may get.
#[test]
fn a_request_with_one_attempt_gets_the_upstream_with_the_most_free_places() {
    let candidates = [
        candidate(20.0, 1.0),
        candidate(14.0, 1.0),
        candidate(14.0, 1.0),
    ];
    assert_eq!(shares(&candidates, true), [0, 50, 50]);
}

/// Guards against a service without measurements whose upstreams all count as equally far away.
#[test]
fn an_upstream_of_another_zone_is_chosen_when_the_own_one_is_busy() {
    let remote = PlainCandidate {
        extra_cost: MS(4),
        ..candidate(0.0, 1.0)
    };
    assert_eq!(shares(&[candidate(12.0, 1.0), remote], false), [0, 100]);
}

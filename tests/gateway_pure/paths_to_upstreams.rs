//! Paths from a VM to the upstreams of a service, and the choice of VMs that are asked for help.

use std::net::SocketAddr;

use celerylever::gateway::{
    Helpers, HelpersSettings, KnownVm, PathChange, PathState, UpstreamPaths, UpstreamPathsSettings,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;

fn paths() -> UpstreamPaths {
    UpstreamPaths::new(UpstreamPathsSettings::default())
}

#[test]
fn one_upstream_that_cannot_be_reached_is_no_cut() {
    let mut paths = paths();
    for ms in 0..20 {
        assert_eq!(paths.record_failed("app", "i-1", 12, MS(ms * 100)), None);
    }
    assert_eq!(paths.state("app", MS(2_000)), PathState::Open);
}

#[test]
fn failures_at_several_upstreams_are_a_cut_until_a_connection_succeeds() {
    let mut paths = paths();
    assert_eq!(paths.record_failed("app", "i-1", 12, MS(0)), None);
    assert_eq!(paths.record_failed("app", "i-2", 12, MS(100)), None);
    let suspected = paths.record_failed("app", "i-3", 12, MS(200));
    assert_eq!(suspected, Some(PathChange::Suspected));
    assert_eq!(paths.state("app", MS(200)), PathState::Open);
    assert!(paths.has_failed("app", "i-3") && !paths.has_failed("app", "i-5"));
    let lost = paths.record_check_failed("app", MS(200));
    assert_eq!(lost, Some(PathChange::Lost));
    assert_eq!(paths.record_failed("app", "i-4", 12, MS(300)), None);
    assert_eq!(paths.state("app", MS(60_000)), PathState::Cut);
    assert_eq!(paths.state("notes", MS(300)), PathState::Open);
    let restored = paths.record_connected("app", MS(900));
    assert_eq!(restored, Some(PathChange::Restored(MS(700))));
    assert_eq!(paths.state("app", MS(900)), PathState::Open);
    assert_eq!(paths.record_connected("app", MS(950)), None);
}

#[test]
fn a_success_in_between_starts_the_count_anew() {
    let mut paths = paths();
    paths.record_failed("app", "i-1", 12, MS(0));
    paths.record_failed("app", "i-2", 12, MS(10));
    paths.record_connected("app", MS(20));
    assert_eq!(paths.record_failed("app", "i-3", 12, MS(30)), None);
    assert_eq!(paths.state("app", MS(30)), PathState::Open);
}

#[test]
fn failures_long_ago_do_not_count() {
    let mut paths = paths();
    paths.record_failed("app", "i-1", 12, MS(0));
    paths.record_failed("app", "i-2", 12, MS(10));
    assert_eq!(paths.record_failed("app", "i-3", 12, MS(5_010)), None);
}

#[test]
fn a_service_of_one_upstream_is_cut_with_it() {
    let mut paths = paths();
    let suspected = paths.record_failed("app", "i-1", 1, MS(0));
    assert_eq!(suspected, Some(PathChange::Suspected));
}

/// Guards against a VM that takes the crash of several upstreams for a cut of its own.
#[test]
fn upstreams_that_are_down_beside_sound_ones_are_no_cut() {
    let mut paths = paths();
    for round in 0..10 {
        let now = MS(round * 1_000);
        for upstream in ["i-1", "i-2", "i-3"] {
            paths.record_failed("app", upstream, 12, now);
        }
        paths.record_connected("app", now + MS(2));
        assert_eq!(paths.record_check_failed("app", now + MS(500)), None);
        assert_eq!(paths.state("app", now + MS(500)), PathState::Open);
    }
}

#[test]
fn other_upstreams_are_checked_once_at_a_time() {
    let mut paths = paths();
    let failed = |paths: &mut UpstreamPaths, ms| paths.record_failed("app", "i-1", 1, MS(ms));
    assert_eq!(failed(&mut paths, 0), Some(PathChange::Suspected));
    assert_eq!(failed(&mut paths, 599), None);
    assert_eq!(failed(&mut paths, 600), Some(PathChange::Suspected));
}

#[test]
fn responses_over_open_connections_tell_that_only_new_ones_fail() {
    let mut paths = paths();
    for upstream in ["i-1", "i-2", "i-3"] {
        paths.record_failed("app", upstream, 3, MS(100));
    }
    paths.record_check_failed("app", MS(120));
    paths.record_response("app", MS(150));
    assert_eq!(paths.state("app", MS(1_149)), PathState::ClosedToNew);
    assert_eq!(paths.state("app", MS(1_150)), PathState::Cut);
}

fn vm(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn vms(count: u8) -> Vec<KnownVm> {
    let vm = |number| KnownVm {
        address: vm(number),
        is_same_zone: number % 6 == 0,
    };
    (0..count).map(vm).collect()
}

/// A third of a large fleet is cut, each VM with 40 requests a second.
#[test]
fn help_is_found_with_few_questions_and_spread_over_the_fleet() {
    let fleet = vms(240);
    let is_cut = |address: SocketAddr| match address {
        SocketAddr::V4(address) => address.ip().octets()[3].is_multiple_of(3),
        SocketAddr::V6(_) => false,
    };
    let mut rng = StdRng::seed_from_u64(1);
    let mut helped = std::collections::HashMap::new();
    let (mut questions, mut unserved) = (0, 0);
    for _cut_vm in 0..80 {
        let mut helpers = Helpers::new(HelpersSettings::default());
        for request in 0..400_u64 {
            let now = MS(request * 25);
            let mut tried = Vec::new();
            let found = (0..3).find_map(|_| {
                let address = helpers.choose(fleet.iter().copied(), &tried, now, &mut rng)?;
                questions += 1;
                tried.push(address);
                match is_cut(address) {
                    true => helpers.record_unable(address, now),
                    false => helpers.record_helped(address, now),
                }
                (!is_cut(address)).then_some(address)
            });
            match found {
                Some(address) => *helped.entry(address).or_insert(0) += 1,
                None => unserved += 1,
            }
        }
    }
    let requests = 80 * 400;
    assert!(
        unserved * 50 < requests,
        "{unserved} of {requests} unserved"
    );
    assert!(questions * 2 < requests * 3, "{questions} questions");
    let most = helped.values().max().unwrap();
    assert!(*most < 3 * requests / 160, "{most} requests at one VM");
}

#[test]
fn a_vm_that_cannot_help_is_left_alone_and_one_that_has_helped_is_preferred() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut helpers = Helpers::new(HelpersSettings::default());
    helpers.record_unable(vm(0), MS(0));
    helpers.record_helped(vm(2), MS(0));
    for _ in 0..50 {
        let chosen = helpers.choose(vms(3), &[], MS(10), &mut rng);
        assert_eq!(chosen, Some(vm(2)));
    }
    assert_eq!(
        helpers.choose(vms(3), &[vm(1), vm(2)], MS(10), &mut rng),
        None
    );
    let again = helpers.choose(vms(3), &[vm(1), vm(2)], MS(1_000), &mut rng);
    assert_eq!(again, Some(vm(0)));
}

#[test]
fn nobody_is_asked_for_a_time_after_none_could_help() {
    let mut helpers = Helpers::new(HelpersSettings::default());
    assert!(helpers.may_help(MS(0)));
    helpers.record_no_help(MS(0));
    assert!(!helpers.may_help(MS(499)));
    assert!(helpers.may_help(MS(500)));
}

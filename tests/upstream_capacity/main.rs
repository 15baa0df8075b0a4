//! Tests of the estimate of upstreams' loads and of the choices that rest on it.

mod engine_speeds;
mod estimates;
mod plain_choices;
mod plain_replay;

use plain_replay::{Replay, Rule, Sight};
use rstest::rstest;

/// Interval in which each VM sees the load of each server.
const SIGHT: Sight = Sight::Every {
    interval_us: 100_000,
};

/// Guards against requests that wait at a server that is slow for the moment.
#[rstest]
#[case::two_thirds_of_the_capacity(300, 98.0)]
#[case::five_sixths_of_the_capacity(380, 95.0)]
fn with_one_server_slow_in_turn_requests_end_in_time(
    #[case] rate_per_s: u64,
    #[case] in_time_min_percent: f64,
) {
    let common = Replay::run(Rule::Common, SIGHT, rate_per_s, true);
    let by_load = Replay::run(Rule::ByLoad, SIGHT, rate_per_s, true);
    let found = format!("by load {by_load:?}, common rule {common:?}");
    assert!(by_load.in_time_percent() >= in_time_min_percent, "{found}");
    assert!(by_load.rejected_percent() < 0.5, "{found}");
    // What the common rule does on the same load, so that the replay is known to be hard.
    assert!(common.in_time_percent() < 80.0, "{found}");
    assert!(common.rejected_percent() > 2.0, "{found}");
}

/// Guards against a choice that does worse than the common one where no server is slow.
#[rstest]
#[case::two_thirds_of_the_capacity(300)]
#[case::five_sixths_of_the_capacity(380)]
fn with_servers_of_equal_speed_all_requests_end_in_time(#[case] rate_per_s: u64) {
    let by_load = Replay::run(Rule::ByLoad, SIGHT, rate_per_s, false);
    assert_eq!(by_load.in_time, by_load.received);
}

/// Guards against a choice that needs fresh figures to be of any use: if each VM hears of a server
/// only by its own responses, its figures are half a second old.
#[rstest]
#[case::two_thirds_of_the_capacity(300)]
#[case::five_sixths_of_the_capacity(380)]
fn figures_of_own_responses_alone_still_halve_the_rejections(#[case] rate_per_s: u64) {
    let common = Replay::run(Rule::Common, Sight::OwnResponses, rate_per_s, true);
    let by_load = Replay::run(Rule::ByLoad, Sight::OwnResponses, rate_per_s, true);
    let found = format!("by load {by_load:?}, common rule {common:?}");
    assert!(by_load.in_time > common.in_time, "{found}");
    assert!(by_load.rejected * 2 <= common.rejected, "{found}");
}

/// Guards against VMs that hear of a slow server only by their own responses: here each tells the
/// others of changes that it sees.
#[rstest]
#[case::two_thirds_of_the_capacity(300, 97.0)]
#[case::five_sixths_of_the_capacity(380, 94.0)]
fn changes_that_one_vm_tells_the_others_are_enough(
    #[case] rate_per_s: u64,
    #[case] in_time_min_percent: f64,
) {
    let by_load = Replay::run(Rule::ByLoad, Sight::News, rate_per_s, true);
    assert!(
        by_load.in_time_percent() >= in_time_min_percent,
        "{by_load:?}"
    );
    assert!(by_load.rejected_percent() < 0.5, "{by_load:?}");
}

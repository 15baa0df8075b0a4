//! Tests of the decision when another engine is searched for a silent stream.

use super::*;

const SINCE: Instant = Instant::ZERO;

fn silent_stream() -> SilentStream {
    SilentStream {
        since: SINCE,
        searched_at: None,
        is_resumable: true,
        earlier_runs: 0,
        runs_max: 2,
        deadline: SINCE + MS(10_000),
    }
}

#[test]
fn another_engine_is_searched_before_callers_lose_patience() {
    let settings = StallSettings::default();
    let search_at = silent_stream().next_search_at(&settings).unwrap();
    assert_eq!(search_at, SINCE + settings.search_after);
    assert!(search_at < SINCE + MS(2_000));
}

#[rstest]
#[case::last_run(SilentStream { earlier_runs: 1, ..silent_stream() })]
#[case::only_run(SilentStream { runs_max: 1, ..silent_stream() })]
#[case::not_resumable(SilentStream { is_resumable: false, ..silent_stream() })]
#[case::no_time_left(SilentStream { deadline: SINCE + MS(1_200), ..silent_stream() })]
fn a_stream_that_cannot_move_stays_with_its_engine(#[case] stream: SilentStream) {
    assert_eq!(stream.next_search_at(&StallSettings::default()), None);
}

#[test]
fn a_search_without_result_is_repeated_at_intervals() {
    let settings = StallSettings::default();
    let searched_at = SINCE + MS(2_500);
    let stream = SilentStream {
        searched_at: Some(searched_at),
        ..silent_stream()
    };
    let search_at = stream.next_search_at(&settings).unwrap();
    assert_eq!(search_at, searched_at + settings.search_interval);
}

/// Two engines may work on one request for 400 ms at most.
#[test]
fn the_overlap_leaves_time_for_the_close_to_arrive() {
    assert!(StallSettings::default().overlap_max <= MS(300));
}

//! Origins of streams: what may have begun them, who keeps the record, and what answers prove.

use std::net::SocketAddr;

use celerylever::gateway::{
    KEEPERS, KeeperAnswer, LookupResult, OriginHistory, RouteTarget, STREAM_LIFETIME, StreamOrigin,
    StreamRecords, StreamRecordsSettings, conclude, rank_keepers, stream_key,
};

use super::*;

fn route(services: &[&str]) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/a/".into(),
        kind: RouteKind::Streaming,
        timeout: MS(15_000),
        objective: MS(500),
        priority: 1,
        services: services
            .iter()
            .map(|service| ((*service).into(), 1))
            .collect(),
        attempts: 2,
        is_public: false,
        is_resumable: true,
    }
}

/// Returns the target of a request on a route.
fn to(route: &Route) -> RouteTarget<'_> {
    RouteTarget {
        route,
        path: "/a/b/c",
    }
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "notes".into(),
        software: Some(software.into()),
    }
}

fn observe(history: &mut OriginHistory, software: &str, at: Instant) {
    history.observe("notes", Some(&software.into()), at);
}

fn record_move(history: &mut OriginHistory, path_prefix: &str, earlier: &Route, at: Instant) {
    history.record_move("h", path_prefix, Some(earlier), at);
}

fn at(ms: u64) -> Instant {
    Instant::ZERO + MS(ms)
}

const LIFETIME_MS: u64 = STREAM_LIFETIME.as_millis() as u64;

#[test]
fn the_only_software_is_certain_once_older_streams_have_ended() {
    let mut history = OriginHistory::new(at(0));
    observe(&mut history, "v1", at(10));
    assert_eq!(history.only_origin(to(&route(&["notes"])), at(20)), None);
    assert_eq!(
        history.only_seen_origin(to(&route(&["notes"])), at(20)),
        Some(origin("v1"))
    );
    observe(&mut history, "v1", at(LIFETIME_MS));
    assert_eq!(
        history.only_origin(to(&route(&["notes"])), at(LIFETIME_MS)),
        Some(origin("v1"))
    );
}

#[test]
fn a_stream_without_a_record_began_before_another_software_joined() {
    let route = route(&["notes"]);
    let mut history = OriginHistory::new(at(0));
    observe(&mut history, "v1", at(LIFETIME_MS));
    observe(&mut history, "v2", at(LIFETIME_MS + 10));
    let soon = at(LIFETIME_MS + 1_000);
    assert_eq!(history.only_origin(to(&route), soon), None);
    assert_eq!(
        history.unrecorded_origin(to(&route), soon, STREAM_LIFETIME),
        Some(origin("v1"))
    );
    observe(&mut history, "v3", soon);
    assert_eq!(
        history.unrecorded_origin(to(&route), soon, STREAM_LIFETIME),
        Some(origin("v1"))
    );
    for software in ["v1", "v2"] {
        observe(&mut history, software, at(2 * LIFETIME_MS + 10));
    }
    assert_eq!(
        history.unrecorded_origin(to(&route), at(2 * LIFETIME_MS + 10), STREAM_LIFETIME),
        None
    );
}

#[test]
fn a_vm_that_started_while_two_versions_served_takes_neither_for_the_only_one() {
    let route = route(&["notes"]);
    let mut history = OriginHistory::new(at(0));
    observe(&mut history, "v1", at(10));
    observe(&mut history, "v2", at(20));
    assert_eq!(
        history.unrecorded_origin(to(&route), at(30), STREAM_LIFETIME),
        None
    );
    // The last upstream with the first version has left; its streams may go on for a time.
    let after = at(LIFETIME_MS + 15);
    observe(&mut history, "v2", after);
    assert_eq!(history.only_origin(to(&route), after), Some(origin("v2")));
    assert_eq!(history.only_origin(to(&route), at(LIFETIME_MS + 5)), None);
}

#[test]
fn a_route_of_several_services_or_another_one_is_not_certain() {
    let mut history = OriginHistory::new(at(0));
    let now = at(LIFETIME_MS);
    observe(&mut history, "v1", now);
    assert_eq!(
        history.only_origin(to(&route(&["notes", "more"])), now),
        None
    );
    let several = route(&["notes", "more"]);
    record_move(&mut history, "/a/", &several, now);
    assert_eq!(history.only_origin(to(&route(&["notes"])), now), None);
    assert_eq!(
        history.unrecorded_origin(to(&route(&["notes"])), now, STREAM_LIFETIME),
        None
    );
    let later = at(2 * LIFETIME_MS);
    observe(&mut history, "v1", later);
    assert!(history.only_origin(to(&route(&["notes"])), later).is_some());
}

#[test]
fn other_software_another_service_and_unknown_software_do_not_go_on() {
    let entry = entry(1, UpstreamStage::Ready);
    assert!(origin("v1").is_continued_by(&entry));
    assert!(!origin("v2").is_continued_by(&entry));
    let elsewhere = StreamOrigin {
        service: "more".into(),
        ..origin("v1")
    };
    assert!(!elsewhere.is_continued_by(&entry));
    let unknown = StreamOrigin {
        software: None,
        ..origin("v1")
    };
    let unversioned = UpstreamEntry {
        software: None,
        ..entry
    };
    assert!(!unknown.is_continued_by(&unversioned));
}

#[test]
fn records_are_bounded_and_expire() {
    let mut records = StreamRecords::new(StreamRecordsSettings {
        records_max: 2,
        ..StreamRecordsSettings::default()
    });
    let key = |id: &str| stream_key(id, Some("teifi"));
    assert!(records.insert(key("a"), &origin("v1"), MS(100), at(0)));
    assert!(records.insert(key("b"), &origin("v2"), MS(300), at(0)));
    assert!(!records.insert(key("c"), &origin("v1"), MS(100), at(50)));
    assert!(records.insert(key("c"), &origin("v1"), MS(100), at(150)));
    assert_eq!(records.get(key("a"), at(150)), None);
    assert_eq!(
        records.get(key("b"), at(150)).map(|kept| (**kept).clone()),
        Some(origin("v2"))
    );
    // A record is not replaced: the first event came from one upstream.
    assert!(!records.insert(key("b"), &origin("v1"), MS(300), at(150)));
    assert_eq!(records.get(stream_key("b", Some("small")), at(150)), None);
}

fn answer(kept_since_ms: u64) -> Option<KeeperAnswer> {
    Some(KeeperAnswer {
        origin: None,
        kept_since: MS(kept_since_ms),
    })
}

fn not_recorded(within_ms: u64) -> LookupResult {
    LookupResult::NotRecorded {
        within: MS(within_ms),
    }
}

#[test]
fn no_record_is_concluded_only_for_the_time_in_which_its_keepers_would_have_it() {
    let old = || answer(LIFETIME_MS);
    let young = || answer(LIFETIME_MS - 1);
    assert_eq!(
        conclude(&[old(), old(), None, None]),
        not_recorded(LIFETIME_MS)
    );
    assert_eq!(
        conclude(&[old(), young(), old()]),
        not_recorded(LIFETIME_MS)
    );
    assert_eq!(
        conclude(&[old(), young(), None, old()]),
        not_recorded(LIFETIME_MS - 1)
    );
    assert_eq!(conclude(&[old(), None, None]), LookupResult::Unknown);
    assert_eq!(conclude(&[old(), None]), not_recorded(LIFETIME_MS));
    assert_eq!(conclude(&[young()]), not_recorded(LIFETIME_MS - 1));
    assert_eq!(conclude(&[]), LookupResult::Unknown);
    let found = Some(KeeperAnswer {
        origin: Some(origin("v1")),
        kept_since: MS(1),
    });
    assert_eq!(
        conclude(&[old(), old(), None, found]),
        LookupResult::Found(origin("v1"))
    );
}

/// Guards against a VM that refuses streams after its restart although another one is certain.
#[test]
fn a_vm_that_starts_is_as_certain_as_the_one_that_tells_it() {
    let route = route(&["notes"]);
    let mut known = OriginHistory::new(at(0));
    observe(&mut known, "v1", at(LIFETIME_MS));
    let now = at(LIFETIME_MS + 100);
    let mut started = OriginHistory::new(now);
    observe(&mut started, "v1", now);
    assert_eq!(
        started.unrecorded_origin(to(&route), now, STREAM_LIFETIME),
        None
    );
    started.learn(known.snapshot(now), now);
    // What the VM sees itself cannot be doubted for want of records.
    let found = started.unrecorded_origin(to(&route), now, MS(0));
    assert_eq!(found, Some(origin("v1")));
    // It tells the next one in turn.
    let mut next = OriginHistory::new(now);
    next.learn(started.snapshot(now), now);
    assert_eq!(next.only_origin(to(&route), now), Some(origin("v1")));
}

#[test]
fn a_vm_that_starts_hears_of_versions_and_moves_that_it_has_not_seen() {
    let route = route(&["notes"]);
    let mut known = OriginHistory::new(at(0));
    observe(&mut known, "v1", at(LIFETIME_MS));
    let now = at(LIFETIME_MS + 10_000);
    observe(&mut known, "v2", now);
    let mut started = OriginHistory::new(now);
    observe(&mut started, "v2", now);
    started.learn(known.snapshot(now), now);
    assert_eq!(started.only_origin(to(&route), now), None);
    let found = started.unrecorded_origin(to(&route), now, STREAM_LIFETIME);
    assert_eq!(found, Some(origin("v1")));
    record_move(&mut known, "/a/", &route, now);
    let mut moved = OriginHistory::new(now);
    moved.learn(known.snapshot(now), now);
    let elsewhere = Route {
        services: vec![("more".into(), 1)],
        ..route.clone()
    };
    let found = moved.unrecorded_origin(to(&elsewhere), now, STREAM_LIFETIME);
    assert_eq!(found, Some(origin("v1")));
}

#[test]
fn a_vm_that_has_not_seen_a_version_yet_teaches_nothing() {
    let mut behind = OriginHistory::new(at(0));
    observe(&mut behind, "v1", at(LIFETIME_MS));
    let now = at(LIFETIME_MS);
    let mut started = OriginHistory::new(now);
    observe(&mut started, "v1", now);
    observe(&mut started, "v2", now);
    started.learn(behind.snapshot(now), now);
    assert!(!started.has_seen_all(now));
    observe(&mut behind, "v2", now);
    started.learn(behind.snapshot(now), now);
    assert!(started.has_seen_all(now));
}

#[test]
fn a_snapshot_of_a_shorter_time_than_needed_does_not_make_certain() {
    let route = route(&["notes"]);
    let mut young = OriginHistory::new(at(LIFETIME_MS));
    observe(&mut young, "v1", at(LIFETIME_MS + 20_000));
    let now = at(LIFETIME_MS + 20_000);
    let mut started = OriginHistory::new(now);
    started.learn(young.snapshot(now), now);
    started.learn(young.snapshot(now), now);
    assert_eq!(started.only_origin(to(&route), now), None);
    observe(&mut started, "v1", now + MS(9_999));
    assert_eq!(started.only_origin(to(&route), now + MS(9_999)), None);
    assert!(started.only_origin(to(&route), now + MS(10_000)).is_some());
}

/// Guards against a guess where the record of a stream of the second version may have been lost.
#[test]
fn a_lost_record_may_be_of_a_version_that_had_joined_before() {
    let route = route(&["notes"]);
    let mut history = OriginHistory::new(at(0));
    observe(&mut history, "v1", at(LIFETIME_MS));
    observe(&mut history, "v2", at(LIFETIME_MS));
    let now = at(LIFETIME_MS + 5_000);
    assert_eq!(history.unrecorded_origin(to(&route), now, MS(4_999)), None);
    let found = history.unrecorded_origin(to(&route), now, MS(5_000));
    assert_eq!(found, Some(origin("v1")));
}

/// Guards against streams that no VM knows the origin of after their route was split.
#[test]
fn a_stream_without_a_record_began_at_the_service_before_the_change() {
    let (before, split) = (route(&["notes"]), route(&["notes", "more"]));
    let mut history = OriginHistory::new(at(0));
    observe(&mut history, "v1", at(LIFETIME_MS));
    let split_at = at(LIFETIME_MS);
    record_move(&mut history, "/a/", &before, split_at);
    let found = |history: &OriginHistory, route, at, within| {
        history.unrecorded_origin(to(route), at, MS(within))
    };
    let soon = split_at + MS(700);
    assert_eq!(found(&history, &split, soon, 700), Some(origin("v1")));
    // A record from after the change may have been lost.
    assert_eq!(found(&history, &split, soon, 699), None);
    // The split is taken back: what begins meanwhile is recorded.
    record_move(&mut history, "/a/", &split, soon);
    assert_eq!(found(&history, &before, soon, 700), Some(origin("v1")));
    assert_eq!(history.only_origin(to(&before), soon), None);
    observe(&mut history, "v1", soon + MS(LIFETIME_MS - 1));
    let late = split_at + MS(LIFETIME_MS);
    assert_eq!(found(&history, &before, late, 2 * LIFETIME_MS), None);
    let over = soon + MS(LIFETIME_MS);
    assert_eq!(history.only_origin(to(&before), over), Some(origin("v1")));
}

#[test]
fn a_change_counts_for_the_paths_that_it_moved_only() {
    let now = at(LIFETIME_MS);
    let cases = [
        // A route with a longer prefix was removed, or added.
        ("/a/b/", "/a/", Some("more")),
        ("/a/b/", "/a/b/", Some("more")),
        // The route that changed never served the path.
        ("/a/", "/a/b/", None),
        ("/a/d/", "/a/", None),
    ];
    for (moved, selected, moved_from) in cases {
        let mut history = OriginHistory::new(at(0));
        for service in ["notes", "more"] {
            history.observe(service, Some(&"v1".into()), now);
        }
        record_move(&mut history, moved, &route(&["more"]), now);
        let route = Route {
            path_prefix: selected.into(),
            ..route(&["notes"])
        };
        let found = history.unrecorded_origin(to(&route), now, STREAM_LIFETIME);
        let service = moved_from.unwrap_or("notes");
        assert_eq!(found.unwrap().service, service, "{moved} {selected}");
        let only = history.only_origin(to(&route), now);
        assert_eq!(only.is_none(), moved_from.is_some(), "{moved} {selected}");
    }
}

fn fleet(vms: u8) -> Vec<(SocketAddr, String)> {
    let vm = |number| {
        let address = SocketAddr::from(([10, 0, 0, number], 80));
        (address, format!("zone-{}", number % 3))
    };
    (1..=vms).map(vm).collect()
}

#[test]
fn the_first_two_keepers_are_in_different_zones_whatever_the_order_of_vms() {
    let vms = fleet(60);
    let mut reversed = vms.clone();
    reversed.reverse();
    let zone = |address: SocketAddr| vms.iter().find(|vm| vm.0 == address).unwrap().1.clone();
    let mut kept = std::collections::HashMap::new();
    for number in 0..6_000 {
        let key = stream_key(&format!("r{number}"), None);
        let ranked = rank_keepers(key, vms.clone());
        assert_eq!(ranked, rank_keepers(key, reversed.clone()));
        assert_ne!(zone(ranked[0]), zone(ranked[1]));
        for address in &ranked[..KEEPERS] {
            *kept.entry(*address).or_insert(0) += 1;
        }
    }
    let most = kept.values().max().unwrap();
    assert!(*most < 2 * 6_000 * KEEPERS / 60, "{most} records at one VM");
}

#[test]
fn the_loss_of_one_vm_leaves_the_order_of_the_others() {
    let vms = fleet(9);
    for number in 0..200 {
        let key = stream_key(&format!("r{number}"), None);
        let ranked = rank_keepers(key, vms.clone());
        let without = vms.iter().filter(|vm| vm.0 != ranked[0]).cloned();
        let left = rank_keepers(key, without);
        let asked = &left[..2 * KEEPERS];
        assert!(asked.contains(&ranked[1]));
    }
}

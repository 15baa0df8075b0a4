//! Memory that a VM holds for others, and the connections that are closed to make room.

use std::time::Duration;

use celerylever::caller_memory::{HolderKind, MemoryLedger, MemoryLimits};
use celerylever::entry::{Candidate, ConnectionPhase, choose_eviction};
use celerylever::gateway::{PressureCounts, PressureLog};

const MIB: usize = 1024 * 1024;

fn ledger(requests_bytes: usize, responses_bytes: usize) -> MemoryLedger {
    MemoryLedger::new(&MemoryLimits {
        small_bytes: MIB,
        requests_bytes,
        responses_bytes,
        ..MemoryLimits::new(88, 3_075)
    })
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn large_responses_share_a_bound_and_small_ones_always_fit() {
    let mut ledger = ledger(0, 16 * MIB);
    let ids: Vec<_> = (0..300)
        .map(|_| ledger.add(HolderKind::Response, false, at(0)))
        .collect();
    let fitting = ids
        .iter()
        .filter(|id| ledger.resize(**id, MIB, at(1)).is_ok());
    assert_eq!(fitting.count(), 16);
    for _ in 0..300 {
        let small = ledger.add(HolderKind::Response, false, at(2));
        assert!(ledger.resize(small, 10_000, at(2)).is_ok());
        assert!(ledger.resize(small, MIB, at(2)).is_err());
    }
    for id in ids {
        ledger.release(id);
    }
    let large = ledger.add(HolderKind::Response, false, at(3));
    assert!(ledger.resize(large, 15 * MIB, at(3)).is_ok());
}

/// Guards against the eviction of bodies that arrive while others stall.
#[test]
fn the_body_without_progress_for_longest_is_evicted() {
    let mut ledger = ledger(3 * MIB, 0);
    let ids = [0, 1, 2].map(|ms| ledger.add(HolderKind::Request, true, at(ms)));
    for (id, ms) in ids.iter().zip([10, 11, 12]) {
        assert_eq!(ledger.resize(*id, MIB, at(ms)), Ok(vec![]));
    }
    ledger.record_progress(ids[0], at(20));
    let newcomer = ledger.add(HolderKind::Request, true, at(30));
    let evicted = ledger.resize(newcomer, MIB, at(30)).unwrap();
    assert_eq!(
        evicted.iter().map(|one| one.id).collect::<Vec<_>>(),
        [ids[1]]
    );
    assert!(ledger.resize(ids[1], 2 * MIB, at(31)).is_err());
    assert_eq!(ledger.held_bytes(), 3 * MIB);
}

/// Guards against evictions that make no room, and against a refusal of what has run or may run.
#[test]
fn nothing_is_evicted_where_it_would_not_make_enough_room() {
    let mut ledger = ledger(3 * MIB, 0);
    let complete = ledger.add(HolderKind::Request, true, at(0));
    ledger.resize(complete, 2 * MIB, at(0)).unwrap();
    ledger.set_evictable(complete, false, at(1));
    let stalled = ledger.add(HolderKind::Request, true, at(2));
    ledger.resize(stalled, MIB, at(2)).unwrap();
    let newcomer = ledger.add(HolderKind::Request, true, at(3));
    assert!(ledger.resize(newcomer, 2 * MIB, at(3)).is_err());
    assert!(ledger.release(stalled) && ledger.release(complete));
}

/// Guards against large bodies that take the room of small ones.
#[test]
fn small_bodies_find_room_beside_large_ones() {
    let mut ledger = ledger(MIB, 0);
    let large = ledger.add(HolderKind::Request, false, at(0));
    ledger.resize(large, MIB, at(0)).unwrap();
    for ms in 0..200 {
        let small = ledger.add(HolderKind::Request, true, at(ms));
        assert!(ledger.resize(small, 16 * 1024, at(ms)).is_ok());
    }
    assert!(ledger.held_bytes() <= 2 * MIB);
}

/// Guards against limits that a single request or response within the configuration would meet.
#[test]
fn the_smallest_vm_holds_a_body_and_a_response_of_the_largest_size() {
    let limits = MemoryLimits::new(88, 3_075);
    assert!(limits.requests_bytes >= 4 * MIB);
    assert!(limits.responses_bytes >= 16 * MIB);
    assert!(limits.caller_connections_max >= 600);
    assert!(limits.small_bytes + limits.requests_bytes + limits.responses_bytes < 56_000_000);
}

#[test]
fn connections_with_unfinished_heads_are_closed_first() {
    let idle = Candidate {
        phase: ConnectionPhase::idle(at(0)),
        has_received_request: true,
        body_progress_at: None,
        write_blocked_since: None,
    };
    let head = |ms| Candidate {
        phase: ConnectionPhase::Head {
            since: at(ms),
            bytes: 1,
        },
        ..idle
    };
    let busy = Candidate {
        phase: ConnectionPhase::Busy { requests: 1 },
        ..idle
    };
    let body = Candidate {
        body_progress_at: Some(at(5)),
        ..busy
    };
    let unread = Candidate {
        write_blocked_since: Some(at(100)),
        ..busy
    };
    let choose = |candidates: &[Candidate], may_close_idle| {
        let candidates = candidates.iter().enumerate();
        let candidates = candidates.map(|(index, candidate)| (*candidate, index));
        choose_eviction(candidates, may_close_idle, at(2_000))
    };
    assert_eq!(choose(&[busy, idle, body, head(9), head(8)], true), Some(4));
    assert_eq!(choose(&[busy, idle, body, unread], true), Some(2));
    assert_eq!(choose(&[busy, idle, unread], true), Some(1));
    assert_eq!(choose(&[busy, idle, unread], false), Some(2));
    assert_eq!(choose(&[busy, busy], true), None);
}

/// Guards against a log that grows with the crowd.
#[test]
fn sums_are_logged_once_in_an_interval() {
    let counts = |evicted_bodies| PressureCounts {
        evicted_bodies,
        ..PressureCounts::default()
    };
    let mut log = PressureLog::default();
    assert_eq!(log.due(counts(0), at(0)), None);
    assert_eq!(log.due(counts(3), at(10)), Some(counts(3)));
    assert_eq!(log.due(counts(500), at(4_000)), None);
    assert_eq!(log.due(counts(900), at(6_000)), Some(counts(897)));
    assert_eq!(log.due(counts(900), at(60_000)), None);
}

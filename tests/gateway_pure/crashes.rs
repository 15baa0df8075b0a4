//! Crashes of engines, as told from connections that broke.

use std::sync::Arc;
use std::time::Duration;

use celerylever::gateway::{BrokenConnection, CrashGuard, CrashWatch, InterruptedRun, Suspect};

const PROCESS: u64 = 7;

fn parts(parts: &[u64]) -> Arc<[Suspect]> {
    parts.iter().copied().map(Suspect::Part).collect()
}

fn run(suspects: Arc<[Suspect]>) -> InterruptedRun {
    InterruptedRun {
        suspects,
        began_at: at(0),
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn one_check_serves_all_requests_of_an_engine() {
    let mut watch = CrashWatch::default();
    let first = watch.record_broken(PROCESS, run(parts(&[1, 2])), at(100));
    let second = watch.record_broken(PROCESS, run(parts(&[1, 3])), at(101));
    assert_eq!(first, BrokenConnection::CheckDue);
    assert_eq!(second, BrokenConnection::CheckRunning);
    let requests = vec![run(parts(&[1, 2])), run(parts(&[1, 3]))];
    assert_eq!(watch.record_crash(PROCESS), Some((at(100), requests)));
    let late = watch.record_broken(PROCESS, run(parts(&[4])), at(150));
    assert_eq!(late, BrokenConnection::Crashed);
}

#[test]
fn a_broken_connection_of_an_engine_that_listens_is_no_crash() {
    let mut watch = CrashWatch::default();
    watch.record_broken(PROCESS, run(parts(&[1])), at(100));
    watch.record_listening(PROCESS);
    assert_eq!(watch.record_crash(PROCESS), None);
    let next = watch.record_broken(PROCESS, run(parts(&[1])), at(200));
    assert_eq!(next, BrokenConnection::CheckDue);
}

#[test]
fn a_run_that_ended_just_before_the_crash_belongs_to_it() {
    let mut watch = CrashWatch::default();
    watch.record_end(PROCESS, &run(parts(&[8])), at(0));
    watch.record_end(PROCESS, &run(parts(&[9])), at(900));
    assert_eq!(watch.take_survived(at(1_000)), [(parts(&[8]), at(0))]);
    watch.record_broken(PROCESS, run(parts(&[1])), at(1_100));
    let requests = vec![run(parts(&[1])), run(parts(&[9]))];
    assert_eq!(watch.record_crash(PROCESS), Some((at(1_100), requests)));
    assert!(watch.take_survived(at(9_000)).is_empty());
}

/// Guards against a frequent request that is charged with the crash of an engine that answered it.
#[test]
fn a_request_that_ended_just_before_the_crash_does_not_belong_to_it() {
    let mut watch = CrashWatch::default();
    let suspects: Arc<[Suspect]> = Arc::new([Suspect::Request(5), Suspect::Part(8)]);
    watch.record_end(PROCESS, &run(suspects), at(900));
    watch.record_end(PROCESS, &run(Arc::new([Suspect::Request(6)])), at(950));
    watch.record_broken(PROCESS, run(Arc::new([Suspect::Request(7)])), at(1_000));
    let requests = vec![run(Arc::new([Suspect::Request(7)])), run(parts(&[8]))];
    assert_eq!(watch.record_crash(PROCESS), Some((at(1_000), requests)));
}

/// Guards against held parts that the log does not name: only runs that had ended were at the crash,
/// or another VM had the requests.
#[test]
fn a_held_part_is_named_by_the_first_request_that_is_refused() {
    let mut guard = CrashGuard::default();
    let part = Suspect::Part(8);
    for process in 1..=3 {
        let ms = process * 1_000;
        guard.record_end(process, &run(parts(&[8])), at(ms - 100));
        guard.record_broken(process, run(parts(&[])), std::iter::empty(), at(ms));
        guard.record_crash(process);
    }
    let changes = guard.tick(at(9_000));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].record.part_id, None);
    let named = guard.name_held(part, "document", at(9_100)).unwrap();
    assert_eq!(named.record.part_id.as_deref(), Some("document"));
    assert_eq!(guard.name_held(part, "document", at(9_200)), None);
    // The others and the store are told.
    let told = guard.next_news(at(9_200)).records;
    assert_eq!(told[0].part_id.as_deref(), Some("document"));
}

//! Crashes of engines, as told from connections that broke.

use std::sync::Arc;
use std::time::Duration;

use celerylever::gateway::{BrokenConnection, CrashWatch, PartHash};

const PROCESS: u64 = 7;

fn parts(parts: &[PartHash]) -> Arc<[PartHash]> {
    parts.into()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn one_check_serves_all_requests_of_an_engine() {
    let mut watch = CrashWatch::default();
    let first = watch.record_broken(PROCESS, &parts(&[1, 2]), at(100));
    let second = watch.record_broken(PROCESS, &parts(&[1, 3]), at(101));
    assert_eq!(first, BrokenConnection::CheckDue);
    assert_eq!(second, BrokenConnection::CheckRunning);
    let requests = watch.record_crash(PROCESS);
    assert_eq!(requests, [parts(&[1, 2]), parts(&[1, 3])]);
    let late = watch.record_broken(PROCESS, &parts(&[4]), at(150));
    assert_eq!(late, BrokenConnection::Crashed);
}

#[test]
fn a_broken_connection_of_an_engine_that_listens_is_no_crash() {
    let mut watch = CrashWatch::default();
    watch.record_broken(PROCESS, &parts(&[1]), at(100));
    watch.record_listening(PROCESS);
    assert!(watch.record_crash(PROCESS).is_empty());
    let next = watch.record_broken(PROCESS, &parts(&[1]), at(200));
    assert_eq!(next, BrokenConnection::CheckDue);
}

#[test]
fn a_run_that_ended_just_before_the_crash_belongs_to_it() {
    let mut watch = CrashWatch::default();
    watch.record_end(PROCESS, &parts(&[8]), at(0));
    watch.record_end(PROCESS, &parts(&[9]), at(900));
    assert_eq!(watch.take_survived(at(1_000)), [(parts(&[8]), at(0))]);
    watch.record_broken(PROCESS, &parts(&[1]), at(1_100));
    assert_eq!(watch.record_crash(PROCESS), [parts(&[1]), parts(&[9])]);
    assert!(watch.take_survived(at(9_000)).is_empty());
}

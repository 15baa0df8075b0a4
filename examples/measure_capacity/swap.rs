//! Reads of the snapshot in force while it changes, by three ways of changing it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use celerylever::document::{Document, Snapshot};
use hdrhistogram::Histogram;

const READERS: usize = 4;
const RUN: Duration = Duration::from_secs(2);
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two reads of a paced reader.
const READ_INTERVAL: Duration = Duration::from_micros(50);
const READ_MAX_NS: u64 = 10_000_000_000;

/// Measures each way without changes and with 50 a second.
pub(crate) fn measure(document: &Document) {
    anstream::println!(
        "\n| way | changes | unpaced p50 ns | paced p50 us | p99 us | p99.9 us |\n\
         |---|---|---|---|---|---|"
    );
    report("two readings of the clock", None, || 0, |_| ());
    for interval in [None, Some(CHANGE_INTERVAL)] {
        swap(document, interval);
        swap_under_lock(document, interval);
        update_under_lock(document, interval);
    }
}

/// The entry's way: the next snapshot is prepared, then one pointer is swapped.
fn swap(document: &Document, interval: Option<Duration>) {
    let cell = ArcSwapOption::new(Some(Arc::new(Snapshot::compile(1, document.clone()))));
    let read = || cell.load_full().map_or(0, |snapshot| snapshot.version);
    let write = |version| {
        let next = Arc::new(Snapshot::compile(version, document.clone()));
        cell.store(Some(next));
    };
    report("swap of an `Arc`", interval, read, write);
}

/// The same preparation, with the pointer behind a lock.
fn swap_under_lock(document: &Document, interval: Option<Duration>) {
    let cell = RwLock::new(Arc::new(Snapshot::compile(1, document.clone())));
    let read = || {
        let snapshot = Arc::clone(&cell.read().expect("no writer panics"));
        snapshot.version
    };
    let write = |version| {
        let next = Arc::new(Snapshot::compile(version, document.clone()));
        let former = std::mem::replace(&mut *cell.write().expect("no reader panics"), next);
        drop(former);
    };
    report("`RwLock` of an `Arc`", interval, read, write);
}

/// Tables that are rebuilt in place while the lock keeps readers out.
fn update_under_lock(document: &Document, interval: Option<Duration>) {
    let cell = RwLock::new(Snapshot::compile(1, document.clone()));
    let read = || cell.read().expect("no writer panics").version;
    let write = |version| {
        let mut snapshot = cell.write().expect("no reader panics");
        *snapshot = Snapshot::compile(version, document.clone());
    };
    report("rebuilt under the lock", interval, read, write);
}

fn report(
    way: &str,
    interval: Option<Duration>,
    read: impl Fn() -> u64 + Sync,
    write: impl Fn(u64) + Sync,
) {
    let tight = run(interval, None, &read, &write);
    let paced = run(interval, Some(READ_INTERVAL), &read, &write);
    let changes = interval.map_or("none".into(), |every| {
        format!("{:.0} a second", 1.0 / every.as_secs_f64())
    });
    let us = |share| paced.value_at_quantile(share) as f64 / 1e3;
    anstream::println!(
        "| {way} | {changes} | {} | {:.2} | {:.1} | {:.1} |",
        tight.value_at_quantile(0.5),
        us(0.5),
        us(0.99),
        us(0.999),
    );
}

fn run(
    interval: Option<Duration>,
    pace: Option<Duration>,
    read: &(impl Fn() -> u64 + Sync),
    write: &(impl Fn(u64) + Sync),
) -> Histogram<u64> {
    let is_over = AtomicBool::new(false);
    let mut all = histogram();
    thread::scope(|scope| {
        let readers: Vec<_> = (0..READERS)
            .map(|_| scope.spawn(|| read_until(&is_over, pace, read)))
            .collect();
        write_for(interval, write);
        is_over.store(true, Ordering::Relaxed);
        for reader in readers {
            all += reader.join().expect("no reader panics");
        }
    });
    all
}

/// Reads as often as it can, or once in each interval and then timed from when the read was due.
fn read_until(
    is_over: &AtomicBool,
    pace: Option<Duration>,
    read: &impl Fn() -> u64,
) -> Histogram<u64> {
    let mut times = histogram();
    let mut due = Instant::now();
    while !is_over.load(Ordering::Relaxed) {
        due = pace.map_or_else(Instant::now, |pace| due + pace);
        while Instant::now() < due {
            std::hint::spin_loop();
        }
        std::hint::black_box(read());
        times.saturating_record(due.elapsed().as_nanos() as u64);
    }
    times
}

fn write_for(interval: Option<Duration>, write: &impl Fn(u64)) {
    let begun = Instant::now();
    let mut version = 1;
    while begun.elapsed() < RUN {
        if interval.is_some() {
            version += 1;
            write(version);
        }
        thread::sleep(interval.unwrap_or(CHANGE_INTERVAL));
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, READ_MAX_NS, 3).expect("bounds are valid")
}

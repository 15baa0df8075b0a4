//! Time for a configuration and a key's withdrawal to reach all VMs, and what links cost.
//!
//! Build the entry first: `cargo build --release --bin celerylever-entry`.

#![allow(clippy::print_stdout, reason = "a measurement prints its table")]

#[allow(dead_code, unreachable_pub, reason = "a part of it is used")]
#[path = "../tests/support/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celerylever::config::{FetchAction, FetchRequest, VersionTracker, VersionTrackerSettings};
use celerylever_testkit::Faults;
use fleet::{Entry, Fleet, FleetSettings, KEY, digest_text};
use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};

const VMS: usize = 8;
const CHANGES: u32 = 50;
const SIZES_KB: [usize; 3] = [20, 100, 400];
const CHANGES_PER_DAY: f64 = 3_400.0;
/// Time in which the first connections are made, which cost more than what follows.
const WARM_UP: Duration = Duration::from_secs(20);
const IDLE: Duration = Duration::from_secs(30);

#[tokio::main]
async fn main() {
    // `memory` as an argument leaves out what starts processes.
    if std::env::args().nth(1).as_deref() != Some("memory") {
        for size_kb in SIZES_KB {
            real(size_kb).await;
        }
        starts().await;
    }
    for (what, reached) in [("all but 35", 315), ("one", 1)] {
        in_memory(what, reached);
    }
}

/// Pads a document with upstreams and customers in the proportions of the two-year size.
fn padded(fleet: &Fleet, size_kb: usize, weight: u32) -> String {
    let mut text = fleet
        .document()
        .replacen("weight = 1", &format!("weight = {weight}"), 1);
    let mut index = 0;
    while text.len() < size_kb * 1_024 {
        text += &format!(
            "[upstream.padding-{index:04}]\naddress = 10.0.{}.{}:8000\navailability_zone = a\n\
             kind = engine\nmodels = booking\nrepeatable = true\nfencing = refuses\n\
             credential = engine-credential\n",
            index / 250,
            index % 250 + 1
        );
        if index % 5 == 0 {
            let digest = digest_text(&format!("padding-key-{index}"));
            text += &format!(
                "[customer.padding-{index:04}]\nkey_digests = {digest}\n\
                 rate_tokens_per_s = 1000\nburst_tokens = 1000000\nweight = 1\n\
                 models = booking\n"
            );
        }
        index += 1;
    }
    text
}

async fn real(size_kb: usize) {
    let mut fleet = Fleet::start(FleetSettings {
        entries: VMS,
        peers: true,
        ..FleetSettings::default()
    })
    .await;
    let text = padded(&fleet, size_kb, 2);
    let version = fleet.apply(&text).await;
    all_have(&fleet, version).await;
    let at_start = link_bytes(&fleet).await;
    tokio::time::sleep(WARM_UP).await;
    let start_kb = 2.0 * (link_bytes(&fleet).await - at_start) / VMS as f64 / 1_000.0;
    let (cpu, bytes) = (cpu_ms(&fleet), link_bytes(&fleet).await);
    tokio::time::sleep(IDLE).await;
    let idle_cpu_ms = cpu_ms(&fleet) - cpu;
    let idle_bytes = link_bytes(&fleet).await - bytes;
    let seconds = IDLE.as_secs_f64() * VMS as f64;
    let links_per_s = 2.0 * idle_bytes / seconds;
    let (mut configurations, mut withdrawals) = (Vec::new(), Vec::new());
    let (old, new) = (digest_text(KEY), digest_text("another-key-0123456789"));
    let cpu = cpu_ms(&fleet);
    for change in 0..CHANGES {
        let text = padded(&fleet, size_kb, 3 + change % 2);
        let started = Instant::now();
        let version = fleet.apply(&text).await;
        all_have(&fleet, version).await;
        configurations.push(started.elapsed());
        let started = Instant::now();
        fleet.apply(&text.replace(&old, &new)).await;
        all_refuse(&fleet).await;
        withdrawals.push(started.elapsed());
    }
    let change_cpu_ms = (cpu_ms(&fleet) - cpu) / f64::from(CHANGES * 2) / VMS as f64;
    let document_per_s = text.len() as f64 * CHANGES_PER_DAY / 86_400.0;
    println!(
        "{VMS} VMs, {size_kb} KB: configuration p50 {:.1?} p99 {:.1?}; withdrawal p50 {:.1?} \
         p99 {:.1?}; links {links_per_s:.0} B/s a VM after {start_kb:.0} KB in the first {WARM_UP:?}, idle CPU {:.2}% of a core a VM, \
         {change_cpu_ms:.1} ms CPU a change a VM (with this program's polls); whole documents at \
         {CHANGES_PER_DAY} changes a day {:.1} KB/s a VM",
        percentile(&mut configurations, 50),
        percentile(&mut configurations, 99),
        percentile(&mut withdrawals, 50),
        percentile(&mut withdrawals, 99),
        idle_cpu_ms / 10.0 / seconds,
        document_per_s / 1_000.0,
    );
}

async fn all_have(fleet: &Fleet, version: u64) {
    let waits = fleet.entries.iter().map(|entry| async move {
        while fleet.version(entry).await < Some(version) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    futures_util::future::join_all(waits).await;
}

async fn all_refuse(fleet: &Fleet) {
    let waits = fleet.entries.iter().map(|entry| async move {
        while status(fleet, entry).await != 401 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    futures_util::future::join_all(waits).await;
}

async fn status(fleet: &Fleet, entry: &Entry) -> u16 {
    let answer = fleet.get(entry.callers, "/v1/models", Some(KEY)).await;
    answer.map_or(0, |answer| answer.status)
}

async fn link_bytes(fleet: &Fleet) -> f64 {
    let mut bytes = 0.0;
    for entry in &fleet.entries {
        bytes += fleet.counter(entry, "peer_link_bytes{").await;
    }
    bytes
}

fn cpu_ms(fleet: &Fleet) -> f64 {
    let spent = fleet.entries.iter().map(|entry| {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", entry.process.id()));
        let stat = stat.unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()
    });
    // The kernel counts hundredths of a second.
    spent.sum::<f64>() * 10.0
}

/// Time from the start of a process to its first request served.
async fn starts() {
    let mut fleet = Fleet::start(FleetSettings {
        entries: 3,
        peers: true,
        ..FleetSettings::default()
    })
    .await;
    let text = padded(&fleet, 400, 2);
    let version = fleet.apply(&text).await;
    all_have(&fleet, version).await;
    for (what, refuse, freeze) in [
        ("up", false, false),
        ("refusing", true, false),
        ("silent", false, true),
    ] {
        fleet.store.faults().set(Faults {
            refuse,
            freeze,
            ..Faults::default()
        });
        let mut times = Vec::new();
        for run in 0..20 {
            let started = Instant::now();
            let entry = fleet.start_entry(&format!("new-{what}-{run}"));
            while status(&fleet, &entry).await != 200 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            times.push(started.elapsed());
        }
        println!(
            "start to first request served, 400 KB, store {what}: p50 {:.1?} max {:.1?}",
            percentile(&mut times, 50),
            percentile(&mut times, 100),
        );
    }
}

fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort();
    times[(times.len() * percent).div_ceil(100).max(1) - 1]
}

/// 350 trackers; the store delivers to some, the rest hear of it by heartbeats.
///
/// Five witnesses hear every 3 to 3.5 s and two other peers in turn each second; the heartbeats sent
/// at once when a version rises are left out.
fn in_memory(what: &str, reached: usize) {
    const NODES: usize = 350;
    const RUNS: u64 = 50;
    const TICK: Duration = Duration::from_millis(10);
    const FETCH_TICKS: u32 = 10;
    let mut times = Vec::new();
    for seed in 0..RUNS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut trackers = vec![VersionTracker::new(VersionTrackerSettings::default()); NODES];
        let witnesses: Vec<Vec<usize>> = (0..NODES)
            .map(|_| sample(&mut random, NODES, 5).into_vec())
            .collect();
        let mut neighbours: Vec<Vec<usize>> = (0..NODES)
            .map(|_| sample(&mut random, NODES, 2).into_vec())
            .collect();
        let mut rounds: Vec<u32> = (0..NODES).map(|_| random.random_range(0..300)).collect();
        let mut beats: Vec<u32> = (0..NODES).map(|_| random.random_range(0..100)).collect();
        let mut fetches = vec![(0_u32, 0_usize); NODES];
        for (index, tracker) in trackers.iter_mut().enumerate() {
            tracker.accept(1);
            // Those that the store does not reach have a silent watch, and do not know it yet.
            tracker.set_store_reachable(reached > 1);
            if index < reached {
                tracker.accept(2);
            }
        }
        let mut now = Duration::ZERO;
        while trackers.iter().any(|tracker| tracker.in_force() < 2) {
            now += TICK;
            for node in 0..NODES {
                beats[node] = beats[node].saturating_sub(1);
                rounds[node] = rounds[node].saturating_sub(1);
                let mut targets = Vec::new();
                if beats[node] == 0 {
                    beats[node] = random.random_range(90..110);
                    neighbours[node].rotate_left(1);
                    targets.push(neighbours[node][0]);
                }
                if rounds[node] == 0 {
                    rounds[node] = random.random_range(300..350);
                    targets.extend(witnesses[node].iter().copied());
                }
                for target in targets {
                    for (teller, hearer) in [(node, target), (target, node)] {
                        let version = trackers[teller].in_force();
                        trackers[hearer].record_advertised(address(teller), version, now);
                    }
                }
                match fetches[node] {
                    (0, _) => {
                        if let FetchAction::Fetch(FetchRequest { from, .. }) =
                            trackers[node].next_action(now)
                        {
                            trackers[node].remove_peer(from);
                            fetches[node] = (FETCH_TICKS, usize::from(from.port()) - 1_000);
                        }
                    }
                    (1, from) => {
                        let version = trackers[from].in_force();
                        trackers[node].accept(version);
                        fetches[node].0 = 0;
                    }
                    _ => fetches[node].0 -= 1,
                }
            }
        }
        times.push(now);
    }
    println!(
        "350 VMs in memory, the store reaches {what}: all after p50 {:.2?} p99 {:.2?}",
        percentile(&mut times, 50),
        percentile(&mut times, 99),
    );
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16))
}

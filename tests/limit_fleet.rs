//! Rates over three linked entry processes: kills, pauses, outages, shutdowns.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/fleet.rs"]
mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use celerylever::clock::SystemClock;
use celerylever::limit::wire::Process;
use celerylever::limit::{
    Candidate, FleetView, HOLDERS_PER_SLOT_MAX, Limiter, LimiterSettings, MILLION, NoPeers,
    SLOT_COUNT, SlotRecord, SlotShare, slot_name, slot_of, sync_slot_records,
};
use celerylever::membership::{RecordState, VmRecord};
use celerylever::platform::{Kind, PutOutcome, StoreClient};
use celerylever::settings::PlatformSettings;
use celerylever::telemetry::Telemetry;
use celerylever_testkit::{Faults, Store, StoreSettings};
use fleet::{Fleet, FleetSettings, HttpClient, KEY, request, whole};
use futures_util::future::BoxFuture;
use http::Method;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const WATCHDOG: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(50);
const SHORT_LEASE: &str = "request_timeout_ms = 100\nlease_ms = 900\n";
/// Longer than any test may take, so that nothing can have waited for it.
const LONG_LEASE: &str = "lease_ms = 600000\n";
const SLOTS_PATH: &str = "/slots/list";

/// Burst in requests; no model may cost more than the tokens that it stands for.
const BURST: u64 = 300;
/// Cost of each request.
const COST_TOKENS: u64 = 1_000;

/// Starts a fleet whose customer may make `rate` requests in a second, and [`BURST`] at once.
async fn start(rate: u64, platform: &str) -> Fleet {
    let fleet = start_entries(3, rate, platform).await;
    wait_records(&fleet, |record| record.shares.len() == HOLDERS_PER_SLOT_MAX).await;
    fleet
}

async fn start_entries(entries: usize, rate: u64, platform: &str) -> Fleet {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 1,
        entries,
        peers: true,
        rate_tokens_per_s: rate * COST_TOKENS,
        burst_tokens: BURST * COST_TOKENS,
        platform: platform.into(),
        ..FleetSettings::default()
    })
    .await;
    let cost = format!("cost_tokens = {COST_TOKENS}\n");
    let document = fleet.document().replace("cost_tokens = 1\n", &cost);
    fleet.apply_everywhere(&document).await;
    fleet
}

fn slot_record(fleet: &Fleet, slot: u8) -> Option<SlotRecord> {
    let object = fleet.store.object("share", &slot_name(slot))?;
    Some(SlotRecord::parse(&object.value).unwrap())
}

/// Waits until the records of all slots are as wanted.
async fn wait_records(fleet: &Fleet, is_wanted: impl Fn(&SlotRecord) -> bool) {
    let is_so = |slot| slot_record(fleet, slot).is_some_and(|record| is_wanted(&record));
    let wanted = async {
        while !(0..SLOT_COUNT).all(is_so) {
            sleep(LOOK).await;
        }
    };
    if timeout(WATCHDOG, wanted).await.is_err() {
        panic!("slot 0: {:?}", slot_record(fleet, 0));
    }
}

fn is_held_by(record: &SlotRecord, vm: &str) -> bool {
    record.shares.iter().any(|part| part.holder.vm == vm)
}

fn whole_is_held(record: &SlotRecord) -> bool {
    let shares = record.shares.iter();
    shares.map(|part| part.parts_per_million).sum::<u32>() == 1_000_000
}

/// One answered request.
#[derive(Debug, Clone, Copy)]
struct Seen {
    sent: Instant,
    answered: Instant,
    /// Status, or the number of the refusal.
    code: u64,
}

/// Callers that ask VMs without end, each VM on its own.
struct Load {
    is_over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Seen>>>,
}

impl Load {
    fn start(fleet: &Fleet, vms: &[usize]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let call = |vm: &usize| {
            let (client, address) = (fleet.client.clone(), fleet.entries[*vm].callers);
            tokio::spawn(ask(client, address, is_over.clone()))
        };
        let callers = vms.iter().map(call).collect();
        Self { is_over, callers }
    }

    async fn end(self) -> Vec<Seen> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut seen = Vec::new();
        for caller in self.callers {
            let ended = timeout(WATCHDOG, caller).await;
            seen.extend(ended.expect("the callers end").unwrap());
        }
        seen
    }
}

async fn ask(client: HttpClient, address: SocketAddr, is_over: Arc<AtomicBool>) -> Vec<Seen> {
    let mut seen = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        seen.extend(ask_once(&client, address).await);
        sleep(Duration::from_millis(3)).await;
    }
    seen
}

async fn ask_once(client: &HttpClient, address: SocketAddr) -> Option<Seen> {
    let sent = Instant::now();
    let request = request(address, Method::GET, SLOTS_PATH, Some(KEY), "");
    let answer = whole(client.request(request).await.ok()?).await;
    Some(Seen {
        sent,
        answered: Instant::now(),
        code: match answer.status {
            200 => 200,
            _ => answer.refusal().0,
        },
    })
}

fn count(seen: &[Seen], code: u64) -> usize {
    seen.iter().filter(|seen| seen.code == code).count()
}

/// Checks what was admitted in every span of time; a request was admitted while it ran.
fn check_windows(seen: &[Seen], rate: f64) {
    let mut admitted: Vec<_> = seen.iter().filter(|seen| seen.code == 200).collect();
    admitted.sort_by_key(|seen| seen.answered);
    for first in &admitted {
        let mut requests = 0.0;
        for last in admitted.iter().filter(|last| last.sent >= first.sent) {
            requests += 1.0;
            let span = last.answered - first.sent;
            let most = rate.mul_add(span.as_secs_f64(), BURST as f64);
            assert!(requests <= most, "{requests} in {span:?}, at most {most}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_first_vm_leaves_the_rate_to_the_others() {
    let mut fleet = start_entries(1, 1_000, LONG_LEASE).await;
    let is_alone = |record: &SlotRecord| record.shares.len() == 1 && whole_is_held(record);
    wait_records(&fleet, is_alone).await;
    for vm in ["v1", "v2"] {
        let entry = fleet.start_entry(vm);
        fleet.wait_ready(&entry).await;
        fleet.entries.push(entry);
    }
    wait_records(&fleet, |record| record.shares.len() == HOLDERS_PER_SLOT_MAX).await;
    // The receivers' parts start empty; a third of the rate fills them in this time.
    sleep(Duration::from_secs(1)).await;
    fleet.entries[0].process.kill().unwrap();
    fleet.entries[0].process.wait().unwrap();
    for entry in &fleet.entries[1..] {
        for _ in 0..20 {
            let seen = ask_once(&fleet.client, entry.callers).await.unwrap();
            assert_eq!(seen.code, 200);
        }
    }
    assert!((0..SLOT_COUNT).all(|slot| is_held_by(&slot_record(&fleet, slot).unwrap(), "v0")));
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_vm_brings_no_fresh_burst() {
    let mut fleet = start(2, SHORT_LEASE).await;
    let load = Load::start(&fleet, &[0, 1, 2]);
    sleep(Duration::from_secs(2)).await;
    fleet.entries[0].process.kill().unwrap();
    fleet.entries[0].process.wait().unwrap();
    wait_records(&fleet, |record| {
        !is_held_by(record, "v0") && whole_is_held(record)
    })
    .await;
    sleep(Duration::from_secs(2)).await;
    let seen = load.end().await;
    // A VM that claimed all alone keeps a third of the burst, and the others' parts start empty.
    assert!(count(&seen, 200) >= 90, "{}", count(&seen, 200));
    check_windows(&seen, 2.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_paused_past_its_lease_spends_nothing_twice() {
    let fleet = start(100, SHORT_LEASE).await;
    let load = Load::start(&fleet, &[0, 1, 2]);
    sleep(Duration::from_secs(1)).await;
    fleet.entries[0].signal("STOP");
    let slot = slot_of("depots");
    wait_records(&fleet, |record| !is_held_by(record, "v0")).await;
    assert!(whole_is_held(&slot_record(&fleet, slot).unwrap()));
    fleet.entries[0].signal("CONT");
    sleep(Duration::from_secs(3)).await;
    let seen = load.end().await;
    assert!(count(&seen, 200) > 100, "{}", count(&seen, 200));
    check_windows(&seen, 100.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_of_the_store_changes_no_limit() {
    let fleet = start(100, SHORT_LEASE).await;
    let load = Load::start(&fleet, &[0, 1, 2]);
    sleep(Duration::from_secs(1)).await;
    fleet.store.faults().set(Faults {
        refuse: true,
        ..Faults::default()
    });
    sleep(Duration::from_secs(4)).await;
    fleet.store.faults().set(Faults::default());
    sleep(Duration::from_secs(2)).await;
    let seen = load.end().await;
    assert!(count(&seen, 200) > 200, "{}", count(&seen, 200));
    check_windows(&seen, 100.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn customer_at_one_vm_gets_its_whole_rate() {
    let fleet = start(50, "").await;
    let load = Load::start(&fleet, &[2, 2]);
    sleep(Duration::from_secs(4)).await;
    let started = Instant::now();
    sleep(Duration::from_secs(8)).await;
    let span = started.elapsed();
    let seen = load.end().await;
    check_windows(&seen, 50.0);
    let after: Vec<_> = seen
        .into_iter()
        .filter(|seen| seen.sent >= started && seen.sent < started + span)
        .collect();
    // The bucket was used up at the start, so that one bucket would admit the refill alone.
    let one_bucket = 50.0 * span.as_secs_f64();
    let admitted = count(&after, 200) as f64;
    let refused = count(&after, 2001);
    assert!(
        admitted >= 0.9 * one_bucket,
        "{admitted} of {one_bucket}, {refused} refused"
    );
    assert!(refused > 0, "the demand was below the rate");
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_that_shuts_down_hands_its_parts_over() {
    let mut fleet = start(1_000, LONG_LEASE).await;
    let seen = ask_once(&fleet.client, fleet.entries[0].callers).await;
    assert_eq!(seen.unwrap().code, 200);
    fleet.entries[0].signal("TERM");
    let mut entry = fleet.entries.remove(0);
    let ended = tokio::task::spawn_blocking(move || entry.process.wait().unwrap());
    let ended = timeout(WATCHDOG, ended).await.expect("the entry ends");
    assert!(ended.unwrap().success());
    for slot in 0..SLOT_COUNT {
        let record = slot_record(&fleet, slot).unwrap();
        assert!(
            !is_held_by(&record, "v0") && whole_is_held(&record),
            "{record:?}"
        );
    }
}

/// Membership of a VM alone that learns of no fence.
#[derive(Debug)]
struct Unknowing;

fn process(vm: &str) -> Process {
    Process {
        vm: vm.into(),
        incarnation: 1,
    }
}

impl FleetView for Unknowing {
    fn own_process(&self) -> Process {
        process("v1")
    }

    fn valid_until(&self) -> Option<Duration> {
        Some(Duration::MAX)
    }

    fn candidates(&self) -> Vec<Candidate> {
        vec![Candidate {
            process: process("v1"),
            availability_zone: "a".into(),
        }]
    }

    fn fenced(&self, _processes: &[Process]) -> Vec<Process> {
        Vec::new()
    }

    fn changed(&self) -> BoxFuture<'static, ()> {
        Box::pin(std::future::pending())
    }
}

async fn put(client: &StoreClient, kind: Kind, name: &str, version: u64, value: &str) -> u64 {
    match client.put(kind, name, version, value).await.unwrap() {
        PutOutcome::Applied(version) => version,
        outcome => panic!("{outcome:?}"),
    }
}

fn vm_text(state: RecordState) -> String {
    let record = VmRecord {
        vm: "v0".into(),
        incarnation: 1,
        peer_address: None,
        availability_zone: "a".into(),
        renewals: 1,
        witnesses: Vec::new(),
        state,
        document_version: 1,
    };
    serde_json::to_string(&record).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn fence_that_only_the_holders_record_tells_frees_its_part() {
    let store = Store::start(StoreSettings::default()).await.unwrap();
    let client = StoreClient::new(PlatformSettings {
        store_address: store.address(),
        ..PlatformSettings::default()
    });
    let record = SlotRecord {
        shares: vec![SlotShare {
            holder: process("v0"),
            parts_per_million: MILLION,
            is_first: true,
        }],
    };
    let slot = slot_name(7);
    put(&client, Kind::Share, &slot, 0, &record.to_text().unwrap()).await;
    let version = put(&client, Kind::Vm, "v0", 0, &vm_text(RecordState::Active)).await;
    let limiter = Limiter::new(
        LimiterSettings::default(),
        SystemClock::shared(),
        Telemetry::new().metrics().clone(),
        Arc::new(Unknowing),
        Arc::new(NoPeers),
    );
    let limiter = Arc::new(limiter);
    let following = sync_slot_records(client.clone(), limiter.clone(), Duration::from_secs(60));
    let following = tokio::spawn(following);
    let holder = || {
        limiter
            .record(7)
            .1
            .map(|record| record.shares[0].holder.clone())
    };
    sleep(Duration::from_secs(3)).await;
    assert_eq!(holder(), Some(process("v0")), "the holder lives");
    put(
        &client,
        Kind::Vm,
        "v0",
        version,
        &vm_text(RecordState::Fenced),
    )
    .await;
    let freed = async {
        while holder() != Some(process("v1")) {
            sleep(LOOK).await;
        }
    };
    timeout(WATCHDOG / 3, freed)
        .await
        .expect("the part is free");
    following.abort();
}

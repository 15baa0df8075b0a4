//! Measures what callers are told and what an entry costs, on real entries and stand-ins.
//!
//! `cargo run --release --example measure_outcome -- target/release/celerylever-entry [REQUESTS]`

#![allow(clippy::print_stdout, reason = "it prints its report")]

#[allow(dead_code, reason = "a part of it is used")]
#[path = "../tests/support/fleet.rs"]
mod fleet;

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use celerylever_testkit::{
    Answer as ExpectedAnswer, EngineSettings, FaultHandle, Faults, Service, ServiceSettings,
    prompt_text,
};
use fleet::{Fleet, FleetSettings, KEY, chat, expected_stream, request};
use hdrhistogram::Histogram;
use http::{Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const SEED: u64 = 6;
const REQUESTS: usize = 100_000;
const WORKERS: usize = 48;
const PATH: &str = "/v1/chat/completions";
const SHORT_TIMEOUTS: &str =
    "[upstream]\nconnect_timeout_ms = 200\nidle_timeout_ms = 300\nfirst_byte_timeout_ms = 300\n";
const SLOW_CALLERS: usize = 2_000;
const LATENCY_PER_S: u64 = 500;
const LATENCY_REQUESTS: u64 = 10_000;
const CORE_STREAMS: usize = 16;
const CORE_TOKENS: u64 = 60_000;
const PACED_INTERVAL: Duration = Duration::from_millis(5);
const PACED_STREAMS: usize = 200;
const PACED_TOKENS: u64 = 1_000;
const CLOCK_TICKS_PER_S: f64 = 100.0;

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments.next().expect("usage: PROGRAM [REQUESTS]");
    let requests = arguments
        .next()
        .map_or(REQUESTS, |text| text.parse().unwrap());
    let settings = FleetSettings {
        program: Some(PathBuf::from(program)),
        ..Default::default()
    };
    if requests > 0 {
        random_faults(&settings, requests).await;
    }
    deaths(&settings).await;
    outage(&settings).await;
    slow_callers(&settings).await;
    latency(&settings).await;
    tokens_per_core(&settings, Duration::ZERO, CORE_STREAMS, CORE_TOKENS).await;
    tokens_per_core(&settings, PACED_INTERVAL, PACED_STREAMS, PACED_TOKENS).await;
}

/// What came back for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Came {
    Whole,
    Crossed,
    Cut,
    NotRun,
    Unknown,
}

struct Told {
    id: String,
    is_plain: bool,
    came: Came,
}

async fn random_faults(settings: &FleetSettings, requests: usize) {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 3,
        entries: 2,
        peers: true,
        extra: SHORT_TIMEOUTS.to_owned(),
        ..settings.clone()
    })
    .await;
    let spare = Service::start(ServiceSettings::default()).await.unwrap();
    let document = fleet
        .document()
        .replace("upstreams = slots\n", "upstreams = slots, spare\n")
        + &format!(
            "[upstream.spare]\naddress = {}\navailability_zone = a\nkind = plain_service\n\
             repeatable = false\n",
            spare.address()
        );
    fleet.apply_everywhere(&document).await;
    let fleet = Arc::new(fleet);
    let is_over = Arc::new(AtomicBool::new(false));
    let handles = fleet.engines.iter().map(|engine| engine.faults().clone());
    let services = [fleet.service.faults().clone(), spare.faults().clone()];
    let handles: Vec<FaultHandle> = handles.chain(services).collect();
    let striking = tokio::spawn(strike(fleet.clone(), handles, is_over.clone()));
    let next = Arc::new(AtomicUsize::new(0));
    let mut workers = Vec::new();
    for _ in 0..WORKERS {
        let (fleet, next) = (fleet.clone(), next.clone());
        workers.push(tokio::spawn(async move {
            let mut told = Vec::new();
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= requests {
                    return told;
                }
                told.push(ask(&fleet, index).await);
            }
        }));
    }
    let mut told = Vec::new();
    for worker in workers {
        told.extend(worker.await.unwrap());
    }
    is_over.store(true, Ordering::Relaxed);
    striking.await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    report_faults(&fleet, &spare, &told);
}

fn report_faults(fleet: &Fleet, spare: &Service, told: &[Told]) {
    let mut engine_runs: HashMap<String, u64> = HashMap::new();
    for engine in &fleet.engines {
        for (id, count) in engine.runs() {
            *engine_runs.entry(id).or_default() += count;
        }
    }
    let mut service_runs: HashMap<String, u64> = HashMap::new();
    for service in [&fleet.service, spare] {
        for (id, count) in service.runs_by_header("x-caller-id") {
            *service_runs.entry(id).or_default() += count;
        }
    }
    let runs = |told: &Told| {
        let table = if told.is_plain {
            &service_runs
        } else {
            &engine_runs
        };
        table.get(&told.id).copied().unwrap_or_default()
    };
    let count = |is: &dyn Fn(&Told) -> bool| told.iter().filter(|told| is(told)).count();
    println!(
        "random single and paired faults, seed {SEED}: {} requests",
        told.len()
    );
    println!(
        "  lost: {}",
        count(&|t| t.came == Came::Whole && runs(t) == 0)
    );
    println!(
        "  doubled (not repeatable): {}",
        count(&|t| t.is_plain && runs(t) > 1)
    );
    println!("  crossed: {}", count(&|t| t.came == Came::Crossed));
    println!("  cut: {}", count(&|t| t.came == Came::Cut));
    println!(
        "  falsely not run: {}",
        count(&|t| t.came == Came::NotRun && runs(t) > 0)
    );
    println!("  whole: {}", count(&|t| t.came == Came::Whole));
    println!("  told not run: {}", count(&|t| t.came == Came::NotRun));
    println!("  told unknown: {}", count(&|t| t.came == Came::Unknown));
}

/// Changes faults, one or two at a time, until it is over.
async fn strike(fleet: Arc<Fleet>, handles: Vec<FaultHandle>, is_over: Arc<AtomicBool>) {
    let mut rng = StdRng::seed_from_u64(SEED);
    while !is_over.load(Ordering::Relaxed) {
        for _ in 0..rng.random_range(1..=2) {
            let handle = &handles[rng.random_range(0..handles.len())];
            match rng.random_range(0..12) {
                0 => handle.update(|faults| faults.lose_answers = 3),
                1 => handle.update(|faults| faults.refuse = true),
                2 => handle.update(|faults| faults.swap_answers = true),
                3 => handle.update(|faults| faults.silence_open_connections = true),
                4 => handle.update(|faults| faults.freeze = true),
                5 => handle.update(|faults| faults.break_stream_after = Some(3)),
                6 => handle.update(|faults| faults.truncate_chunk = Some(5)),
                7 => handle.update(|faults| faults.skip_position = Some(4)),
                8 => handle.update(|faults| faults.duplicate_position = Some(2)),
                9 => handle.update(|faults| faults.delay = Duration::from_millis(5)),
                10 => fleet.engines[rng.random_range(0..3)]
                    .restart()
                    .await
                    .unwrap(),
                _ => fleet.service.restart().await.unwrap(),
            }
        }
        let wait = Duration::from_millis(rng.random_range(1..40));
        tokio::time::sleep(wait).await;
        for handle in &handles {
            if rng.random_bool(0.7) {
                handle.set(Faults::default());
            }
        }
    }
    handles
        .iter()
        .for_each(|handle| handle.set(Faults::default()));
}

async fn ask(fleet: &Fleet, index: usize) -> Told {
    match index % 3 {
        0 => ask_service(fleet, index).await,
        kind => ask_engine(fleet, index, kind == 1).await,
    }
}

async fn ask_service(fleet: &Fleet, index: usize) -> Told {
    let id = format!("r{index}");
    let body = json!({ "for": id }).to_string();
    let callers = fleet.entries[index % fleet.entries.len()].callers;
    let mut request = request(
        callers,
        Method::POST,
        "/slots/book",
        Some(KEY),
        body.clone(),
    );
    let caller_id = id.parse().unwrap();
    request.headers_mut().insert("x-caller-id", caller_id);
    let response = fleet.client.request(request).await.unwrap();
    let (status, text) = read(response).await;
    let came = match (status, text) {
        (_, None) => Came::Cut,
        (200, Some(text)) => {
            let echoed: Value = serde_json::from_str(&text).unwrap();
            if echoed["body"] == body {
                Came::Whole
            } else {
                Came::Crossed
            }
        }
        (_, Some(text)) => told_by(&text),
    };
    Told {
        id,
        is_plain: true,
        came,
    }
}

async fn ask_engine(fleet: &Fleet, index: usize, is_streamed: bool) -> Told {
    let body = chat(&format!("load {index}"), 8, is_streamed);
    let callers = fleet.entries[index % fleet.entries.len()].callers;
    let request = request(callers, Method::POST, PATH, Some(KEY), body.to_string());
    let response = fleet.client.request(request).await.unwrap();
    let id = response.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    let (status, text) = read(response).await;
    let came = match (status, text) {
        (_, None) => Came::Cut,
        (200, Some(text)) if is_streamed => streamed(&text, &expected_stream(&body, &id)),
        (200, Some(text)) => {
            let answer: Value = serde_json::from_str(&text).unwrap();
            let expected = ExpectedAnswer::new(&prompt_text(&body).unwrap()).text(8);
            let content = &answer["choices"][0]["message"]["content"];
            if *content == expected {
                Came::Whole
            } else {
                Came::Crossed
            }
        }
        (_, Some(text)) => told_by(&text),
    };
    Told {
        id,
        is_plain: false,
        came,
    }
}

fn streamed(text: &str, expected: &str) -> Came {
    match text.split_once("event: error\ndata: ") {
        None if text == expected => Came::Whole,
        None if expected.starts_with(text) => Came::Cut,
        None => Came::Crossed,
        Some((delivered, error)) if expected.starts_with(delivered) => told_by(error),
        Some(_) => Came::Crossed,
    }
}

/// Reads what an error body says; an answer that is a service's own 503 says that it did not run.
fn told_by(text: &str) -> Came {
    let body: Value = serde_json::from_str(text).unwrap();
    match body["error"]["ran"].as_str() {
        Some("not_run") => Came::NotRun,
        None if body["error"]["name"] == "refused" => Came::NotRun,
        _ => Came::Unknown,
    }
}

/// Reads a body; nothing where it was cut.
async fn read(response: Response<Incoming>) -> (u16, Option<String>) {
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.ok();
    let text = bytes.map(|bytes| String::from_utf8(bytes.to_bytes().to_vec()).unwrap());
    (status, text)
}

async fn deaths(settings: &FleetSettings) {
    for (name, strike) in [("crash", 0), ("freeze", 1), ("silent connections", 2)] {
        let fleet = Fleet::start(FleetSettings {
            engines: 3,
            engine: EngineSettings {
                slots: 1_000,
                token_interval: Duration::from_millis(10),
                ..EngineSettings::default()
            },
            extra: SHORT_TIMEOUTS.to_owned(),
            ..settings.clone()
        })
        .await;
        let mut streams = Vec::new();
        for index in 0..600 {
            let body = chat(&format!("load {index}"), 200, true);
            let callers = fleet.entries[0].callers;
            let request = request(callers, Method::POST, PATH, Some(KEY), body.to_string());
            let response = fleet.client.request(request).await.unwrap();
            let id = response.headers()["x-request-id"]
                .to_str()
                .unwrap()
                .to_owned();
            let expected = expected_stream(&body, &id);
            streams.push((tokio::spawn(read(response)), expected));
        }
        match strike {
            0 => fleet.engines[0].stop().await,
            1 => fleet.engines[0]
                .faults()
                .update(|faults| faults.freeze = true),
            _ => {
                let silence = |faults: &mut Faults| faults.silence_open_connections = true;
                fleet.engines[0].faults().update(silence);
            }
        }
        let total = streams.len();
        let mut whole = 0;
        for (stream, expected) in streams {
            let (status, text) = stream.await.unwrap();
            let is_whole = text.as_deref() == Some(&expected);
            whole += usize::from(is_whole);
            if !is_whole {
                let text = text.as_deref().unwrap_or("cut");
                let tail = text.len().saturating_sub(300);
                println!(
                    "  not whole: status {status}, ends in {:?}",
                    text.get(tail..)
                );
            }
        }
        println!("streams whole after one of three engines' {name}: {whole} of {total}");
    }
}

async fn outage(settings: &FleetSettings) {
    let fleet = Fleet::start(FleetSettings {
        engines: 6,
        ..settings.clone()
    })
    .await;
    let fleet = Arc::new(fleet);
    fleet.engines[0].stop().await;
    fleet.engines[1].stop().await;
    let mut asked = Vec::new();
    let mut pace = tokio::time::interval(Duration::from_millis(2));
    for index in 0..5_000 {
        pace.tick().await;
        let fleet = fleet.clone();
        asked.push(tokio::spawn(async move {
            ask_engine(&fleet, index, true).await.came
        }));
    }
    let total = asked.len();
    let mut whole = 0;
    for came in asked {
        whole += usize::from(came.await.unwrap() == Came::Whole);
    }
    let metrics = fleet
        .get(fleet.entries[0].operators, "/metrics", None)
        .await;
    let metrics = metrics.unwrap().text;
    let retries: f64 = metrics
        .lines()
        .filter(|line| line.contains("retries_total{"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum();
    let share = 100.0 * retries / total as f64;
    println!("outage of 2 of 6 engines: {whole} of {total} whole, retries {share:.1}% of traffic");
}

async fn slow_callers(settings: &FleetSettings) {
    let fleet = Fleet::start(FleetSettings {
        engines: 2,
        engine: EngineSettings {
            slots: 10_000,
            ..EngineSettings::default()
        },
        ..settings.clone()
    })
    .await;
    let before = resident_kb(&fleet);
    let mut kept = Vec::new();
    for index in 0..SLOW_CALLERS {
        let body = chat(&format!("load {index}"), 50_000, true);
        let callers = fleet.entries[0].callers;
        let request = request(callers, Method::POST, PATH, Some(KEY), body.to_string());
        let mut response = fleet.client.request(request).await.unwrap();
        response.body_mut().frame().await.unwrap().unwrap();
        kept.push(response);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    println!(
        "entry with {} callers that stopped reading: {} MB (before: {} MB)",
        kept.len(),
        resident_kb(&fleet) / 1_024,
        before / 1_024,
    );
}

async fn latency(settings: &FleetSettings) {
    let fleet = Fleet::start(FleetSettings {
        engines: 1,
        engine: EngineSettings {
            slots: 10_000,
            prefill_us_per_token: 0.0,
            ..EngineSettings::default()
        },
        ..settings.clone()
    })
    .await;
    let fleet = Arc::new(fleet);
    let mut asked = Vec::new();
    let mut pace = tokio::time::interval(Duration::from_micros(1_000_000 / LATENCY_PER_S));
    for index in 0..LATENCY_REQUESTS {
        pace.tick().await;
        for is_direct in [index % 2 == 0, index % 2 != 0] {
            let fleet = fleet.clone();
            let first = async move { (is_direct, first_token(&fleet, index, is_direct).await) };
            asked.push(tokio::spawn(first));
        }
    }
    let new = || Histogram::<u64>::new(3).unwrap();
    let (mut direct, mut routed) = (new(), new());
    for first in asked {
        let (is_direct, elapsed) = first.await.unwrap();
        let histogram = if is_direct { &mut direct } else { &mut routed };
        histogram.saturating_record(elapsed.as_micros() as u64);
    }
    for (name, quantile) in [("median", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (direct, routed) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "first token at {LATENCY_PER_S} requests/s, {name}: direct {direct} us, \
             routed {routed} us, added {} us",
            routed as i64 - direct as i64
        );
    }
}

async fn first_token(fleet: &Fleet, index: u64, is_direct: bool) -> Duration {
    let body = chat(&format!("load {index}"), 8, true).to_string();
    let address = if is_direct {
        fleet.engines[0].address()
    } else {
        fleet.entries[0].callers
    };
    let mut request = request(address, Method::POST, PATH, Some(KEY), body);
    let id = format!("d{index}").parse().unwrap();
    request.headers_mut().insert("x-request-id", id);
    let start = Instant::now();
    let mut response = fleet.client.request(request).await.unwrap();
    response.body_mut().frame().await.unwrap().unwrap();
    let elapsed = start.elapsed();
    while let Some(Ok(_)) = response.body_mut().frame().await {}
    elapsed
}

async fn tokens_per_core(
    settings: &FleetSettings,
    token_interval: Duration,
    stream_count: usize,
    tokens_each: u64,
) {
    let fleet = Fleet::start(FleetSettings {
        engines: 2,
        engine: EngineSettings {
            slots: 10_000,
            token_interval,
            ..EngineSettings::default()
        },
        ..settings.clone()
    })
    .await;
    let before = cpu_seconds(&fleet);
    let start = Instant::now();
    let mut streams = Vec::new();
    for index in 0..stream_count {
        let body = chat(&format!("load {index}"), tokens_each, true);
        let callers = fleet.entries[0].callers;
        let request = request(callers, Method::POST, PATH, Some(KEY), body.to_string());
        let response = fleet.client.request(request).await.unwrap();
        streams.push(tokio::spawn(read(response)));
    }
    for stream in streams {
        let (_, text) = stream.await.unwrap();
        assert!(text.unwrap().ends_with("data: [DONE]\n\n"));
    }
    let tokens = stream_count as f64 * tokens_each as f64;
    println!(
        "streamed tokens, {} ms apart: {:.0} a second, {:.0} a second of one core",
        token_interval.as_millis(),
        tokens / start.elapsed().as_secs_f64(),
        tokens / (cpu_seconds(&fleet) - before),
    );
}

fn resident_kb(fleet: &Fleet) -> u64 {
    let path = format!("/proc/{}/status", fleet.entries[0].process.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.unwrap()
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap()
}

/// Returns the processor time that the first entry has used.
fn cpu_seconds(fleet: &Fleet) -> f64 {
    let path = format!("/proc/{}/stat", fleet.entries[0].process.id());
    let stat = std::fs::read_to_string(path).unwrap();
    let (_, fields) = stat.rsplit_once(')').unwrap();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S
}

//! Measures the choice alone: its time and memory against engines and prompt length.
//!
//! `cargo run --release --example measure_choice [ENGINES PROMPT_TOKENS]`; memory is exact only with
//! arguments, as later settings reuse what earlier ones freed.

use std::time::{Duration, Instant};

use celerylever::document::{Document, Model, Snapshot, Upstream, UpstreamKind};
use celerylever::route::{
    BYTES_PER_TOKEN, ChooseError, Chooser, ChooserSettings, Prefix, PrefixSeed, ResponseHead,
    RoutingRequest,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ROUNDS: usize = 20_000;
/// Prompts of 33 levels that fill the index twice over.
const FILL_PROMPTS: usize = 14_000;
const SHEETS: usize = 400;
const SEED: PrefixSeed<'static> = PrefixSeed {
    cache_salt: "0123456789abcdef",
    model: "m",
    weight_version: "v1",
    adapter: None,
};

/// Times of one setting, sorted.
struct Times {
    hash: Vec<Duration>,
    choose: Vec<Duration>,
    both: Vec<Duration>,
    answered: Vec<Duration>,
}

fn main() {
    anstream::println!(
        "| engines | prompt tokens | hash p50 us | hash p99 | choose p50 | choose p99 | \
         hash and choose p50 | p99 | answer p99 | resident MB above start |\n\
         |---|---|---|---|---|---|---|---|---|---|"
    );
    for (engines, tokens) in settings() {
        let (resident, times) = measure(engines, tokens);
        let [p50, p99] = [0.5, 0.99];
        anstream::println!(
            "| {engines} | {tokens} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {resident:.1} |",
            us(&times.hash, p50),
            us(&times.hash, p99),
            us(&times.choose, p50),
            us(&times.choose, p99),
            us(&times.both, p50),
            us(&times.both, p99),
            us(&times.answered, p99),
        );
    }
}

/// Returns engines and prompt tokens of each line.
fn settings() -> Vec<(usize, usize)> {
    let arguments: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    match arguments.as_slice() {
        [engines, tokens] => vec![(*engines, *tokens)],
        _ => vec![
            (13, 32_000),
            (240, 32_000),
            (2_400, 32_000),
            (2_400, 2_000),
            (2_400, 8_000),
            (2_400, 64_000),
        ],
    }
}

/// Returns the megabytes that the choice came to hold, and the times.
fn measure(engines: usize, tokens: usize) -> (f64, Times) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut prompts = prompts(tokens, &mut rng);
    let start_kb = resident_kb();
    let mut chooser = Chooser::new(ChooserSettings {
        availability_zone: "0".into(),
        ..ChooserSettings::default()
    });
    chooser.configure(&snapshot(engines), Duration::ZERO);
    fill(&mut chooser, &mut rng);
    let mut times = Times {
        hash: Vec::with_capacity(ROUNDS),
        choose: Vec::with_capacity(ROUNDS),
        both: Vec::with_capacity(ROUNDS),
        answered: Vec::with_capacity(ROUNDS),
    };
    for round in 0..ROUNDS {
        let now = Duration::from_millis(10 * round as u64 + 10);
        let prompt = &mut prompts[rng.random_range(0..SHEETS)];
        change_tail(prompt, &mut rng);
        let begun = Instant::now();
        let prefix = Prefix::new(SEED, [prompt.as_str()]);
        let hashed = Instant::now();
        let mut ask = RoutingRequest::new("m".into(), "v1".into(), prefix);
        let chosen = chooser.choose(&mut ask, now);
        let ended = Instant::now();
        times.hash.push(hashed - begun);
        times.choose.push(ended - hashed);
        times.both.push(ended - begun);
        match chosen {
            Ok(choice) => {
                let head = ResponseHead {
                    incarnation: Some(1),
                    weight_version: Some("v1".into()),
                    cached_tokens: Some(choice.held_pieces as u64 * 1_000),
                    is_first_token: true,
                };
                let begun = Instant::now();
                chooser.record_response(&ask, &choice, &head, now);
                times.answered.push(begun.elapsed());
                chooser.record_finish(choice.engine);
            }
            Err(ChooseError::NoEngine | ChooseError::Saturated(_)) => {}
        }
    }
    let resident = resident_kb().saturating_sub(start_kb) as f64 / 1e3;
    for part in [
        &mut times.hash,
        &mut times.choose,
        &mut times.both,
        &mut times.answered,
    ] {
        part.sort_unstable();
    }
    (resident, times)
}

/// Fills the index to its bound with prompts that nobody asks for again.
fn fill(chooser: &mut Chooser, rng: &mut StdRng) {
    for _ in 0..FILL_PROMPTS {
        let levels: Vec<u64> = (0..33).map(|_| rng.random()).collect();
        let mut ask =
            RoutingRequest::new("m".into(), "v1".into(), Prefix::from_hashes(levels, 32_500));
        if let Ok(choice) = chooser.choose(&mut ask, Duration::from_millis(10)) {
            let head = ResponseHead {
                incarnation: Some(1),
                weight_version: Some("v1".into()),
                cached_tokens: Some(0),
                is_first_token: false,
            };
            chooser.record_response(&ask, &choice, &head, Duration::from_millis(10));
            chooser.record_finish(choice.engine);
        }
    }
}

/// Returns prompts that share a fourth with all others and half with some.
fn prompts(tokens: usize, rng: &mut StdRng) -> Vec<String> {
    let bytes = tokens * BYTES_PER_TOKEN;
    let common = text(bytes / 4, rng);
    let halves: Vec<String> = (0..8).map(|_| text(bytes / 4, rng)).collect();
    (0..SHEETS)
        .map(|sheet| {
            let own = text(bytes / 2, rng);
            [common.as_str(), halves[sheet % 8].as_str(), own.as_str()].concat()
        })
        .collect()
}

fn text(bytes: usize, rng: &mut StdRng) -> String {
    (0..bytes).map(|_| rng.random_range('a'..='z')).collect()
}

fn change_tail(prompt: &mut String, rng: &mut StdRng) {
    let keep = prompt.len().saturating_sub(4_000);
    prompt.truncate(keep);
    for _ in 0..4_000 {
        prompt.push(rng.random_range('a'..='z'));
    }
}

fn snapshot(engines: usize) -> Snapshot {
    let mut document = Document::default();
    document.models.insert("m".into(), Model::default());
    for engine in 0..engines {
        let upstream = Upstream {
            availability_zone: (engine % 11).to_string(),
            kind: UpstreamKind::Engine,
            models: vec!["m".into()],
            ..Upstream::default()
        };
        document
            .upstreams
            .insert(format!("engine-{engine:05}"), upstream);
    }
    Snapshot::compile(1, document)
}

fn us(times: &[Duration], share: f64) -> f64 {
    let index = ((times.len() as f64 * share).ceil() as usize).clamp(1, times.len()) - 1;
    times[index].as_secs_f64() * 1e6
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

//! Measures what a document costs a VM against its size, and a read while the snapshot changes.
//!
//! `cargo run --release --example measure_capacity [SVG_FILE]` prints both tables and, with an
//! argument, plots the first one.

#[path = "measure_capacity/plot.rs"]
mod plot;
#[path = "measure_capacity/swap.rs"]
mod swap;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use celerylever::document::{Customer, Document, Model, Snapshot, Upstream, digest_key};
use celerylever::route::{Chooser, ChooserSettings, Prefix, RoutingRequest};

const UPSTREAMS: [usize; 3] = [100, 800, 2_400];
const UPSTREAMS_MAX: usize = 2_400;
const CUSTOMERS_MAX: usize = 500;
const MODELS: usize = 7;
const AVAILABILITY_ZONES: usize = 11;
/// Copies that are made and kept for each size, so that none reuses what another freed.
const COPIES: usize = 8;

/// What one document costs.
pub(crate) struct Cost {
    upstreams: usize,
    customers: usize,
    text_kb: f64,
    parse_ms: f64,
    compile_ms: f64,
    configure_ms: f64,
    snapshot_mb: f64,
    chooser_mb: f64,
}

fn main() -> std::io::Result<()> {
    let costs = UPSTREAMS.map(cost);
    anstream::println!(
        "| upstreams | customers | text KB | parse and check ms | compile ms | configure ms | \
         snapshot MB | engine tables MB |\n|---|---|---|---|---|---|---|---|"
    );
    for cost in &costs {
        anstream::println!(
            "| {} | {} | {:.1} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            cost.upstreams,
            cost.customers,
            cost.text_kb,
            cost.parse_ms,
            cost.compile_ms,
            cost.configure_ms,
            cost.snapshot_mb,
            cost.chooser_mb,
        );
    }
    swap::measure(&document(UPSTREAMS_MAX));
    match std::env::args().nth(1) {
        Some(file) => std::fs::write(file, plot::svg(&costs)),
        None => Ok(()),
    }
}

/// Measures medians over the copies, and resident memory for each.
fn cost(upstreams: usize) -> Cost {
    let text = document(upstreams).to_ini();
    let [mut parse, mut compile, mut configure] = [Vec::new(), Vec::new(), Vec::new()];
    let mut snapshots = Vec::with_capacity(COPIES);
    let start_kb = resident_kb();
    for _ in 0..COPIES {
        let begun = Instant::now();
        let document = Document::parse(&text).expect("document is valid");
        parse.push(begun.elapsed());
        let begun = Instant::now();
        snapshots.push(Snapshot::compile(1, document));
        compile.push(begun.elapsed());
    }
    let snapshots_kb = resident_kb();
    let mut choosers = Vec::with_capacity(COPIES);
    for snapshot in &snapshots {
        let mut chooser = Chooser::new(ChooserSettings {
            availability_zone: "zone-0".into(),
            ..ChooserSettings::default()
        });
        let begun = Instant::now();
        chooser.configure(snapshot, Duration::ZERO);
        configure.push(begun.elapsed());
        choose(&mut chooser);
        choosers.push(chooser);
    }
    let choosers_kb = resident_kb();
    // Both stay until the end: what one size frees would be reused by the next.
    std::mem::forget((snapshots, choosers));
    let copies_mb = |kb: u64| kb as f64 / 1_024.0 / COPIES as f64;
    Cost {
        upstreams,
        customers: customers_of(upstreams),
        text_kb: text.len() as f64 / 1_024.0,
        parse_ms: median_ms(parse),
        compile_ms: median_ms(compile),
        configure_ms: median_ms(configure),
        snapshot_mb: copies_mb(snapshots_kb.saturating_sub(start_kb)),
        chooser_mb: copies_mb(choosers_kb.saturating_sub(snapshots_kb)),
    }
}

/// Makes one choice for each model, so that every table is there.
fn choose(chooser: &mut Chooser) {
    for model in 0..MODELS {
        let prefix = Prefix::from_hashes(vec![model as u64 + 1; 8], 8_000);
        let mut ask = RoutingRequest::new(model_name(model), "v1".into(), prefix);
        let choice = chooser.choose(&mut ask, Duration::from_millis(10));
        assert!(choice.is_ok(), "each model has engines");
    }
}

/// Returns a document with customers in the proportion of the two-year size.
fn document(upstreams: usize) -> Document {
    let mut document = Document {
        environment: "trial".into(),
        ..Document::default()
    };
    for model in 0..MODELS {
        let settings = Model {
            weight_version: "v1".into(),
            context_max_tokens: 32_768,
            output_max_tokens: 1_024,
            ..Model::default()
        };
        document.models.insert(model_name(model), settings);
    }
    for number in 0..customers_of(upstreams) {
        let customer = Customer {
            key_digests: vec![digest_key(&format!("key-{number}"))],
            rate_tokens_per_s: 60_000,
            burst_tokens: 240_000,
            weight: 1,
            models: vec![model_name(number % MODELS)],
            ..Customer::default()
        };
        let name = format!("customer-{number:04}");
        document.customers.insert(name, customer);
    }
    for number in 0..upstreams {
        let octets = [10, 0, (number / 250) as u8, (number % 250 + 1) as u8];
        let upstream = Upstream {
            address: SocketAddr::from((octets, 8_000)),
            availability_zone: format!("zone-{}", number % AVAILABILITY_ZONES),
            models: vec![model_name(number % MODELS)],
            repeatable: true,
            credential: Some(format!("engine-credential-{number:04}")),
            ..Upstream::default()
        };
        let name = format!("engine-{number:04}");
        document.upstreams.insert(name, upstream);
    }
    document
}

fn customers_of(upstreams: usize) -> usize {
    (upstreams * CUSTOMERS_MAX).div_ceil(UPSTREAMS_MAX)
}

fn model_name(model: usize) -> String {
    format!("model-{model}")
}

fn median_ms(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64() * 1e3
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

//! Compares ways to choose an engine on two workloads, in a model of engines in virtual time.
//!
//! `cargo run --release --example measure_route`

#[path = "measure_route/engine.rs"]
mod engine;
#[path = "measure_route/policy.rs"]
mod policy;
#[path = "measure_route/report.rs"]
mod report;
#[path = "measure_route/run.rs"]
mod run;
#[path = "measure_route/workload.rs"]
mod workload;

use policy::Policy;
use report::Report;
use workload::Workload;

const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    for workload in Workload::all() {
        anstream::println!("{}", workload.title());
        anstream::println!("{}", Report::HEAD);
        for policy in Policy::ALL {
            let reports = SEEDS.map(|seed| run::run(&workload, policy, seed));
            anstream::println!("{}", Report::mean(&reports).row(policy.name()));
        }
    }
}

//! Traffic of membership per VM, and the time from a VM's death to its fence, in memory.
#![allow(clippy::print_stdout, reason = "prints its table")]

#[path = "../tests/support/membership_sim.rs"]
mod membership_sim;

use std::time::Duration;

use celerylever::membership::RecordState;
use membership_sim::{CALM, Off, Sim, name};

const SIZES: [usize; 3] = [8, 64, 350];
const WARM_UP: Duration = Duration::from_secs(60);
const WINDOW: Duration = Duration::from_secs(30);
const DEATHS: usize = 5;
const STEP: Duration = Duration::from_millis(100);

fn main() {
    println!(
        "| VMs | messages/s | bytes/s sent | new connections/s | store calls/s | death to fence (s): least | middle | most |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for vms in SIZES {
        measure(vms);
    }
}

fn measure(vms: usize) {
    let mut sim = Sim::with_heartbeat(7, vms, Off::Nothing, CALM, Duration::from_millis(500));
    sim.run_until(WARM_UP);
    let before = sim.traffic;
    sim.run_until(WARM_UP + WINDOW);
    let after = sim.traffic;
    let vm_seconds = WINDOW.as_secs_f64() * vms as f64;
    let per_vm = |from: u64, to: u64| (to - from) as f64 / vm_seconds;
    let messages = per_vm(before.messages, after.messages);
    let bytes = per_vm(before.bytes, after.bytes);
    let connections = per_vm(before.connections, after.connections);
    let calls = per_vm(before.store_calls, after.store_calls);
    let mut times: Vec<f64> = (0..DEATHS).map(|vm| death_to_fence(&mut sim, vm)).collect();
    times.sort_by(f64::total_cmp);
    let (least, middle, most) = (times[0], times[DEATHS / 2], times[DEATHS - 1]);
    println!(
        "| {vms} | {messages:.1} | {bytes:.0} | {connections:.3} | {calls:.2} | {least:.1} | {middle:.1} | {most:.1} |"
    );
}

fn death_to_fence(sim: &mut Sim, vm: usize) -> f64 {
    let died_at = sim.now;
    sim.processes[vm].is_dead = true;
    while sim.records[&name(vm)].1.state != RecordState::Fenced {
        sim.run_until(sim.now + STEP);
    }
    (sim.now - died_at).as_secs_f64()
}

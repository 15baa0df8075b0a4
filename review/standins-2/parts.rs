//! Machines are lost, and the one that is left gets the requests of the whole installation, whose
//! callers name the blocks of their prompts as parts.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::Fleet;
use crate::http::{Request, send};
use crate::memory::memory_kb;
use crate::record::Record;

/// Machines and their memory, as at the Kyushu installation.
const GATEWAYS: usize = 6;
const MEMORY_MB: u64 = 110;
/// Most memory that a machine can be said to have: megabytes of 1,024 x 1,024 bytes.
const MEMORY_KB: u64 = MEMORY_MB * 1_024;
/// Requests a second of the whole installation: `item-classify`, then `sticker-check`.
const CLASSIFY_PER_S: usize = 24;
const PER_S: usize = 24 + 104;
const CALLERS: usize = 64;
/// Tokens of a block of an engine's memory, which is one part of a prompt here.
const BLOCK_TOKENS: usize = 16;
const LOAD_TIME: Duration = Duration::from_secs(95);

/// Prompt: parts that requests about the same thing share, and all parts.
struct Prompt {
    things: usize,
    shared_parts: usize,
    parts: usize,
}

/// 5,382 shared + 6,610 tokens.
const CLASSIFY: Prompt = Prompt {
    things: 124,
    shared_parts: 336,
    parts: 336 + 413,
};
/// 568 shared + 1,800 tokens.
const CHECK: Prompt = Prompt {
    things: 592,
    shared_parts: 35,
    parts: 35 + 112,
};

pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let stream = (3, Duration::from_millis(5));
    let software = ["v1", "v1", "v1"];
    let mut fleet = Fleet::start_with_memory(folder, &software, stream, GATEWAYS, MEMORY_MB)?;
    let mut addresses = fleet.addresses();
    let text = format!("{GATEWAYS} gateways of {MEMORY_MB} MB, {PER_S} requests a second");
    record.line("start", &text);
    if has_trouble {
        for gateway in &mut fleet.gateways[1..] {
            gateway.kill();
        }
        addresses.truncate(1);
        record.line("disruption", "five of the six machines are lost");
    }
    let pid = fleet.gateways[0].pid();
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicUsize; 3]> = Arc::default();
    let begun_at = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_over, counts, addresses) = (is_over.clone(), counts.clone(), addresses.clone());
            std::thread::spawn(move || call(caller, begun_at, &addresses, &is_over, &counts))
        })
        .collect();
    let mut outcome = Outcome::Held;
    while begun_at.elapsed() < LOAD_TIME {
        std::thread::sleep(Duration::from_secs(5));
        let counted = |index: usize| counts[index].load(Ordering::SeqCst);
        let text = format!(
            "sent {}, served {}, refused or failed {}; memory of {}: now {} kB, peak {} kB of {MEMORY_KB} kB",
            counted(0),
            counted(1),
            counted(2),
            fleet.gateways[0].name,
            memory_kb(pid, "VmRSS:"),
            memory_kb(pid, "VmHWM:"),
        );
        record.line("load", &text);
        if fleet.gateways[0].has_ended() || memory_kb(pid, "VmHWM:") > MEMORY_KB {
            outcome = Outcome::Broken;
            break;
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    if counts[1].load(Ordering::SeqCst) < counts[0].load(Ordering::SeqCst) / 2 {
        return Err("fewer than half of the requests were served".into());
    }
    Ok(outcome)
}

fn call(
    caller: usize,
    begun_at: Instant,
    addresses: &[SocketAddr],
    is_over: &AtomicBool,
    counts: &[AtomicUsize; 3],
) {
    let interval = Duration::from_secs(1) * CALLERS as u32 / PER_S as u32;
    let offset = interval * caller as u32 / CALLERS as u32;
    for turn in 0_u32.. {
        let due = begun_at + offset + interval * turn;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let number = turn as usize * CALLERS + caller;
        let prompt = match number % PER_S < CLASSIFY_PER_S {
            true => &CLASSIFY,
            false => &CHECK,
        };
        let request = request(number, prompt);
        counts[0].fetch_add(1, Ordering::SeqCst);
        let address = addresses[number % addresses.len()];
        let response = send(address, &request, Duration::from_secs(3));
        let is_served = response.is_ok_and(|mut response| {
            response.status == 200 && response.body().is_ok_and(|body| body.contains("id: 3"))
        });
        counts[if is_served { 1 } else { 2 }].fetch_add(1, Ordering::SeqCst);
    }
}

fn request(number: usize, prompt: &Prompt) -> Request {
    // Things are drawn in a fixed order that visits all of them.
    let thing = number * 37 % prompt.things;
    let kind = prompt.things;
    let parts = (0..prompt.parts).map(|part| match part < prompt.shared_parts {
        true => format!("{:x}:{BLOCK_TOKENS}", (kind * 1_000 + thing) * 1_000 + part),
        false => format!("{:x}:{BLOCK_TOKENS}", 1_000_000_000 + number * 1_000 + part),
    });
    let parts: Vec<String> = parts.collect();
    let tokens = prompt.parts * BLOCK_TOKENS;
    let headers = [
        ("Host", "depot.example".to_owned()),
        ("Request-Id", format!("p{number:06}")),
        ("Model", "m".to_owned()),
        ("Token-Count", format!("{tokens},64")),
        ("Prefix-Hash", parts.join(",")),
        ("Deadline-Ms", "2500".to_owned()),
        ("Authorization", "Bearer key-teifi".to_owned()),
    ];
    Request {
        method: "POST".into(),
        target: "/note/a".into(),
        headers: headers
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
        body: b"sheet".to_vec(),
    }
}

//! The store returns from an older copy, which lists an engine that has left since.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::gateway::DRAIN;
use crate::http::{Request, find, send};
use crate::record::Record;

const GATEWAYS: usize = 2;
const CALLERS: usize = 18;
/// Time that an engine works on a request.
const WORK: Duration = Duration::from_millis(600);
/// Time from the copy to the removal of the engine's entry.
const COPY_AGE_AT_LEAVING: Duration = Duration::from_millis(500);
/// Time from the removal to the drill, in which the engine goes on: `DrainMs` and a little longer.
const UNTIL_DRILL: Duration = Duration::from_millis(2_900);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(400);
/// Time from the return of the store to the end of the engine, and to the repeated removal.
const UNTIL_END: Duration = Duration::from_millis(700);

/// One request of a caller.
struct Sent {
    id: String,
    gateway: usize,
    at: Instant,
    status: u16,
    answered_at: Instant,
    is_leaving: bool,
}

pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let stream = (3, Duration::from_millis(20));
    let fleet = Fleet::start(folder, &["v1"], stream, GATEWAYS)?;
    let mut desks = Vec::new();
    for number in 0..3 {
        let id = format!("d-{number}");
        let desk = Engine::start(&id, "desk", "a", "v1", (0, WORK));
        let desk = desk.map_err(|error| error.to_string())?;
        fleet.store.put("servers", &id, desk.entry());
        desks.push(desk);
    }
    std::thread::sleep(Duration::from_secs(2));
    record.line(
        "start",
        "2 gateways, 3 engines of the service desk; bookings begin",
    );
    let is_over = Arc::new(AtomicBool::new(false));
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let addresses = fleet.addresses();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_over, all, addresses) = (is_over.clone(), all.clone(), addresses.clone());
            std::thread::spawn(move || {
                // So that requests arrive evenly.
                std::thread::sleep(WORK * caller as u32 / CALLERS as u32);
                for turn in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let gateway = caller % GATEWAYS;
                    let sent = book(&format!("b{caller}-{turn}"), gateway, addresses[gateway]);
                    all.lock().unwrap().push(sent);
                    std::thread::sleep(Duration::from_millis(20 + 3 * (caller as u64 % 7)));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let copy = fleet.store.copy();
    record.line("state", "a copy of the store is made");
    std::thread::sleep(COPY_AGE_AT_LEAVING);
    fleet.store.delete("servers", "d-2");
    desks[2].leave();
    record.line(
        "state",
        "engine d-2 leaves: its entry is removed, and its answers say so",
    );
    std::thread::sleep(UNTIL_DRILL);
    if has_trouble {
        fleet.store.set_down(true);
        record.line("disruption", "the store is away");
        std::thread::sleep(AWAY);
        fleet.store.set_down(false);
        fleet.store.restore(&copy);
        record.line("disruption", "the store is back from the copy");
    }
    std::thread::sleep(UNTIL_END);
    fleet.store.delete("servers", "d-2");
    desks[2].crash();
    record.line("state", "engine d-2 ends; its removal is written again");
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let all = all.lock().unwrap();
    // When each gateway first passed on an answer that said that the engine leaves.
    let mut told_at: HashMap<usize, Instant> = HashMap::new();
    for sent in all.iter().filter(|sent| sent.is_leaving) {
        let at = told_at.entry(sent.gateway).or_insert(sent.answered_at);
        *at = (*at).min(sent.answered_at);
    }
    let (mut late, mut lost) = (0, 0);
    let reached: HashMap<String, Instant> = desks[2]
        .ran()
        .into_iter()
        .map(|(at, id)| (id, at))
        .collect();
    for sent in all.iter() {
        let Some(at) = reached.get(&sent.id) else {
            continue;
        };
        let told = told_at.get(&sent.gateway);
        let is_late = told.is_some_and(|told| sent.at > *told + DRAIN);
        if is_late || sent.is_leaving {
            late += usize::from(is_late);
            lost += usize::from(is_late && sent.status != 200);
            let what = if is_late { "late" } else { "ran" };
            let text = format!(
                "{} by gateway {}: status {}, Server-Leaving: {}",
                sent.id, sent.gateway, sent.status, sent.is_leaving
            );
            record.line_at(*at, what, &text);
        }
    }
    let text = format!(
        "{} bookings; gateways that passed on Server-Leaving: {}; later than DrainMs after that, \
         {late} reached d-2, of which {lost} got no answer",
        all.len(),
        told_at.len(),
    );
    record.line("result", &text);
    if told_at.is_empty() {
        return Err("no answer said that the engine leaves".into());
    }
    Ok(if late > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

fn book(id: &str, gateway: usize, address: std::net::SocketAddr) -> Sent {
    let headers = [
        ("Host", "depot.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "3000"),
        ("Authorization", "Bearer key-teifi"),
    ];
    let request = Request {
        method: "POST".into(),
        target: "/book/a".into(),
        headers: headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect(),
        body: b"bale".to_vec(),
    };
    let at = Instant::now();
    let response = send(address, &request, Duration::from_secs(4));
    let (status, is_leaving) = match response {
        Ok(response) => (
            response.status,
            find(&response.headers, "server-leaving") == "1",
        ),
        Err(_) => (0, false),
    };
    Sent {
        id: id.to_owned(),
        gateway,
        at,
        status,
        answered_at: Instant::now(),
        is_leaving,
    }
}

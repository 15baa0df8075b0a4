//! Callers that take up streams after their own connections broke.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::engine::{chunk, event, head};
use crate::gateway::{Gateway, Place};
use crate::http::{self, Request};
use crate::record::Record;
use crate::store::Store;
use crate::{Setting, Verdict, engine};

const EVENTS: u64 = 50;
/// Less than `GapTargetMs`.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const STREAMS: usize = 16;
/// Fewest streams that the rule looks at.
const STREAMS_MIN: usize = 12;
/// Tries of a caller to take its stream up.
const TRIES: usize = 3;
/// Time for which gateways have run before a disruption.
pub const STEADY_TIME: Duration = Duration::from_secs(32);

/// Starts an engine of a service and writes its entry.
pub fn start_engine(store: &Store, id: &'static str, service: &str, record: &Record) {
    let record = record.clone();
    let address = engine::start(id, move |request, stream| {
        stream_events(id, request, stream, &record)
    });
    let entry = crate::deployment::entry_of(service, &address.to_string(), "ready", 1);
    store.put("servers", id, &entry);
}

/// Three gateways that know each other.
pub struct Fleet {
    root: std::path::PathBuf,
    store: Store,
    places: Vec<Place>,
    pub gateways: Vec<Gateway>,
}

impl Fleet {
    /// Starts the gateways, and lets them run for a while.
    pub fn start(setting: &Setting, store: &Store) -> Option<Self> {
        let places: Vec<Place> = (1..=3)
            .map(|number| Place::new(&setting.scratch, number))
            .collect();
        let mut fleet = Self {
            root: setting.root.clone(),
            store: store.clone(),
            places,
            gateways: Vec::new(),
        };
        fleet.gateways = (0..3).map(|number| fleet.start_one(number)).collect();
        if !fleet.gateways.iter_mut().all(Gateway::is_ready) {
            return None;
        }
        setting.record.line("three gateways are ready");
        std::thread::sleep(STEADY_TIME);
        Some(fleet)
    }

    pub fn start_one(&self, number: usize) -> Gateway {
        let others = self.places.iter().enumerate();
        let seeds: Vec<&Place> = others
            .filter(|(other, _)| *other != number)
            .map(|(_, place)| place)
            .collect();
        Gateway::start(&self.root, &self.places[number], self.store.address, &seeds)
    }
}

/// Lets streams begin at the third gateway and be taken up at the two others after `broken_after`
/// events; meanwhile `disrupt` runs.
pub fn judge(
    setting: &Setting,
    fleet: &Fleet,
    broken_after: u64,
    disrupt: impl FnOnce(),
) -> Verdict {
    let record = &setting.record;
    let addresses: Vec<SocketAddr> = fleet
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect();
    record.line("streams begin at front-3; their callers' connections will break");
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (first, second) = (addresses[2], addresses[number % 2]);
            let record = record.clone();
            std::thread::spawn(move || take_up(first, second, number, broken_after, &record))
        })
        .collect();
    disrupt();
    let results: Vec<_> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let begun = results.iter().filter(|result| result.has_begun).count();
    let went_on = results.iter().filter(|result| result.went_on).count();
    let new = results.iter().filter(|result| result.new_begins).count();
    record.line(format!(
        "of {begun} streams that were taken up at front-1 and front-2, {went_on} went on; of {} new \
         ones there, {new} began",
        results.len()
    ));
    if begun < STREAMS_MIN || new < STREAMS_MIN {
        return Verdict::NotRun("too few streams began");
    }
    let share_on = went_on as f64 / begun as f64;
    let share_new = new as f64 / results.len() as f64;
    match share_on * 2.0 < share_new {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// What became of one caller's stream, and of a new one at the gateway that took it up.
#[derive(Default)]
struct TakenUp {
    has_begun: bool,
    went_on: bool,
    new_begins: bool,
}

fn take_up(
    first: SocketAddr,
    second: SocketAddr,
    number: usize,
    broken_after: u64,
    record: &Record,
) -> TakenUp {
    let mut result = TakenUp::default();
    let begun = format!("s-{number}");
    let Ok((200, events, _)) = ask(first, &begun, None, broken_after, record) else {
        return result;
    };
    result.has_begun = events == broken_after;
    for attempt in 0..TRIES {
        let id = format!("s-{number}-again-{attempt}");
        let after = Some((begun.as_str(), broken_after));
        match ask(second, &id, after, 1, record) {
            Ok((200, 1, _)) => {
                result.went_on = true;
                break;
            }
            // With nothing said, the caller waits for a moment.
            Ok((_, _, retry_after)) => {
                std::thread::sleep(retry_after.unwrap_or(Duration::from_millis(300)))
            }
            Err(_) => std::thread::sleep(Duration::from_millis(300)),
        }
    }
    let new = ask(second, &format!("n-{number}"), None, 1, record);
    result.new_begins = matches!(new, Ok((200, 1, _)));
    result
}

fn stream_events(
    id: &str,
    request: &Request,
    stream: &mut TcpStream,
    record: &Record,
) -> std::io::Result<bool> {
    let last = request.header("last-event-id");
    let after: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    let request_id = request.header("request-id").unwrap_or_default();
    record.line(format!("engine {id} runs {request_id} after event {after}"));
    let head = head(request, "text/event-stream");
    stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
    for number in after + 1..=EVENTS {
        stream.write_all(chunk(&event(number)).as_bytes())?;
        std::thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Sends a request and reads some events, then closes the connection.
///
/// Returns the status, the number of events, and when to return.
fn ask(
    to: SocketAddr,
    id: &str,
    after: Option<(&str, u64)>,
    events_max: u64,
    record: &Record,
) -> std::io::Result<(u16, u64, Option<Duration>)> {
    let prefix = format!("aa:500,bb:300,{id}:100");
    let last = after.map(|(_, event)| event.to_string());
    let mut headers = vec![
        ("Host", "depot.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "12000"),
        ("Authorization", "Bearer key-teifi"),
        ("Model", "m0"),
        ("Token-Count", "900,50"),
        ("Prefix-Hash", prefix.as_str()),
    ];
    if let (Some((begun, _)), Some(last)) = (after, &last) {
        headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", begun)]);
    }
    let sent_at = Instant::now();
    let mut answer = http::send(to, "POST", "/note/a", &headers, b"sheet")?;
    let mut text = String::new();
    let mut events = 0;
    while answer.status == 200 && events < events_max {
        let Some(bytes) = answer.next() else { break };
        text.push_str(&String::from_utf8_lossy(&bytes));
        events = text.matches("\n\n").count() as u64;
    }
    let seconds = answer
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    let retry_after = seconds.map(Duration::from_secs_f64);
    record.line(format!(
        "caller of {id} gets status {} and {events} events in {} ms, Retry-After {retry_after:?}",
        answer.status,
        sent_at.elapsed().as_millis()
    ));
    Ok((answer.status, events, retry_after))
}

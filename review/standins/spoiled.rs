//! An engine at which a stream is taken up sends bytes that are no answer behind a whole event.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::customer;
use crate::engine::{chunk, event, head};
use crate::http::{self, Request};
use crate::record::Record;
use crate::{Deployment, Setting, Verdict, engine};

const EVENTS: u64 = 12;
/// Event after which the caller's own connection breaks.
const BROKEN_AFTER: u64 = 3;
/// Event behind which the faulty engine sends bytes that are no answer.
const SPOILED_AFTER: u64 = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// Callers of the sound answers beforehand, and the requests of each.
const EARLIER_CALLERS: usize = 25;
const EARLIER_REQUESTS: usize = 6;
/// Fewest answers of an engine of which it may spoil one, x .02.
const ANSWERS_MIN: usize = 50;

pub fn run(setting: &Setting) -> Verdict {
    // One engine spoils one answer: the first at which the stream is taken up.
    let is_faulty = Arc::new(AtomicBool::new(setting.has_trouble));
    let answers = [0, 1].map(|_| Arc::new(AtomicUsize::new(0)));
    let engines = [("i-1", &answers[0]), ("i-2", &answers[1])].map(|(id, count)| {
        let (is_faulty, record, count) = (is_faulty.clone(), setting.record.clone(), count.clone());
        let address = engine::start(id, move |request, stream| {
            let is_taken_up = request.header("last-event-id").is_some();
            count.fetch_add(1, Ordering::SeqCst);
            let spoils = is_taken_up && is_faulty.swap(false, Ordering::SeqCst);
            stream_events(id, request, stream, spoils, &record)
        });
        (id, address.to_string())
    });
    let customers = customer("teifi", false);
    let Some(deployment) = Deployment::start(setting, &customers, &engines) else {
        return Verdict::NotRun("the gateway did not start");
    };
    let mut received: HashMap<u64, usize> = HashMap::new();
    let (to, record) = (deployment.gateway.callers, &setting.record);
    let lines = Mutex::new(Vec::new());
    let callers: Vec<_> = (0..EARLIER_CALLERS)
        .map(|caller| {
            let quiet = record.clone();
            std::thread::spawn(move || {
                let ids = Mutex::new(Vec::new());
                for number in 0..EARLIER_REQUESTS {
                    let id = format!("e-{caller}-{number}");
                    let _ = read(to, &id, Some(0), &quiet, &ids);
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let counts: Vec<usize> = answers
        .iter()
        .map(|count| count.load(Ordering::SeqCst))
        .collect();
    record.line(format!("sound answers so far, by engine: {counts:?}"));
    if counts.iter().any(|count| *count < ANSWERS_MIN) {
        return Verdict::NotRun("an engine gave too few sound answers");
    }
    let first = read(to, "r-1", None, record, &lines);
    let Ok((200, _)) = first else {
        return Verdict::NotRun("the stream did not begin");
    };
    record.line("the caller's own connection breaks; it takes the stream up");
    let second = read(to, "r-2", Some(BROKEN_AFTER), record, &lines);
    for id in lines.into_inner().unwrap() {
        *received.entry(id).or_default() += 1;
    }
    let Ok((200, true)) = second else {
        record.line(format!(
            "the stream that was taken up did not end as complete: {second:?}"
        ));
        return Verdict::Held;
    };
    let missing: Vec<u64> = (1..=EVENTS)
        .filter(|id| !received.contains_key(id))
        .collect();
    let twice: Vec<&u64> = received
        .iter()
        .filter(|(_, n)| **n > 1)
        .map(|(id, _)| id)
        .collect();
    record.line(format!(
        "the stream ended as complete; missing: {missing:?}, twice: {twice:?}"
    ));
    match missing.is_empty() && twice.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

fn stream_events(
    id: &str,
    request: &Request,
    stream: &mut TcpStream,
    spoils: bool,
    record: &Record,
) -> std::io::Result<bool> {
    let last = request.header("last-event-id");
    let after: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    let request_id = request.header("request-id").unwrap_or_default();
    record.line(format!("engine {id} runs {request_id} after event {after}"));
    let head = head(request, "text/event-stream");
    stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
    for number in after + 1..=EVENTS {
        if spoils && number == SPOILED_AFTER {
            // A piece of the stream, and bytes that belong to none, leave together.
            let bytes = format!("{}\u{1}\u{2}qz7#\n\n", event(number));
            record.line(format!(
                "engine {id} sends event {number} of {request_id}, with bytes that are no answer \
                 behind it, and breaks off"
            ));
            stream.write_all(chunk(&bytes).as_bytes())?;
            std::thread::sleep(EVENT_PAUSE);
            return Ok(false);
        }
        stream.write_all(chunk(&event(number)).as_bytes())?;
        std::thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")?;
    record.line(format!("engine {id} completes {request_id}"));
    Ok(true)
}

/// Reads a stream; one without `after` is left after [`BROKEN_AFTER`], one after 0 is read to its end.
///
/// Returns the status and whether the stream ended as complete.
fn read(
    to: std::net::SocketAddr,
    id: &str,
    after: Option<u64>,
    record: &Record,
    ids: &Mutex<Vec<u64>>,
) -> std::io::Result<(u16, bool)> {
    let last = after
        .filter(|after| *after > 0)
        .map(|after| after.to_string());
    // A stream that is taken up has the same prompt.
    let prompt = if id.starts_with("r-") { "r" } else { id };
    let prefix = format!("{prompt}a:500,{prompt}b:300,{prompt}c:100");
    let mut headers = vec![
        ("Host", "depot.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "12000"),
        ("Authorization", "Bearer key-teifi"),
        ("Model", "m0"),
        ("Token-Count", "900,45"),
        ("Prefix-Hash", prefix.as_str()),
    ];
    if let Some(last) = &last {
        headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", "r-1")]);
    }
    record.line(format!("caller sends {id}, after event {after:?}"));
    let mut answer = http::send(to, "POST", "/note/a", &headers, b"sheet")?;
    record.line(format!("caller of {id} gets status {}", answer.status));
    let mut text = String::new();
    while let Some(bytes) = answer.next() {
        text.push_str(&String::from_utf8_lossy(&bytes));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let number = event.lines().find_map(|line| line.strip_prefix("id: "));
            record.line(format!("caller of {id} gets event {number:?}"));
            let number = number.and_then(|text| text.parse().ok()).unwrap_or(0);
            ids.lock().unwrap().push(number);
            let rest = rest.to_owned();
            text = rest;
            if after.is_none() && number == BROKEN_AFTER {
                return Ok((answer.status, false));
            }
        }
    }
    Ok((answer.status, answer.is_complete))
}

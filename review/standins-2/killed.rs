//! All gateways are killed at the same moment, and callers take their streams up once they are back.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::caller::{Attempt, Stream};
use crate::fleet::Fleet;
use crate::gateway::CONTACT;
use crate::record::Record;

const STREAMS: usize = 24;
const GATEWAYS: usize = 4;
/// Time after which processes that were killed are started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Waits of a caller before its further attempts: it backs off.
const BACKOFF_MS: [u64; 6] = [100, 400, 1_000, 2_000, 1_200, 1_500];

pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let stream = (44, Duration::from_millis(250));
    let mut fleet = Fleet::start(folder, &["v1", "v1", "v1"], stream, GATEWAYS)?;
    let addresses = fleet.addresses();
    record.line(
        "start",
        "4 gateways, 3 engines of software v1; 24 streams begin",
    );
    let begun_at = Instant::now();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let addresses = addresses.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(20 * number as u64));
                let mut stream = Stream::new(number);
                // Without the disruption, the caller's own connection breaks.
                let leave_after = (!has_trouble).then_some(5);
                stream.attempt(addresses[number % GATEWAYS], leave_after);
                for (turn, wait_ms) in BACKOFF_MS.into_iter().enumerate() {
                    let retry_after = stream
                        .attempts
                        .last()
                        .map_or(0.0, |last| last.retry_after_s);
                    let wait = Duration::from_millis(wait_ms);
                    let wait = wait.max(Duration::from_secs_f64(retry_after));
                    if stream.is_complete() || stream.left() < wait + Duration::from_secs(1) {
                        break;
                    }
                    std::thread::sleep(wait);
                    stream.attempt(addresses[(number + turn + 1) % GATEWAYS], None);
                }
                stream
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        for gateway in &mut fleet.gateways {
            gateway.kill();
        }
        record.line("disruption", "all gateways get SIGKILL");
        std::thread::sleep(RESTART_DELAY);
        for gateway in &mut fleet.gateways {
            gateway.start().map_err(|error| error.to_string())?;
        }
        record.line("disruption", "all gateways are started again");
        fleet.wait_ready()?;
        record.line("state", "all gateways are ready");
    }
    let back_at = match has_trouble {
        true => fleet
            .gateways
            .iter()
            .map(|gateway| gateway.started_at)
            .max()
            .unwrap_or(begun_at),
        false => begun_at,
    };
    let in_touch_at = back_at + CONTACT;
    std::thread::sleep(in_touch_at.saturating_duration_since(Instant::now()));
    record.line("state", "all gateways are in touch; 24 new streams begin");
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            let address = addresses[number % GATEWAYS];
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(50 * number as u64));
                let mut stream = Stream::new(100 + number);
                stream.attempt(address, Some(2));
                stream
            })
        })
        .collect();
    let new: Vec<Stream> = new
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let streams: Vec<Stream> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let is_taken_up = |stream: &Stream, attempt: &Attempt| {
        attempt.sent_at >= in_touch_at
            && stream.attempts[0].events.last().is_some()
            && attempt.id != stream.attempts[0].id
    };
    let (mut taken_up, mut went_on) = (0, 0);
    for stream in &streams {
        for attempt in &stream.attempts {
            let text = format!(
                "stream {} attempt {}: status {}, {} events, whole: {}",
                stream.number,
                attempt.id,
                attempt.status,
                attempt.events.len(),
                attempt.is_complete,
            );
            record.line_at(attempt.sent_at, "sent", &text);
        }
        let mut tries = stream
            .attempts
            .iter()
            .filter(|attempt| is_taken_up(stream, attempt));
        let first = tries.next();
        taken_up += usize::from(first.is_some());
        let has_events = |attempt: &Attempt| !attempt.events.is_empty();
        went_on += usize::from(first.is_some_and(has_events) || tries.any(has_events));
    }
    let began = new
        .iter()
        .filter(|stream| !stream.attempts[0].events.is_empty())
        .count();
    record.line(
        "result",
        &format!(
            "taken up in touch: {taken_up}, went on: {went_on}; new streams: {}, began: {began}",
            new.len()
        ),
    );
    for gateway in &fleet.gateways {
        for line in gateway.log_lines("origin_unknown").iter().take(2) {
            record.line("log", &format!("{}: {line}", gateway.name));
        }
    }
    if taken_up < 12 || new.is_empty() {
        return Err("fewer than 12 streams were taken up in touch".into());
    }
    let share = went_on as f64 / taken_up as f64;
    let new_share = began as f64 / new.len() as f64;
    Ok(match share < new_share / 2.0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    })
}

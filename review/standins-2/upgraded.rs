//! An engine crashes while the store is away, and starts again in its place with other software.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::caller::Stream;
use crate::fleet::Fleet;
use crate::gateway::DRAIN;
use crate::json::Json;
use crate::record::Record;

const STREAMS: usize = 48;
const GATEWAYS: usize = 4;
/// Time for which the store answers nobody.
const STORE_AWAY: Duration = Duration::from_millis(4_500);
/// Time from the end of the engine to its next start.
const ENGINE_DOWN: Duration = Duration::from_millis(500);
/// Time for which a sound engine sends nothing.
const SILENCE: Duration = Duration::from_millis(1_500);

pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let stream = (32, Duration::from_millis(200));
    let mut fleet = Fleet::start(folder, &["v1", "v1", "v1", "v1"], stream, GATEWAYS)?;
    let addresses = fleet.addresses();
    record.line("start", "4 gateways, 4 engines of software v1");
    let problem = |error: std::io::Error| error.to_string();
    let mut away_until = Instant::now();
    if has_trouble {
        fleet.store.set_down(true);
        away_until += STORE_AWAY;
        record.line("disruption", "the store answers nobody");
        std::thread::sleep(Duration::from_millis(300));
        fleet.engines[1].crash();
        record.line("disruption", "engine i-1 crashes");
        std::thread::sleep(ENGINE_DOWN);
        fleet.engines[1].start_again("v2").map_err(problem)?;
    } else {
        let mut entry = fleet.engines[1].entry();
        entry.set("State", Json::Text("draining".into()));
        fleet.store.put("servers", "i-1", entry);
        record.line("state", "engine i-1 reports that it is draining");
        std::thread::sleep(DRAIN + Duration::from_secs(1));
        fleet.engines[1].crash();
        record.line("state", "engine i-1 ends");
        std::thread::sleep(ENGINE_DOWN);
        fleet.engines[1].start_again("v2").map_err(problem)?;
        fleet.store.put("servers", "i-1", fleet.engines[1].entry());
    }
    record.line(
        "state",
        "engine i-1 starts again under its id, with software v2",
    );
    std::thread::sleep(Duration::from_millis(700));
    record.line("state", "streams begin");
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let address = addresses[number % GATEWAYS];
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(15 * number as u64));
                let mut stream = Stream::new(number);
                stream.attempt(address, None);
                stream
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    fleet.engines[1].fall_silent(SILENCE);
    record.line("state", "engine i-1 sends nothing for 1.5 s, and goes on");
    std::thread::sleep(away_until.saturating_duration_since(Instant::now()));
    if has_trouble {
        fleet.store.set_down(false);
        fleet.store.put("servers", "i-1", fleet.engines[1].entry());
        record.line("state", "the store answers again, and engine i-1 registers");
    }
    let streams: Vec<Stream> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let mut mixed = 0;
    for stream in &streams {
        let attempt = &stream.attempts[0];
        let made: Vec<String> = attempt
            .events
            .iter()
            .map(|(id, software)| format!("{id}{software}"))
            .collect();
        let text = format!(
            "stream {} {}: status {}, whole: {}, events {}",
            stream.number,
            attempt.id,
            attempt.status,
            attempt.is_complete,
            made.join(" "),
        );
        record.line_at(attempt.sent_at, "sent", &text);
        mixed += usize::from(stream.software().len() > 1);
    }
    for engine in &fleet.engines {
        for (at, id) in engine.ran() {
            record.line_at(at, "ran", &format!("{} at {}", id, engine.id));
        }
    }
    let served = streams
        .iter()
        .filter(|stream| stream.attempts[0].status == 200)
        .count();
    let text = format!("{served} of {STREAMS} streams began, {mixed} hold events of two versions");
    record.line("result", &text);
    if served < STREAMS / 2 {
        return Err("few streams began".into());
    }
    // More than two such streams break the rule.
    Ok(if mixed > 2 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

//! A gateway is stopped while streams are moved from a silent engine to one that has not begun them.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::caller::{BUDGET, Stream};
use crate::fleet::Fleet;
use crate::record::Record;

const STREAMS: usize = 10;
/// `GraceS`, in whose last sixth an engine that works excuses a cut.
const GRACE: Duration = Duration::from_millis(8_000);
/// Time for which the streams have run when the stop begins.
const BEFORE_STOP: Duration = Duration::from_millis(2_000);
/// From the stop: the first engine falls silent, and the second one.
const FIRST_SILENT: Duration = Duration::from_millis(4_900);
const SECOND_SILENT: Duration = Duration::from_millis(6_000);
/// Time for which a sound engine sends nothing.
const SILENCE: Duration = Duration::from_millis(1_500);

pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let stream = (28, Duration::from_millis(250));
    let fleet = Fleet::start(folder, &["v1", "v1"], stream, 2)?;
    let address = fleet.gateways[0].callers;
    record.line(
        "start",
        "2 gateways, 2 engines; 10 streams of 7 s begin at the first gateway",
    );
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            std::thread::spawn(move || {
                let mut stream = Stream::new(number);
                stream.attempt(address, None);
                (stream, Instant::now())
            })
        })
        .collect();
    std::thread::sleep(BEFORE_STOP);
    let stop_at = Instant::now();
    if has_trouble {
        fleet.gateways[0].terminate();
        record.line("disruption", "the first gateway gets SIGTERM");
    }
    std::thread::sleep((stop_at + FIRST_SILENT).saturating_duration_since(Instant::now()));
    fleet.engines[0].pause(SILENCE);
    record.line("state", "engine i-0 sends nothing for 1.5 s, and goes on");
    std::thread::sleep((stop_at + SECOND_SILENT).saturating_duration_since(Instant::now()));
    fleet.engines[1].pause(SILENCE);
    record.line("state", "engine i-1 sends nothing for 1.5 s, and goes on");
    let streams: Vec<(Stream, Instant)> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    // An engine that was at work at a cut notices the close with its next event.
    std::thread::sleep(Duration::from_secs(2));
    let runs: Vec<_> = fleet
        .engines
        .iter()
        .map(|engine| (engine, engine.runs()))
        .collect();
    let last_sixth = stop_at + GRACE * 5 / 6;
    let mut lost = 0;
    for (stream, ended_at) in &streams {
        let attempt = &stream.attempts[0];
        let mut is_excused = false;
        let mut text = format!(
            "{}: status {}, {} of 28 events, whole: {}",
            attempt.id,
            attempt.status,
            attempt.events.len(),
            attempt.is_complete
        );
        for (engine, runs) in &runs {
            for (_, begun_at, run_ended_at) in runs.iter().filter(|(id, _, _)| *id == attempt.id) {
                let after = |at: &Instant| at.saturating_duration_since(stop_at).as_secs_f64();
                text.push_str(&format!(
                    "; ran at {} from {:.3} to {:.3} s after the stop",
                    engine.id,
                    after(begun_at),
                    after(run_ended_at)
                ));
                is_excused |= *run_ended_at >= last_sixth && *begun_at < *ended_at;
            }
        }
        let is_in_time = *ended_at < stop_at + GRACE + Duration::from_secs(1)
            && *ended_at < stream.begun_at + BUDGET;
        let is_cut = !attempt.is_complete && is_in_time;
        lost += usize::from(is_cut && !is_excused);
        record.line_at(*ended_at, if is_cut { "cut" } else { "ended" }, &text);
    }
    let text = format!(
        "{lost} of {STREAMS} streams were cut though no engine was at work in the last sixth"
    );
    record.line("result", &text);
    Ok(if lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

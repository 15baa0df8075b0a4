//! Log lines that come faster than their reader takes them.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use celerylever::telemetry::{flushable_json_logger, json_logger};

/// Lines written while the reader stands still.
const LINES: usize = 50_000;
/// Lines that may wait: those of the channel, one being written and one that counts the others.
const WAITING_MAX: usize = 4_096 + 2;

/// Output whose reader stands still while the lock is held.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl io::Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_wait_up_to_a_bound_and_the_rest_is_counted() {
    let output = Output::default();
    let log = json_logger(output.clone(), "test");
    let reader = output.0.lock().unwrap();
    let started = Instant::now();
    for line in 0..LINES {
        slog::info!(log, "request"; "line" => line);
    }
    // A writer that waited for the reader would not come back at all.
    assert!(started.elapsed() < Duration::from_secs(10));
    drop(reader);
    // The number of lines left out comes with the next line that finds room.
    let count = || text(&output).lines().count();
    while count() < WAITING_MAX - 2 {
        std::thread::sleep(Duration::from_millis(10));
    }
    slog::info!(log, "request");
    drop(log);
    let text = text(&output);
    let is_own = |line: &&str| line.contains(r#""msg":"request""#);
    let own = text.lines().filter(is_own).count();
    assert!(own <= WAITING_MAX, "{own} lines were kept");
    // The writer can report the lines left out in several lines, if it starts late.
    let told: u64 = text.lines().filter_map(left_out).sum();
    let missing = (LINES - (own - 1)) as u64;
    assert_eq!(told, missing, "{own} lines were written");
}

/// Returns the number of lines that a line reports as left out; `None` for other lines.
fn left_out(line: &str) -> Option<u64> {
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    (line["event"] == "lines_left_out").then(|| line["lines"].as_u64().unwrap())
}

fn text(output: &Output) -> String {
    String::from_utf8(output.0.lock().unwrap().clone()).unwrap()
}

#[test]
fn queued_lines_are_waited_for_up_to_a_bound() {
    let output = Output::default();
    let (log, queued_lines) = flushable_json_logger(output.clone(), "test");
    let reader = output.0.lock().unwrap();
    for line in 0..100 {
        slog::info!(log, "request"; "line" => line, "text" => "two\nlines");
    }
    assert!(!queued_lines.wait_written(Duration::from_millis(20)));
    drop(reader);
    assert!(queued_lines.wait_written(Duration::from_secs(10)));
    assert_eq!(text(&output).lines().count(), 100);
}

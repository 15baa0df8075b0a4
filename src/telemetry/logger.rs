//! Root loggers of a process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, b, o, record};
use slog_async::{Async, AsyncCore, AsyncError};
use slog_json::Json;
use slog_term::{FullFormat, TermDecorator};

use crate::settings::{LogFormat, LogSettings};

/// Creates a logger that writes to standard error from a dedicated thread.
///
/// If lines arrive faster than they can be written, lines are dropped and their number is logged.
pub fn stderr_logger(settings: LogSettings, process_name: &'static str) -> Logger {
    let drain = match settings.format {
        LogFormat::Json => Async::new(Json::default(io::stderr()).fuse()).build(),
        LogFormat::Terminal => {
            let decorator = TermDecorator::new().stderr().build();
            Async::new(FullFormat::new(decorator).build().fuse()).build()
        }
    };
    Logger::root(drain.fuse(), o!("process" => process_name))
}

/// Capacity of the queue of the JSON writer; further lines are dropped and counted.
const QUEUED_LINES_MAX: usize = 4_096;

/// Interval between two checks whether the queued lines are written.
const WRITTEN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Creates a logger that writes JSON lines to `output`, usually standard output, from a dedicated
/// thread.
///
/// Logging never blocks the caller: if the queue is full, lines are dropped, and a line with their
/// number precedes the next line that is queued.
pub fn json_logger(output: impl io::Write + Send + 'static, process_name: &'static str) -> Logger {
    flushable_json_logger(output, process_name).0
}

/// Creates the logger of [`json_logger`] with the count of its queued lines, for a process that
/// writes them before it exits.
pub fn flushable_json_logger(
    output: impl io::Write + Send + 'static,
    process_name: &'static str,
) -> (Logger, QueuedLines) {
    let queued = QueuedLines::default();
    let output = LineCounter {
        output,
        queued: queued.clone(),
    };
    let json = Json::new(output).add_default_keys().build().fuse();
    let lines = AsyncCore::custom(json)
        .chan_size(QUEUED_LINES_MAX)
        .blocking(false)
        .build();
    let drain = DropCounter {
        lines,
        queued: queued.clone(),
        dropped: AtomicU64::new(0),
    };
    let log = Logger::root(drain.fuse(), o!("process" => process_name));
    (log, queued)
}

/// Number of lines that wait for the writer; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct QueuedLines {
    count: Arc<AtomicI64>,
}

impl QueuedLines {
    /// Waits until all lines queued so far are written; returns `false` if that takes longer than
    /// `timeout`.
    pub fn wait_written(&self, timeout: Duration) -> bool {
        let started = Instant::now();
        while self.count.load(Ordering::SeqCst) > 0 {
            if started.elapsed() >= timeout {
                return false;
            }
            std::thread::sleep(WRITTEN_CHECK_INTERVAL);
        }
        true
    }
}

/// Writer that counts the lines written.
struct LineCounter<W> {
    output: W,
    queued: QueuedLines,
}

impl<W: io::Write> io::Write for LineCounter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.output.write(bytes)?;
        // Line breaks inside a value are escaped.
        let lines = memchr::memchr_iter(b'\n', &bytes[..written]).count();
        self.queued.count.fetch_sub(lines as i64, Ordering::SeqCst);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.output.flush()
    }
}

/// Drain that queues lines for the writer and counts the lines dropped while the queue is full.
///
/// `slog_async::Async` is not used because it counts lines twice while its channel stays full.
struct DropCounter {
    lines: AsyncCore,
    queued: QueuedLines,
    dropped: AtomicU64,
}

impl Drain for DropCounter {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let is_reported = dropped == 0 || self.log_dropped(dropped, values).is_ok();
        let unreported = match is_reported {
            true => u64::from(self.queue(record, values).is_err()),
            false => dropped + 1,
        };
        self.dropped.fetch_add(unreported, Ordering::Relaxed);
        Ok(())
    }
}

impl DropCounter {
    fn queue(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), AsyncError> {
        // Counted before the writer can have written it.
        self.queued.count.fetch_add(1, Ordering::SeqCst);
        let queued = self.lines.log(record, values);
        if queued.is_err() {
            self.queued.count.fetch_sub(1, Ordering::SeqCst);
        }
        queued
    }

    fn log_dropped(&self, dropped: u64, values: &OwnedKVList) -> Result<(), AsyncError> {
        self.queue(
            &record!(
                Level::Warning,
                "",
                &format_args!("state"),
                b!("event" => "lines_left_out", "kind" => "unread", "lines" => dropped)
            ),
            values,
        )
    }
}

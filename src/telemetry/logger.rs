//! Root loggers of a process.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};

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

/// Creates a logger that writes JSON lines to `output`, usually standard output, from a dedicated
/// thread.
///
/// Logging never blocks the caller: if the queue is full, lines are dropped, and a line with their
/// number precedes the next line that is queued.
pub fn json_logger(output: impl io::Write + Send + 'static, process_name: &'static str) -> Logger {
    let json = Json::new(output).add_default_keys().build().fuse();
    let lines = AsyncCore::custom(json)
        .chan_size(QUEUED_LINES_MAX)
        .blocking(false)
        .build();
    let drain = DropCounter {
        lines,
        dropped: AtomicU64::new(0),
    };
    Logger::root(drain.fuse(), o!("process" => process_name))
}

/// Drain that queues lines for the writer and counts the lines dropped while the queue is full.
///
/// `slog_async::Async` is not used because it counts lines twice while its channel stays full.
struct DropCounter {
    lines: AsyncCore,
    dropped: AtomicU64,
}

impl Drain for DropCounter {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let is_reported = dropped == 0 || self.log_dropped(dropped, values).is_ok();
        let unreported = match is_reported {
            true => u64::from(self.lines.log(record, values).is_err()),
            false => dropped + 1,
        };
        self.dropped.fetch_add(unreported, Ordering::Relaxed);
        Ok(())
    }
}

impl DropCounter {
    fn log_dropped(&self, dropped: u64, values: &OwnedKVList) -> Result<(), AsyncError> {
        self.lines.log(
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

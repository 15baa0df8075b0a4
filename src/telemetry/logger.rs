//! Root logger of a process.

use std::io;

use slog::{Drain, Logger, o};
use slog_async::{Async, OverflowStrategy};
use slog_json::Json;
use slog_term::{FullFormat, TermDecorator};

use crate::settings::{LogFormat, LogSettings};

/// Creates a logger that writes to standard error from a thread of its own.
///
/// Lines are dropped, and their number logged, when they come faster than they can be written.
pub fn logger(settings: LogSettings, process_name: &'static str) -> Logger {
    let drain = match settings.format {
        LogFormat::Json => Async::new(Json::default(io::stderr()).fuse()).build(),
        LogFormat::Terminal => {
            let decorator = TermDecorator::new().stderr().build();
            Async::new(FullFormat::new(decorator).build().fuse()).build()
        }
    };
    Logger::root(drain.fuse(), o!("process" => process_name))
}

/// Lines that wait for their writer; further ones are dropped and counted.
const WAITING_LINES_MAX: usize = 4_096;

/// Creates a logger that writes JSON lines to standard output from a thread of its own.
///
/// A writer that cannot keep up never holds the caller: lines are dropped and their number logged.
pub fn output_logger(process_name: &'static str) -> Logger {
    let json = Json::new(io::stdout()).add_default_keys().build().fuse();
    let drain = Async::new(json)
        .chan_size(WAITING_LINES_MAX)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    Logger::root(drain.fuse(), o!("process" => process_name))
}

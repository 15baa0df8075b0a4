//! Writer of structured log events, rate-limited by kind.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use slog::{KV, Key, Logger, Record, Serializer, info};

pub(super) use super::log_event::LogEvent;
use crate::clock::{Instant, SharedClock};

/// Log lines per kind and second; enough for one decision on each request of a busy VM.
const LINES_PER_KIND_PER_S: f64 = 150.0;
/// Maximum burst of log lines of one kind.
const LINES_PER_KIND_BURST: f64 = 300.0;
/// Minimum time from the first suppressed line to the line that reports the number of suppressed
/// lines.
const SUPPRESSED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Rate-limited writer of log events; not `Clone`, as clones would not share the limits.
#[derive(Debug)]
pub struct EventLog {
    log: Logger,
    clock: SharedClock,
    limits: Mutex<HashMap<&'static str, KindLimit>>,
}

#[derive(Debug)]
struct KindLimit {
    permits: f64,
    updated: Instant,
    suppressed: u64,
    suppressed_since: Instant,
}

impl EventLog {
    /// Creates an event log that writes to a logger.
    pub fn new(log: Logger, clock: SharedClock) -> Self {
        Self {
            log,
            clock,
            limits: Mutex::default(),
        }
    }

    /// Returns the underlying logger, which is not rate-limited.
    pub fn logger(&self) -> &Logger {
        &self.log
    }

    /// Logs a change of the gateway's state.
    pub(super) fn log(&self, event: &LogEvent<'_>) {
        self.write(None, event);
    }

    /// Logs a decision about a request.
    pub(super) fn log_request(&self, id: &str, event: &LogEvent<'_>) {
        self.write(Some(id), event);
    }

    fn write(&self, request_id: Option<&str>, event: &LogEvent<'_>) {
        let (is_permitted, suppressed) = self.take_permit(event.kind());
        if let Some(lines) = suppressed {
            let kind = event.kind();
            self.emit(None, &LogEvent::LinesLeftOut { kind, lines });
        }
        if is_permitted {
            self.emit(request_id, event);
        }
    }

    fn emit(&self, request_id: Option<&str>, event: &LogEvent<'_>) {
        let fields = match serde_json::to_value(event) {
            Ok(serde_json::Value::Object(fields)) => Fields(fields),
            Ok(_) | Err(_) => return slog::error!(self.log, "log event cannot be serialized"),
        };
        match request_id {
            Some(id) => info!(self.log, "request"; "request_id" => id, fields),
            None => info!(self.log, "state"; fields),
        }
    }

    /// Returns whether a line may be written, and the number of suppressed lines if its report is
    /// due.
    fn take_permit(&self, kind: &'static str) -> (bool, Option<u64>) {
        let now = self.clock.now();
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = limits.entry(kind).or_insert(KindLimit {
            permits: LINES_PER_KIND_BURST,
            updated: now,
            suppressed: 0,
            suppressed_since: now,
        });
        let earned = now.saturating_sub(limit.updated).as_secs_f64() * LINES_PER_KIND_PER_S;
        limit.permits = (limit.permits + earned).min(LINES_PER_KIND_BURST);
        limit.updated = now;
        if limit.permits < 1.0 {
            if limit.suppressed == 0 {
                limit.suppressed_since = now;
            }
            limit.suppressed += 1;
            return (false, None);
        }
        limit.permits -= 1.0;
        let is_due = now.saturating_sub(limit.suppressed_since) >= SUPPRESSED_REPORT_INTERVAL;
        let suppressed =
            (limit.suppressed > 0 && is_due).then(|| std::mem::take(&mut limit.suppressed));
        (true, suppressed)
    }
}

/// Progress of a request that the shutdown aborts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum AbortStage {
    /// The caller has received nothing and gets a complete refusal.
    BeforeResponse,
    /// The caller has received part of a stream, which ends early.
    Streaming,
}

impl AbortStage {
    /// Returns the name that is used in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::BeforeResponse => "before_response",
            Self::Streaming => "streaming",
        }
    }
}

/// Fields of an event, as key-value pairs of a log line.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl KV for Fields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        for (name, value) in &self.0 {
            let key = Key::from(name.clone());
            match value {
                serde_json::Value::String(text) => serializer.emit_str(key, text)?,
                serde_json::Value::Bool(flag) => serializer.emit_bool(key, *flag)?,
                serde_json::Value::Null => serializer.emit_none(key)?,
                serde_json::Value::Number(number) => match (number.as_u64(), number.as_f64()) {
                    (Some(number), _) => serializer.emit_u64(key, number)?,
                    (None, Some(number)) => serializer.emit_f64(key, number)?,
                    (None, None) => serializer.emit_str(key, &number.to_string())?,
                },
                other => serializer.emit_str(key, &other.to_string())?,
            }
        }
        Ok(())
    }
}

//! Structured log of decisions and state changes: typed events, rate-limited by kind.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use slog::{KV, Key, Logger, Record, Serializer, info};

use super::attempt_failure::FailureCause;
use super::model::WeightNumber;
use super::platform_api::TrackedKind;
use crate::clock::{Instant, SharedClock};
use crate::ids::{FencingNumber, ObjectVersion, StoreEra, Tokens};
use crate::platform::serialize_position;

/// Log lines per kind and second; enough for one decision on each request of a busy VM.
const LINES_PER_KIND_PER_S: f64 = 150.0;
/// Maximum burst of log lines of one kind.
const LINES_PER_KIND_BURST: f64 = 300.0;
/// Minimum time from the first suppressed line to the line that reports the number of suppressed
/// lines.
const SUPPRESSED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Decision about a request, or change of the gateway's state.
#[derive(Debug, Clone)]
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum LogEvent<'a> {
    Started {
        availability_zone: &'a str,
        store: String,
    },
    Stopping {
        requests: usize,
        connections: usize,
    },
    Stopped {
        requests_cut: usize,
        connections: usize,
        stopping_ms: Option<u64>,
    },
    Reloaded {
        is_changed: bool,
    },
    ReloadRefused {
        code: u16,
        reason: String,
    },
    StoreLost {
        tracked: TrackedKind,
        reason: String,
    },
    StoreBack {
        tracked: TrackedKind,
        away_ms: u64,
    },
    HistoryGone {
        tracked: TrackedKind,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    TakenFromPeer {
        tracked: TrackedKind,
        peer: &'a str,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    PeerReadFailed {
        tracked: TrackedKind,
        peer: &'a str,
        reason: String,
    },
    /// The store was restored from a copy.
    StoreRestored {
        era: StoreEra,
        earlier: StoreEra,
    },
    ConfigInForce {
        version: ObjectVersion,
        earlier: ObjectVersion,
    },
    ObjectUnusable {
        tracked: TrackedKind,
        name: &'a str,
        reason: &'a str,
    },
    UpstreamListed {
        upstream: &'a str,
        service: &'a str,
        is_ready: bool,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    UpstreamGone {
        upstream: &'a str,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
    },
    UpstreamLeaving {
        upstream: &'a str,
    },
    UpstreamHeldOff {
        upstream: &'a str,
        for_ms: u64,
    },
    WeightsNamed {
        model: &'a str,
        weights: WeightNumber,
        #[serde(serialize_with = "serialize_position")]
        revision: ObjectVersion,
        age_ms: u64,
    },
    LeaseHeld {
        fencing: FencingNumber,
    },
    LeaseLost {
        fencing: FencingNumber,
    },
    LeaseMalformed {
        version: ObjectVersion,
        reason: &'a str,
    },
    LeaseCallFailed {
        reason: String,
    },
    OrderSent {
        upstream: &'a str,
        model: &'a str,
        weights: WeightNumber,
        fencing: FencingNumber,
        expected_orders: u64,
        reply: String,
    },
    OrderNotSent {
        upstream: &'a str,
        reason: String,
    },
    WeightsInPlace {
        upstream: &'a str,
        model: &'a str,
        weights: WeightNumber,
        after_ms: u64,
    },
    MembershipCallFailed {
        call: &'static str,
        reason: String,
    },
    BeatFailed {
        reason: String,
    },
    Admitted {
        route: &'a str,
        service: &'a str,
        customer: Option<&'a str>,
        /// Units deducted from the customer's allowance; `None` if the customer has no allowance.
        cost: Option<u64>,
        left_ms: u64,
        config: ObjectVersion,
    },
    Queued {
        service: &'a str,
        requests: usize,
        tokens: Tokens,
        left_ms: u64,
    },
    Placed {
        upstream: &'a str,
        attempt: u32,
        weights: Option<WeightNumber>,
        held_tokens: u64,
        ahead_tokens: u64,
        /// Time for which the upstream has lacked target weights; 0 if it lacks none.
        behind_ms: u64,
        waited_ms: u64,
    },
    /// The first event came from an engine that lacks target weights.
    OlderWeightsUsed {
        upstream: &'a str,
        weights: Option<WeightNumber>,
        behind_ms: u64,
        after_ms: u64,
    },
    Refused {
        code: u16,
        name: &'static str,
        reason: &'a str,
        retry_after_ms: u64,
        config: ObjectVersion,
    },
    AttemptFailed {
        upstream: &'a str,
        attempt: u32,
        outcome: &'static str,
        cause: FailureCause,
        reason: &'a str,
        after_ms: u64,
        /// Parts of the prompt that other prompts may share.
        parts: Option<String>,
        /// Time since the process was requested to stop.
        stopping_ms: Option<u64>,
    },
    /// A part of prompts is kept from engines, tried once more or released.
    PartState {
        part: String,
        part_id: Option<&'a str>,
        is_held: bool,
        round: u32,
        crashes: u16,
        trials: u32,
        is_ambiguous: bool,
        /// Processes that crashed with requests with the part, where this VM drew the conclusion.
        processes: String,
        source: &'static str,
    },
    QuarantineCallFailed {
        call: &'static str,
        reason: String,
    },
    /// An engine no longer listens after the connections of requests to it broke.
    UpstreamCrashed {
        upstream: &'a str,
        born_ms: u64,
        /// Hash of the process lifetime, by which VMs refer to the crash.
        process: String,
        /// Requests of this VM that it had.
        requests: usize,
    },
    Resumed {
        upstream: &'a str,
        after_event: Option<u64>,
    },
    StreamBroken {
        reason: &'a str,
        after_event: Option<u64>,
        /// Number of upstreams that ran the request or may have run it.
        runs: u32,
        stopping_ms: Option<u64>,
    },
    /// The shutdown ended the request before its response was complete.
    Aborted {
        stage: AbortStage,
        stopping_ms: Option<u64>,
    },
    Answered {
        upstream: &'a str,
        status: u16,
        after_ms: u64,
    },
    CallerLeft {
        upstream: &'a str,
        after_ms: u64,
    },
    LinesLeftOut {
        kind: &'static str,
        lines: u64,
    },
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

impl LogEvent<'_> {
    fn kind(&self) -> &'static str {
        match self {
            Self::Admitted { .. } => "admitted",
            Self::Queued { .. } => "queued",
            Self::Placed { .. } => "placed",
            Self::Answered { .. } => "answered",
            Self::Refused { .. } => "refused",
            Self::AttemptFailed { .. } | Self::Resumed { .. } => "failed",
            // Not suppressed by the attempts that fail at the same time.
            Self::StreamBroken { .. } | Self::Aborted { .. } => "broken",
            Self::OlderWeightsUsed { .. } => "older_weights_used",
            Self::CallerLeft { .. } => "caller_left",
            Self::UpstreamListed { .. }
            | Self::UpstreamGone { .. }
            | Self::UpstreamLeaving { .. }
            | Self::UpstreamCrashed { .. }
            | Self::UpstreamHeldOff { .. } => "upstream",
            Self::ObjectUnusable { .. } => "object_unusable",
            Self::StoreLost { .. } | Self::StoreBack { .. } | Self::StoreRestored { .. } => "store",
            _ => "state",
        }
    }
}

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
                serde_json::Value::Number(number) => match number.as_u64() {
                    Some(number) => serializer.emit_u64(key, number)?,
                    None => serializer.emit_str(key, &number.to_string())?,
                },
                other => serializer.emit_str(key, &other.to_string())?,
            }
        }
        Ok(())
    }
}

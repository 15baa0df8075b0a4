//! Metrics of a gateway.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use super::attempt_failure::FailureCause;
use super::caller_memory::PressureCounts;
use super::event_log::AbortStage;
use super::platform_api::TrackedKind;
use super::service_rollout::{RequestOutcome, RolloutState};
use crate::error::Code;
use crate::ids::ObjectVersion;

const DURATION_BUCKETS_S: [f64; 13] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 5.0, 12.0,
];

/// Counters, histograms and gauges of a gateway.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    refusals: Counter<u64>,
    shed: Counter<u64>,
    retries: Counter<u64>,
    attempt_failures: Counter<u64>,
    crashes: Counter<u64>,
    trials: Counter<u64>,
    held_parts: Gauge<u64>,
    limited_upstreams: Gauge<u64>,
    reports: Counter<u64>,
    permits: Counter<u64>,
    rejections: Counter<u64>,
    load_news: Counter<u64>,
    origin_records: Counter<u64>,
    origin_lookups: Counter<u64>,
    forwards: Counter<u64>,
    helped: Counter<u64>,
    aborts: Counter<u64>,
    caller_pressure: Counter<u64>,
    caller_memory: Gauge<u64>,
    responses: Counter<u64>,
    orders: Counter<u64>,
    first_event: Histogram<f64>,
    whole_answer: Histogram<f64>,
    queue_time: Histogram<f64>,
    store_call: Histogram<f64>,
    weights_in_place: Histogram<f64>,
    older_weights: Histogram<f64>,
    config_version: Gauge<u64>,
    rollout_share: Gauge<u64>,
    rollout_requests: Counter<u64>,
    rollout_conclusions: Counter<u64>,
    rollout_writes: Counter<u64>,
}

impl GatewayMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let seconds = |name, description| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(DURATION_BUCKETS_S.to_vec())
                .build()
        };
        Self {
            refusals: counter("gateway_refusals", "Requests refused, by result code"),
            shed: counter(
                "gateway_shed",
                "Requests that queues refused by priority and work, by cause and priority",
            ),
            retries: counter("gateway_repeats", "Requests sent once more, by reason"),
            attempt_failures: counter(
                "gateway_attempt_failures",
                "Failed attempts, by outcome and cause",
            ),
            crashes: counter(
                "gateway_engine_crashes",
                "Engines that no longer listened after connections of requests broke",
            ),
            trials: counter(
                "gateway_trials",
                "Trials of held parts of prompts permitted",
            ),
            held_parts: meter
                .u64_gauge("gateway_held_parts")
                .with_description("Parts of prompts that are kept from engines")
                .build(),
            limited_upstreams: meter
                .u64_gauge("gateway_limited_upstreams")
                .with_description("Upstreams that name a limit of requests")
                .build(),
            reports: counter("gateway_reports", "Reports requested from engines"),
            permits: counter(
                "gateway_permits",
                "Permits requested for limited upstreams, by outcome",
            ),
            rejections: counter(
                "gateway_rejections",
                "Requests that upstreams had no room for, by whether they are known to be brittle",
            ),
            load_news: counter(
                "gateway_load_news",
                "Messages between VMs with loads of upstreams, by direction",
            ),
            origin_records: counter(
                "gateway_stream_records",
                "Streams whose origin other VMs were told of, by outcome",
            ),
            origin_lookups: counter(
                "gateway_stream_lookups",
                "Streams that callers took up, by what their origin is known from",
            ),
            forwards: counter(
                "gateway_forwarded",
                "Requests that other VMs were asked to handle, by outcome",
            ),
            helped: counter(
                "gateway_helped",
                "Requests of other VMs, by whether this one handled them",
            ),
            aborts: counter(
                "gateway_aborts",
                "Requests ended by the shutdown, by what the caller had received",
            ),
            caller_pressure: counter(
                "gateway_caller_pressure",
                "Bodies, responses and connections for which there was no room, by what was done",
            ),
            caller_memory: meter
                .u64_gauge("gateway_caller_memory")
                .with_unit("By")
                .with_description("Memory held for callers' bodies and responses")
                .build(),
            responses: counter("gateway_answers", "Answers passed on, by class of status"),
            orders: counter("gateway_orders", "Orders to engines, by reply"),
            first_event: seconds(
                "gateway_first_event",
                "Time from arrival to the first event",
            ),
            whole_answer: seconds("gateway_whole_answer", "Time from arrival to the end"),
            queue_time: seconds("gateway_waited", "Time in the queue before an upstream"),
            store_call: seconds("gateway_store_call", "Time of calls to the store"),
            weights_in_place: seconds("gateway_weights_in_place", "Time from naming to in place"),
            older_weights: seconds(
                "gateway_older_weights",
                "Time for which an engine lacked target weights at a first event",
            ),
            config_version: meter.u64_gauge("gateway_config_version").build(),
            rollout_share: meter
                .u64_gauge("gateway_rollout_share_permille")
                .with_description("Share granted to the target of a rollout, by service")
                .build(),
            rollout_requests: counter(
                "gateway_rollout_requests",
                "Requests of services with a rollout, by version and outcome",
            ),
            rollout_conclusions: counter(
                "gateway_rollout_conclusions",
                "Conclusions of rollouts, by state",
            ),
            rollout_writes: counter(
                "gateway_rollout_writes",
                "Statuses of rollouts written, by outcome",
            ),
        }
    }

    pub(super) fn count_refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", code.name())]);
    }

    pub(super) fn count_shed(&self, cause: &'static str, priority: u8) {
        let labels = [
            KeyValue::new("cause", cause),
            KeyValue::new("priority", i64::from(priority)),
        ];
        self.shed.add(1, &labels);
    }

    pub(super) fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(super) fn count_attempt_failure(&self, outcome: &'static str, cause: FailureCause) {
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("cause", cause.name()),
        ];
        self.attempt_failures.add(1, &labels);
    }

    pub(super) fn count_crash(&self) {
        self.crashes.add(1, &[]);
    }

    pub(super) fn count_trial(&self) {
        self.trials.add(1, &[]);
    }

    pub(super) fn record_held_parts(&self, parts: u64) {
        self.held_parts.record(parts, &[]);
    }

    pub(super) fn record_limited_upstreams(&self, upstreams: u64) {
        self.limited_upstreams.record(upstreams, &[]);
    }

    pub(super) fn count_permit(&self, outcome: &'static str) {
        self.permits.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn count_rejection(&self, is_brittle: bool) {
        self.rejections
            .add(1, &[KeyValue::new("brittle", is_brittle)]);
    }

    pub(super) fn count_load_news(&self, direction: &'static str) {
        self.load_news
            .add(1, &[KeyValue::new("direction", direction)]);
    }

    pub(super) fn count_origin_record(&self, outcome: &'static str) {
        self.origin_records
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn count_origin_lookup(&self, source: &'static str) {
        self.origin_lookups
            .add(1, &[KeyValue::new("source", source)]);
    }

    pub(super) fn count_forward(&self, outcome: &'static str) {
        self.forwards.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn count_helped(&self, is_handled: bool) {
        self.helped.add(1, &[KeyValue::new("handled", is_handled)]);
    }

    pub(super) fn count_report(&self) {
        self.reports.add(1, &[]);
    }

    pub(super) fn count_abort(&self, stage: AbortStage) {
        self.aborts.add(1, &[KeyValue::new("stage", stage.name())]);
    }

    /// Counts what did not fit since the last pass, and records the memory that is held.
    pub(super) fn record_caller_memory(&self, added: &PressureCounts, held_bytes: u64) {
        let counts = [
            ("body_evicted", added.evicted_bodies),
            ("body_refused", added.refused_bodies),
            ("response_evicted", added.evicted_responses),
            ("response_refused", added.refused_responses),
            ("connection_closed", added.closed_connections),
        ];
        for (action, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
            let labels = [KeyValue::new("action", action)];
            self.caller_pressure.add(count, &labels);
        }
        self.caller_memory.record(held_bytes, &[]);
    }

    /// Records the time for which an engine had lacked target weights when its first event came.
    pub(super) fn record_older_weights(&self, behind: Duration) {
        self.older_weights.record(behind.as_secs_f64(), &[]);
    }

    pub(super) fn record_response(&self, status: u16, after: Duration) {
        let class = i64::from(status / 100);
        self.responses.add(1, &[KeyValue::new("class", class)]);
        self.whole_answer.record(after.as_secs_f64(), &[]);
    }

    pub(super) fn record_first_event(&self, after: Duration) {
        self.first_event.record(after.as_secs_f64(), &[]);
    }

    pub(super) fn record_queue_time(&self, time: Duration) {
        self.queue_time.record(time.as_secs_f64(), &[]);
    }

    pub(super) fn record_store_call(
        &self,
        tracked: TrackedKind,
        call: &'static str,
        is_ok: bool,
        time: Duration,
    ) {
        let labels = [
            KeyValue::new("object", tracked.name()),
            KeyValue::new("call", call),
            KeyValue::new("ok", is_ok),
        ];
        self.store_call.record(time.as_secs_f64(), &labels);
    }

    pub(super) fn count_order(&self, reply: &'static str) {
        self.orders.add(1, &[KeyValue::new("reply", reply)]);
    }

    pub(super) fn record_weights_in_place(&self, after: Duration) {
        self.weights_in_place.record(after.as_secs_f64(), &[]);
    }

    pub(super) fn record_rollout_share(&self, service: &str, share_permille: u16) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.rollout_share
            .record(u64::from(share_permille), &labels);
    }

    pub(super) fn count_rollout_request(&self, is_target: bool, outcome: RequestOutcome) {
        let labels = [
            KeyValue::new("version", if is_target { "target" } else { "old" }),
            KeyValue::new(
                "outcome",
                match outcome {
                    RequestOutcome::Success => "success",
                    RequestOutcome::Failure => "failure",
                    RequestOutcome::Refusal => "refusal",
                    RequestOutcome::Abandoned => "abandoned",
                },
            ),
        ];
        self.rollout_requests.add(1, &labels);
    }

    pub(super) fn count_rollout_conclusion(&self, state: RolloutState) {
        self.rollout_conclusions
            .add(1, &[KeyValue::new("state", state.name())]);
    }

    pub(super) fn count_rollout_write(&self, outcome: &'static str) {
        self.rollout_writes
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn record_config_version(&self, version: ObjectVersion) {
        self.config_version.record(version, &[]);
    }
}

//! Counters and histograms of a gateway.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use super::platform_api::TrackedKind;
use crate::error::Code;
use crate::ids::ObjectVersion;

const SECONDS_BOUNDS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 5.0, 12.0,
];

/// Handle to the instruments.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    refusals: Counter<u64>,
    repeats: Counter<u64>,
    failures: Counter<u64>,
    answers: Counter<u64>,
    orders: Counter<u64>,
    first_event: Histogram<f64>,
    whole_answer: Histogram<f64>,
    waited: Histogram<f64>,
    store_call: Histogram<f64>,
    weights_in_place: Histogram<f64>,
    config_version: Gauge<u64>,
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
                .with_boundaries(SECONDS_BOUNDS.to_vec())
                .build()
        };
        Self {
            refusals: counter("gateway_refusals", "Requests refused, by result code"),
            repeats: counter("gateway_repeats", "Requests sent once more, by reason"),
            failures: counter("gateway_attempt_failures", "Failed attempts, by outcome"),
            answers: counter("gateway_answers", "Answers passed on, by class of status"),
            orders: counter("gateway_orders", "Orders to engines, by reply"),
            first_event: seconds(
                "gateway_first_event",
                "Time from arrival to the first event",
            ),
            whole_answer: seconds("gateway_whole_answer", "Time from arrival to the end"),
            waited: seconds("gateway_waited", "Time in the queue before an upstream"),
            store_call: seconds("gateway_store_call", "Time of calls to the store"),
            weights_in_place: seconds("gateway_weights_in_place", "Time from naming to in place"),
            config_version: meter.u64_gauge("gateway_config_version").build(),
        }
    }

    pub(super) fn refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", code.name())]);
    }

    pub(super) fn repeat(&self, reason: &'static str) {
        self.repeats.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(super) fn attempt_failed(&self, outcome: &'static str) {
        self.failures.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(super) fn answer(&self, status: u16, after: Duration) {
        let class = i64::from(status / 100);
        self.answers.add(1, &[KeyValue::new("class", class)]);
        self.whole_answer.record(after.as_secs_f64(), &[]);
    }

    pub(super) fn first_event(&self, after: Duration) {
        self.first_event.record(after.as_secs_f64(), &[]);
    }

    pub(super) fn waited(&self, time: Duration) {
        self.waited.record(time.as_secs_f64(), &[]);
    }

    pub(super) fn store_call(
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

    pub(super) fn order(&self, reply: &'static str) {
        self.orders.add(1, &[KeyValue::new("reply", reply)]);
    }

    pub(super) fn weights_in_place(&self, after: Duration) {
        self.weights_in_place.record(after.as_secs_f64(), &[]);
    }

    pub(super) fn config_version(&self, version: ObjectVersion) {
        self.config_version.record(version, &[]);
    }
}

//! Counters, gauges and histograms with typed labels.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use super::{Event, PeerDropReason, RetryReason, StoreCall, StoreOutcome};
use crate::error::Code;
use crate::ids::{ObjectVersion, Tokens};
use crate::route::Reason;

const FIRST_TOKEN_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Handle to all instruments; clones share them.
///
/// Label values come from enumerations or the operators' document, never from callers, so that the
/// number of time series is bounded.
#[derive(Debug, Clone)]
pub struct Metrics {
    instruments: Arc<Instruments>,
}

#[derive(Debug)]
struct Instruments {
    refusals: Counter<u64>,
    retries: Counter<u64>,
    choices: Counter<u64>,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    prompt_tokens: Counter<u64>,
    cached_tokens: Counter<u64>,
    first_token: Histogram<f64>,
    store_calls: Counter<u64>,
    child_restarts: Counter<u64>,
    peer_drops: Counter<u64>,
    handler_panics: Counter<u64>,
    accept_failures: Counter<u64>,
    events: Counter<u64>,
    configuration_version: Gauge<u64>,
    peer_certificate_expiry: Gauge<i64>,
    peer_link_bytes: Gauge<u64>,
}

impl Metrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let instruments = Instruments {
            refusals: counter("refusals", "Requests refused, by result code"),
            choices: counter("choices", "Engines chosen, by reason"),
            retries: counter("retries", "Requests sent to an upstream again"),
            requests: counter("requests", "Requests accepted"),
            tokens: counter("tokens", "Tokens charged to customers"),
            prompt_tokens: counter("prompt_tokens", "Prompt tokens of answered requests"),
            cached_tokens: counter("cached_tokens", "Prompt tokens found in an engine's cache"),
            first_token: meter
                .f64_histogram("first_token")
                .with_unit("s")
                .with_description("Time from a request's arrival to its first token")
                .with_boundaries(FIRST_TOKEN_BUCKETS_SECONDS.to_vec())
                .build(),
            store_calls: counter("store_calls", "Calls to the platform's store"),
            child_restarts: counter("child_restarts", "Restarts of supervised tasks"),
            peer_drops: counter("peer_messages_dropped", "Messages of peers dropped"),
            handler_panics: counter("handler_panics", "Panics caught in request handlers"),
            accept_failures: counter(
                "accept_failures",
                "Connections that could not be accepted, for example for want of descriptors",
            ),
            events: counter("events", "Changes of state"),
            configuration_version: meter
                .u64_gauge("configuration_version")
                .with_description("Version of the operators' document in force")
                .build(),
            peer_link_bytes: meter
                .u64_gauge("peer_link_bytes")
                .with_description("Bytes on the connections that are open to peers")
                .build(),
            peer_certificate_expiry: meter
                .i64_gauge("peer_certificate_expiry")
                .with_unit("s")
                .with_description("Unix time at which this VM's certificate expires")
                .build(),
        };
        Self {
            instruments: Arc::new(instruments),
        }
    }

    /// Returns a handle that records with the label of `customer`.
    pub fn customer(&self, customer: &str) -> CustomerMetrics {
        CustomerMetrics {
            label: KeyValue::new("customer", Arc::<str>::from(customer)),
            metrics: self.clone(),
        }
    }

    /// Counts a refused request; `customer` is `None` if the customer is unknown.
    pub fn record_refusal(&self, code: Code, customer: Option<&str>) {
        let customer = label("customer", customer.unwrap_or_default());
        let labels = [KeyValue::new("code", code.name()), customer];
        self.instruments.refusals.add(1, &labels);
    }

    /// Counts a retry after a failure of `upstream`.
    pub fn record_retry(&self, reason: RetryReason, upstream: &str) {
        let labels = [
            KeyValue::new("reason", reason.label()),
            label("upstream", upstream),
        ];
        self.instruments.retries.add(1, &labels);
    }

    /// Counts the choice of an engine by its reason.
    pub fn record_choice(&self, reason: Reason) {
        let labels = [KeyValue::new("reason", reason.label())];
        self.instruments.choices.add(1, &labels);
    }

    /// Counts an accepted request.
    pub fn record_request(&self, customer: &str, model: &str) {
        self.customer(customer).record_request(model);
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn record_first_token(&self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        self.instruments.first_token.record(seconds, &[]);
    }

    /// Counts tokens charged to a customer.
    pub fn record_tokens(&self, customer: &str, count: Tokens) {
        self.customer(customer).record_tokens(count);
    }

    /// Counts the prompt tokens of an answered request.
    pub fn record_prompt_tokens(&self, model: &str, count: Tokens) {
        let labels = [label("model", model)];
        self.instruments.prompt_tokens.add(count, &labels);
    }

    /// Counts the prompt tokens that an engine found in its cache.
    pub fn record_cached_tokens(&self, model: &str, count: Tokens) {
        let labels = [label("model", model)];
        self.instruments.cached_tokens.add(count, &labels);
    }

    /// Counts a call to the platform's store.
    pub fn record_store_call(&self, call: StoreCall, outcome: StoreOutcome) {
        let labels = [
            KeyValue::new("call", call.label()),
            KeyValue::new("outcome", outcome.label()),
        ];
        self.instruments.store_calls.add(1, &labels);
    }

    /// Counts a restart of a supervised task.
    pub fn record_child_restart(&self, child: &'static str) {
        let labels = [KeyValue::new("child", child)];
        self.instruments.child_restarts.add(1, &labels);
    }

    /// Counts a dropped message from a peer.
    pub fn record_peer_message_drop(&self, reason: PeerDropReason) {
        let labels = [KeyValue::new("reason", reason.label())];
        self.instruments.peer_drops.add(1, &labels);
    }

    /// Counts a panic caught in a request handler.
    pub fn record_handler_panic(&self) {
        self.instruments.handler_panics.add(1, &[]);
    }

    /// Counts a connection that could not be accepted.
    pub fn record_accept_failure(&self) {
        self.instruments.accept_failures.add(1, &[]);
    }

    /// Counts a state change.
    pub fn record_event(&self, event: Event) {
        let labels = [KeyValue::new("event", event.label())];
        self.instruments.events.add(1, &labels);
    }

    /// Sets the version of the applied operators' document.
    pub fn set_configuration_version(&self, version: ObjectVersion) {
        self.instruments.configuration_version.record(version, &[]);
    }

    /// Sets the number of bytes transferred on the connections that are open to peers.
    pub fn set_peer_link_bytes(&self, bytes: u64) {
        self.instruments.peer_link_bytes.record(bytes, &[]);
    }

    /// Sets the Unix time at which this VM's certificate expires.
    pub fn set_peer_certificate_expiry(&self, not_after_s: i64) {
        self.instruments
            .peer_certificate_expiry
            .record(not_after_s, &[]);
    }
}

/// Handle to one customer's counters that builds the customer label only once.
#[derive(Debug, Clone)]
pub struct CustomerMetrics {
    label: KeyValue,
    metrics: Metrics,
}

impl CustomerMetrics {
    /// Counts a refused request.
    pub fn record_refusal(&self, code: Code) {
        let labels = [KeyValue::new("code", code.name()), self.label.clone()];
        self.metrics.instruments.refusals.add(1, &labels);
    }

    /// Counts an accepted request.
    pub fn record_request(&self, model: &str) {
        let labels = [self.label.clone(), label("model", model)];
        self.metrics.instruments.requests.add(1, &labels);
    }

    /// Counts tokens charged to the customer.
    pub fn record_tokens(&self, count: Tokens) {
        let labels = std::slice::from_ref(&self.label);
        self.metrics.instruments.tokens.add(count, labels);
    }
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, Arc::<str>::from(value))
}

//! What a load does and what came of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fault::milliseconds;

/// One customer's part of the load.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadCustomer {
    /// Name in the report.
    pub name: String,
    /// Key that its requests show.
    pub key: String,
    /// Model that it asks for.
    pub model: String,
    /// Mean of its requests a second; their times are random and do not wait for answers.
    pub requests_per_second: f64,
}

/// What a [`Load`](crate::Load) does.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadSettings {
    /// Entries, one of which each request goes to.
    pub entries: Vec<SocketAddr>,
    /// Customers that send.
    pub customers: Vec<LoadCustomer>,
    /// Seed of every choice.
    pub seed: u64,
    /// How long requests are sent.
    #[serde(rename = "duration_ms", with = "milliseconds")]
    pub duration: Duration,
    /// When an answer is given up.
    #[serde(rename = "timeout_ms", with = "milliseconds")]
    pub timeout: Duration,
    /// Asks for streamed answers.
    pub streamed: bool,
    /// Length of each answer, in tokens.
    pub answer_tokens: u64,
    /// Length of each level of nested prefixes, in tokens; the first is the customer's own.
    pub levels_tokens: Vec<usize>,
    /// Prefixes in use at each level below the first.
    pub hot_prefixes: u64,
    /// When these change for others; never if zero.
    #[serde(rename = "shift_every_ms", with = "milliseconds")]
    pub shift_every: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            customers: Vec::new(),
            seed: 1,
            duration: Duration::from_secs(10),
            timeout: Duration::from_secs(30),
            streamed: true,
            answer_tokens: 16,
            levels_tokens: vec![2_000, 2_000, 2_000],
            hot_prefixes: 4,
            shift_every: Duration::ZERO,
        }
    }
}

/// Result of a load, by customer.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Results by the customer's name.
    pub customers: BTreeMap<String, CustomerReport>,
}

/// Result of one customer's load.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct CustomerReport {
    /// Requests sent.
    pub requests: u64,
    /// Whole and right answers.
    pub ok: u64,
    /// Refusals by the number in their body, or by HTTP status where it has none.
    pub refusals: BTreeMap<u64, u64>,
    /// Streams that ended with an error event, by its number.
    pub broken: BTreeMap<u64, u64>,
    /// Answers that ended early without an error event, or never came.
    pub cut: u64,
    /// Answers out of order or with the wrong text.
    pub wrong: u64,
    /// Median time to the first token of right answers, in microseconds.
    pub first_token_p50_us: u64,
    /// 95th percentile of the same.
    pub first_token_p95_us: u64,
    /// 99th percentile of the same.
    pub first_token_p99_us: u64,
    /// Share of prompt tokens found in a cache, where answers say so.
    pub hit_rate: Option<f64>,
    /// Tokens of right answers by the second.
    pub tokens_per_second: f64,
}

//! Running count of one customer's results.

use std::time::Duration;

use hdrhistogram::Histogram;
use http::HeaderMap;

use super::CustomerReport;
use super::checker::Outcome;

/// Longest first-token time that the histogram tells apart, in microseconds.
const FIRST_TOKEN_MAX_US: u64 = 600_000_000;

/// Results of one customer so far.
pub(crate) struct Tally {
    report: CustomerReport,
    first_token_us: Histogram<u64>,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Tally {
    pub(crate) fn new() -> Self {
        let bounds = Histogram::new_with_max(FIRST_TOKEN_MAX_US, 3);
        Self {
            report: CustomerReport::default(),
            first_token_us: bounds.expect("bounds are constant and valid"),
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Notes how a request ended.
    pub(crate) fn end(&mut self, outcome: &Outcome) {
        let report = &mut self.report;
        report.requests += 1;
        match outcome {
            Outcome::Right => report.ok += 1,
            Outcome::Refused(code) => *report.refusals.entry(*code).or_default() += 1,
            Outcome::Broken(code) => *report.broken.entry(*code).or_default() += 1,
            Outcome::Cut => report.cut += 1,
            Outcome::Wrong => report.wrong += 1,
        }
    }

    /// Notes what a right answer tells.
    pub(crate) fn note(&mut self, first_token: Duration, prompt_tokens: u64, headers: &HeaderMap) {
        self.first_token_us
            .saturating_record(first_token.as_micros() as u64);
        let cached = headers.get("x-cached-tokens").and_then(|v| v.to_str().ok());
        if let Some(cached) = cached.and_then(|text| text.parse::<u64>().ok()) {
            self.prompt_tokens += prompt_tokens;
            self.cached_tokens += cached;
        }
    }

    /// Returns the report.
    pub(crate) fn close(&self, elapsed: Duration, answer_tokens: u64) -> CustomerReport {
        let tokens = self.report.ok * answer_tokens;
        let hit_rate = self.cached_tokens as f64 / self.prompt_tokens as f64;
        CustomerReport {
            first_token_p50_us: self.first_token_us.value_at_quantile(0.50),
            first_token_p95_us: self.first_token_us.value_at_quantile(0.95),
            first_token_p99_us: self.first_token_us.value_at_quantile(0.99),
            hit_rate: (self.prompt_tokens > 0).then_some(hit_rate),
            tokens_per_second: tokens as f64 / elapsed.as_secs_f64(),
            ..self.report.clone()
        }
    }
}

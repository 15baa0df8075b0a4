//! Figures of one run.

use std::time::Duration;

/// Figures of one run, or their mean over some.
#[derive(Debug, Clone, Default)]
pub(crate) struct Report {
    pub(crate) hit_percent: f64,
    pub(crate) wasted_tokens_per_s: f64,
    pub(crate) first_token_ms: [f64; 3],
    pub(crate) worst_to_median: f64,
    pub(crate) refused_inside: f64,
    pub(crate) refused_above: f64,
    pub(crate) busy_percent: f64,
}

impl Report {
    pub(crate) const HEAD: &'static str = "| choice | hit rate % | wasted tokens/s | first token \
        p50 ms | p95 ms | p99 ms | worst customer's p95 / median's | refused inside rate % | \
        refused above rate % | engines computing % |\n|---|---|---|---|---|---|---|---|---|---|";

    pub(crate) fn row(&self, name: &str) -> String {
        let [p50, p95, p99] = self.first_token_ms;
        format!(
            "| {name} | {:.1} | {:.0} | {p50:.1} | {p95:.1} | {p99:.1} | {:.2} | {:.2} | {:.1} | {:.0} |",
            self.hit_percent,
            self.wasted_tokens_per_s,
            self.worst_to_median,
            self.refused_inside,
            self.refused_above,
            self.busy_percent,
        )
    }

    pub(crate) fn mean(reports: &[Self]) -> Self {
        let mean = |field: &dyn Fn(&Self) -> f64| {
            reports.iter().map(field).sum::<f64>() / reports.len() as f64
        };
        Self {
            hit_percent: mean(&|r| r.hit_percent),
            wasted_tokens_per_s: mean(&|r| r.wasted_tokens_per_s),
            first_token_ms: [0, 1, 2].map(|index| mean(&|r| r.first_token_ms[index])),
            worst_to_median: mean(&|r| r.worst_to_median),
            refused_inside: mean(&|r| r.refused_inside),
            refused_above: mean(&|r| r.refused_above),
            busy_percent: mean(&|r| r.busy_percent),
        }
    }
}

/// Returns a quantile of some times, in milliseconds.
pub(crate) fn quantile_ms(times: &mut [Duration], share: f64) -> f64 {
    if times.is_empty() {
        return 0.0;
    }
    times.sort_unstable();
    let index = ((times.len() as f64 * share).ceil() as usize).clamp(1, times.len()) - 1;
    times[index].as_secs_f64() * 1e3
}

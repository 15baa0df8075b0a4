//! Long-term speed of one upstream, measured by its responses to this VM.

use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.05;
/// Number of samples that the common prompt speed of all engines counts for at first; a VM gets few
/// samples of each engine, so that the first ones have to count more than later ones.
const COMMON_SPEED_SAMPLES: f64 = 3.0;
/// Limits of an engine's prompt speed as multiples of the common speed. Engines of one fleet were
/// measured at 0.7 to 1.7 of the usual speed.
const SPEED_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.4..=2.5;
/// Limits of a sample of the service time; others come from clocks or paused processes.
const SERVICE_TIME_RANGE_S: std::ops::RangeInclusive<f64> = 0.000_1..=30.0;

/// Long-term speed of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UsualSpeed {
    service_time_s: Option<f64>,
    prefill_tokens_per_ms: Option<f64>,
    prefill_samples: u32,
}

impl UsualSpeed {
    /// Records the time of a response; `work_multiple` is the multiple of its usual work that it
    /// was expected to take, by the requests before it and the slowness of the upstream.
    pub fn record_response(&mut self, time: Duration, work_multiple: f64) {
        let sample = time.as_secs_f64() / work_multiple.max(0.1);
        let sample = sample.clamp(*SERVICE_TIME_RANGE_S.start(), *SERVICE_TIME_RANGE_S.end());
        let average = self.service_time_s.get_or_insert(sample);
        *average += SMOOTHING * (sample - *average);
    }

    /// Records a measured prompt speed; `slowness` is the multiple of the usual time that work took,
    /// and `common_tokens_per_ms` is the speed of all engines together.
    pub fn record_prefill(&mut self, tokens_per_ms: f64, slowness: f64, common_tokens_per_ms: f64) {
        let weight = 1.0 / (f64::from(self.prefill_samples) + 1.0 + COMMON_SPEED_SAMPLES);
        self.prefill_samples = self.prefill_samples.saturating_add(1);
        let sample = clamp_speed(tokens_per_ms * slowness, common_tokens_per_ms);
        let average = self
            .prefill_tokens_per_ms
            .get_or_insert(common_tokens_per_ms);
        *average += weight.max(SMOOTHING) * (sample - *average);
    }

    /// Returns the usual prompt speed, which is the common one as long as none has been measured.
    pub fn prefill_tokens_per_ms(&self, common_tokens_per_ms: f64) -> f64 {
        self.prefill_tokens_per_ms
            .map_or(common_tokens_per_ms, |speed| {
                clamp_speed(speed, common_tokens_per_ms)
            })
    }

    /// Returns the usual time of a request; `None` if none has been measured.
    pub fn service_time(&self) -> Option<Duration> {
        self.service_time_s.map(Duration::from_secs_f64)
    }
}

fn clamp_speed(tokens_per_ms: f64, common_tokens_per_ms: f64) -> f64 {
    let factors = SPEED_FACTOR_RANGE;
    tokens_per_ms.clamp(
        common_tokens_per_ms * factors.start(),
        common_tokens_per_ms * factors.end(),
    )
}

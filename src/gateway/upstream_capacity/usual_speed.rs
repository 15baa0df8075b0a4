//! Long-term speed of one upstream, measured by its responses to this VM.

use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.05;
/// Limits of a sample of the service time; others come from clocks or paused processes.
const SERVICE_TIME_RANGE_S: std::ops::RangeInclusive<f64> = 0.000_1..=30.0;

/// Long-term speed of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UsualSpeed {
    service_time_s: Option<f64>,
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

    /// Returns the usual time of a request; `None` if none has been measured.
    pub fn service_time(&self) -> Option<Duration> {
        self.service_time_s.map(Duration::from_secs_f64)
    }
}

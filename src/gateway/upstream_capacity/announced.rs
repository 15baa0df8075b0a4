//! Loads as upstreams announce them in their responses.

use std::ops::RangeInclusive;

/// Largest count of requests or slots that is plausible.
const COUNT_MAX: u32 = 100_000;
/// Slowness in percent that is plausible.
const SLOWNESS_RANGE_PERCENT: RangeInclusive<f64> = 1.0..=10_000.0;

/// Load that an upstream announces in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnnouncedServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Multiple of the usual time that work takes now; `None` if it does not announce it.
    pub slowness: Option<f64>,
}

impl AnnouncedServerLoad {
    /// Creates a load from the announced figures; returns `None` if one of them is implausible.
    pub fn new(
        running: u32,
        waiting: u32,
        slots: u32,
        slowness_percent: Option<f64>,
    ) -> Option<Self> {
        let is_plausible = running <= COUNT_MAX
            && waiting <= COUNT_MAX
            && (1..=COUNT_MAX).contains(&slots)
            && slowness_percent.is_none_or(|percent| SLOWNESS_RANGE_PERCENT.contains(&percent));
        is_plausible.then_some(Self {
            running,
            waiting,
            slots,
            slowness: slowness_percent.map(|percent| percent / 100.0),
        })
    }

    /// Returns the requests that run or wait.
    pub fn requests(&self) -> u32 {
        self.running + self.waiting
    }
}

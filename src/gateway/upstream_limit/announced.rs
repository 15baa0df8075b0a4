//! Limits as upstreams name them in their responses.

use serde::{Deserialize, Serialize};

/// Requests a second that are sent to an upstream with a lower limit.
const PROBES_PER_S: f64 = 0.25;

/// Rate of requests, in requests per 1,000 s so that it is exact in messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate {
    per_1000_s: u32,
}

impl RequestRate {
    /// Creates a rate from requests a second, rounded down; a larger one than can be represented is
    /// clamped. Returns `None` if the number is negative or not finite.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self {
            per_1000_s: (per_s * 1_000.0) as u32,
        })
    }

    /// Returns the rate in requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.per_1000_s) / 1_000.0
    }

    /// Returns the requests a second that are permitted: the rate, but enough for a response to
    /// tell when the limit ends.
    pub fn permitted_per_s(self) -> f64 {
        self.per_s().max(PROBES_PER_S)
    }
}

/// What a response says of the requests that its upstream takes from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnnouncedLimit {
    /// It names no limit.
    #[default]
    Absent,
    /// It names a limit that cannot be read.
    Unreadable,
    /// It names this limit.
    Rate(RequestRate),
}

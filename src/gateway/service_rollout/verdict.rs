//! Comparison of the target with the old version.

use super::counts::RouteHash;
use super::fleet::FleetCounts;

/// Error rates and smallest differences that [`judge`] has to find.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VerdictSettings {
    /// Probability that a good version is judged bad, at most.
    pub false_bad: f64,
    /// Probability that a bad version is judged good, at most.
    pub false_good: f64,
}

impl Default for VerdictSettings {
    fn default() -> Self {
        Self {
            false_bad: 0.001,
            false_good: 0.001,
        }
    }
}

/// What was found bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadReason {
    /// More failures than at the old version on a route, or over all routes if `None`.
    Failures(Option<RouteHash>),
    /// Slower responses than at the old version on a route, or over all routes if `None`.
    Slow(Option<RouteHash>),
    /// More refusals than at the old version.
    Refusals,
    /// Too little evidence of a good version at the end of the time allowed.
    TimeExceeded,
}

/// Result of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence does not suffice.
    Undecided,
    /// The target is as good as the old version.
    Good,
    /// The target is worse.
    Bad {
        /// What was found.
        reason: BadReason,
    },
}

/// Compares the target with the old version.
pub fn judge(_fleet: &FleetCounts, _settings: &VerdictSettings) -> Verdict {
    Verdict::Undecided
}

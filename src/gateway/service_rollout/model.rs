//! Orders, their states, and the bounds within which they are carried out.

use std::time::Duration;

use super::verdict::VerdictSettings;
use crate::gateway::model::{ServiceId, SoftwareVersion};

/// Order of the operator that a service's traffic moves to another software version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: ServiceId,
    /// Software version that it moves to.
    pub target: SoftwareVersion,
    /// Time from the order within which it has to be concluded.
    pub within: Duration,
}

/// State of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RolloutState {
    /// No conclusion yet.
    Running,
    /// The target serves all requests, and nothing is at the old version.
    Done,
    /// The target gets no requests.
    RolledBack,
}

/// State of an order as written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// State.
    pub state: RolloutState,
    /// Target of the order that the state belongs to.
    pub target: SoftwareVersion,
}

/// Bounds and times of a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutPlanSettings {
    /// Maximum share of the service's requests, from the order to its end, that a bad target gets.
    pub exposure_share: f64,
    /// Requests that a bad target may get besides.
    pub exposure_slack: u32,
    /// Time after its 50th bad response from which a bad target gets nothing new.
    pub rollback_time: Duration,
    /// Time without contact after which a VM sends the target nothing new.
    pub contact_timeout: Duration,
    /// Interval of the reports of one VM.
    pub report_interval: Duration,
    /// Interval of the grants to one VM.
    pub grant_interval: Duration,
    /// Error rates of the verdict.
    pub verdict: VerdictSettings,
}

impl Default for RolloutPlanSettings {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 50,
            rollback_time: Duration::from_millis(5_000),
            contact_timeout: Duration::from_millis(3_000),
            report_interval: Duration::from_millis(500),
            grant_interval: Duration::from_millis(500),
            verdict: VerdictSettings::default(),
        }
    }
}

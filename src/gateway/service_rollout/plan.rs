//! Steps of a rollout.

use std::time::Duration;

use super::fleet::FleetCounts;
use super::model::RolloutState;
use super::verdict::{BadReason, VerdictSettings};
use crate::clock::Instant;

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

/// What the holder grants and writes now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutStep {
    /// Share of the requests that the target may get, in thousandths.
    pub share_permille: u16,
    /// Whether the old upstreams get nothing new.
    pub is_handover: bool,
    /// Conclusion to write to the store, if there is one; it never changes.
    pub conclusion: Option<RolloutState>,
    /// What was found if the conclusion is [`RolloutState::RolledBack`].
    pub reason: Option<BadReason>,
}

/// Steps of one order, as decided by the holder of the lease.
#[derive(Debug)]
pub struct RolloutPlan {
    within: Duration,
    settings: RolloutPlanSettings,
    conclusion: Option<RolloutState>,
    reason: Option<BadReason>,
}

impl RolloutPlan {
    /// Creates the plan of an order. `conclusion` is the one that the store already has.
    pub fn new(
        within: Duration,
        conclusion: Option<RolloutState>,
        settings: RolloutPlanSettings,
    ) -> Self {
        Self {
            within,
            settings,
            conclusion: conclusion.filter(|state| *state != RolloutState::Running),
            reason: None,
        }
    }

    /// Returns the step to take now. `elapsed` is the time since the order, as in
    /// [`FleetCounts::elapsed`].
    pub fn next(&mut self, _fleet: &FleetCounts, elapsed: Duration, _now: Instant) -> RolloutStep {
        if self.conclusion.is_none() && elapsed + self.settings.rollback_time > self.within {
            self.conclusion = Some(RolloutState::RolledBack);
            self.reason = Some(BadReason::TimeExceeded);
        }
        let share_permille = match self.conclusion {
            Some(RolloutState::Done) => 1_000,
            _ => 0,
        };
        RolloutStep {
            share_permille,
            is_handover: share_permille == 1_000,
            conclusion: self.conclusion,
            reason: self.reason,
        }
    }
}

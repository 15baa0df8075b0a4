//! Orders, their states, and the bounds within which they are carried out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::verdict::VerdictSettings;
use crate::gateway::model::{ServiceId, SoftwareVersion};
use crate::ids::ObjectVersion;

/// Order of the operator that a service's traffic moves to another software version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
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
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
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
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RolloutStatus {
    /// State.
    pub state: RolloutState,
    /// Target of the order that the state belongs to.
    pub target: SoftwareVersion,
}

impl RolloutState {
    /// Returns the name used in the store, in logs and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::RolledBack => "rolled_back",
        }
    }

    /// Returns whether the order is concluded.
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// Order with its status, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RolloutEntry {
    /// Order of the operator.
    pub order: RolloutOrder,
    /// Status, or `None` before the first one was written.
    pub status: Option<RolloutStatus>,
    /// Position of the object's last change, which the next write of the status has to name.
    pub revision: ObjectVersion,
}

impl RolloutEntry {
    /// Returns the state of the order; a status of another target says nothing about it.
    pub fn state(&self) -> Option<RolloutState> {
        let status = self.status.as_ref()?;
        (status.target == self.order.target).then_some(status.state)
    }
}

/// How far a rollout is, by the VM that conducts it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RolloutProgress {
    /// Service of the order.
    pub service: ServiceId,
    /// Target of the order.
    pub target: SoftwareVersion,
    /// Share granted, in thousandths.
    pub share_permille: u16,
    /// Requests of all VMs for the service since the order.
    pub sent: u64,
    /// Those of them that were sent to the target.
    pub sent_to_target: u64,
    /// Time since the order.
    pub elapsed_ms: u64,
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

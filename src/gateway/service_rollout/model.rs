//! Orders and their states.

use std::time::Duration;

use serde::{Deserialize, Serialize};

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

//! Orders and their states.

use std::time::Duration;

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

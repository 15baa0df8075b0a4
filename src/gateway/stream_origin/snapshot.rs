//! What a VM tells one that has started of the origins of streams.
//!
//! Times are told as ages, as VMs share no clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::model::{ServiceId, SoftwareVersion};

/// What a VM has seen of the origins of streams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistorySnapshot {
    /// Time for which the VM has seen all.
    pub seen_for: Duration,
    /// Services with upstreams.
    pub services: Vec<ServiceSnapshot>,
    /// Paths that have led to other services lately.
    pub moves: Vec<MoveSnapshot>,
}

/// Software that a service's upstreams have had.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSnapshot {
    /// Name of the service.
    pub service: ServiceId,
    /// Software versions, with the time since each was last seen.
    pub seen: Vec<(Option<SoftwareVersion>, Duration)>,
    /// Software that was the only one before another one joined.
    pub only_until: Option<OnlySnapshot>,
}

/// Software that was the only one before another one joined.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OnlySnapshot {
    /// The software.
    pub software: SoftwareVersion,
    /// Time since it was last seen as the only one.
    pub alone_age: Duration,
    /// Time since another one was seen first.
    pub joined_age: Duration,
}

/// Change of the services to which paths lead.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MoveSnapshot {
    /// Host of the route.
    pub host: String,
    /// Path prefix of the route.
    pub path_prefix: String,
    /// Service to which it led before the first change, if it was the only one.
    pub only_service: Option<ServiceId>,
    /// Time since the first change.
    pub first_age: Duration,
    /// Time since the last change.
    pub last_age: Duration,
}

//! What a VM counts of an order, and its report to the holder of the lease.

use serde::{Deserialize, Serialize};

use super::response_times::ResponseTimes;
use crate::gateway::model::{ServiceId, SoftwareVersion};
use crate::gateway::name_hash::hash_name;
use crate::ids::{FencingNumber, Incarnation, VmId};

/// Hash of a route's name in reports.
pub type RouteHash = u32;

/// Returns the hash of a route's name.
pub fn route_hash(name: &str) -> RouteHash {
    hash_name(name)
}

/// Requests to one version on one route, cumulative except for `waiting`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionCounts {
    /// Requests sent.
    pub sent: u32,
    /// Requests that ended well.
    pub successes: u32,
    /// Requests that failed.
    pub failures: u32,
    /// Requests that the upstream refused without running them.
    pub refusals: u32,
    /// Times to the first byte of responses.
    pub times: ResponseTimes,
    /// Ages of the requests that wait for the first byte at the time of the report.
    pub waiting: ResponseTimes,
}

/// Requests to one upstream of the target on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Hash of the upstream's name.
    pub upstream: u8,
    /// Requests to it.
    pub counts: VersionCounts,
}

/// Requests on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteCounts {
    /// Hash of the route's name.
    pub route: RouteHash,
    /// Requests to the old version.
    pub old: VersionCounts,
    /// Requests to the target, by upstream.
    pub target: Vec<UpstreamCounts>,
}

/// Report of a VM on an order: totals since it saw the order. A later report replaces it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutReport {
    /// Service of the order.
    pub service: ServiceId,
    /// Target of the order.
    pub target: SoftwareVersion,
    /// Reporting VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time for which it has seen the order.
    pub seen_for_ms: u32,
    /// Time since the first request that it sent to the target; 0 if none.
    pub target_since_ms: u32,
    /// Requests sent for the service, to either version.
    pub sent: u32,
    /// Requests and streams in flight at old upstreams.
    pub old_in_flight: u32,
    /// Fencing number of the last grant accepted; 0 if none.
    pub grant_fencing: FencingNumber,
    /// Sequence number of the last grant accepted; 0 if none.
    pub grant_sequence: u32,
    /// Share of the last grant accepted, even if it is no longer fresh.
    pub granted_permille: u16,
    /// Share in force.
    pub share_permille: u16,
    /// Requests by route.
    pub routes: Vec<RouteCounts>,
}

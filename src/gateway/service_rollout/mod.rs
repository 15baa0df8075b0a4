//! Rollouts of a service's software version.
//!
//! An order in the store asks that the traffic of a service moves to upstreams of another software
//! version. Each VM counts what it sent to either version and how that ended, and reports the
//! totals to the holder of the lease on orders. The holder compares the versions and grants all VMs
//! the share of their requests that the target may get; a VM without a fresh grant sends it none.
//!
//! Load pattern: 6 to 300 VMs, 10 to 3,000 requests a second of one service over all of them, one
//! report per VM and interval, a few orders at a time. Everything here is pure: no I/O, the time is
//! passed in, except in `task`, `exchange` and `counted_run`. [`RolloutPlan`] and [`judge`] decide,
//! [`RequestLog`] and [`GrantBook`] are the state of a VM, [`FleetCounts`] is what the holder knows.

mod counted_run;
mod counts;
mod exchange;
mod exposure;
mod fleet;
mod grant;
mod held_rollout;
mod model;
mod orders;
mod plan;
mod request_log;
mod response_times;
mod scores;
mod slices;
mod supervise;
mod task;
mod verdict;
mod version_rule;

pub(super) use counted_run::{CountedRun, outcome_of_failure, outcome_of_status};
pub use counts::{
    RolloutReport, RouteCounts, RouteHash, UpstreamCounts, VersionCounts, route_hash,
};
pub use fleet::FleetCounts;
pub use grant::{GrantBook, RolloutGrant};
pub use model::{
    RolloutEntry, RolloutOrder, RolloutPlanSettings, RolloutProgress, RolloutState, RolloutStatus,
};
pub(super) use orders::RolloutOrders;
pub use plan::{RolloutPlan, RolloutStep};
pub use request_log::{RequestLog, RequestOutcome, SentRequest, SentTo};
pub use response_times::{RESPONSE_TIME_BUCKETS, ResponseTimes};
pub(super) use supervise::supervise;
pub use verdict::{BadReason, Verdict, VerdictSettings, judge};
pub(super) use version_rule::{VersionQuery, VersionRule};

/// Share of all requests, in thousandths.
const ALL_PERMILLE: u16 = 1_000;

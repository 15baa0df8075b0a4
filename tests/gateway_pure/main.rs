//! Tests of the gateway's decision types and functions, which do no I/O and get the current time
//! as an argument.

mod allowances;
mod brittle_upstreams;
mod budgets;
mod crashes;
mod fingerprints;
mod held_requests;
mod holdings;
mod memory;
mod mirrors;
mod named_weights;
mod outages;
mod paths_to_upstreams;
mod permits;
mod placing;
mod quarantines;
mod retention;
mod rolling_out;
mod routing;
mod shutdown;
mod stalls;
mod stream_origins;
mod streams;
mod strikes;
mod upstream_limits;
mod upstreams;
mod waiting;
mod watching;

use std::net::SocketAddr;
use std::time::Duration;

use celerylever::clock::Instant;
use celerylever::gateway::{
    Allowance, AllowanceSettings, Allowances, AnnouncedLimit, BrittleServices, CacheGroup,
    CacheRetention, CachedPrefix, Candidate, CostUnit, EngineView, EventSplitter, Heartbeat,
    HeartbeatScope, KeeperTerms, LimitChange, Listing, LoadedModel, ObjectChange, ObjectMirror,
    ObjectRecord, Peers, PeersSettings, PendingCall, PermitAccounts, PermitDecision, PermitRequest,
    Placement, PlacementSettings, PrefixCacheIndex, QueueSettings, QueuedRequest, RequestQueue,
    RequestRate, ResourceDemand, RetryBudgetBounds, RetryBudgets, RolloutAction, RolloutSchedule,
    RolloutSettings, Route, RouteKind, RoutingConfig, RoutingTable, RunTimes, RunTimesSettings,
    SendKeeper, SendLedgers, SendOutcome, SendRequest, ShutdownPlan, SilentStream, SplitError,
    SplitEvents, StallSettings, TargetWeights, UpstreamEntry, UpstreamInstance, UpstreamLimits,
    UpstreamRegistry, UpstreamRegistrySettings, UpstreamStage, VmGroup, WatchPurpose,
    WeightHistory, choose_candidate, earliest_change, is_store_likelier, isolated_set, watch_wait,
};
use celerylever::platform::{era_of, revision_of, store_position};
use proptest::prelude::*;
use rstest::rstest;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn entry(born_ms: u64, stage: UpstreamStage) -> UpstreamEntry {
    UpstreamEntry {
        service: "notes".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        availability_zone: "a".into(),
        slots: 4,
        software: Some("v1".into()),
        stage,
        models: vec![LoadedModel {
            model: "m".into(),
            weights: 1,
        }],
        born_ms,
    }
}

/// Returns the sorted ids of the upstreams that serve `notes` and are ready.
fn ready_ids(registry: &UpstreamRegistry) -> Vec<String> {
    let mut ids: Vec<_> = registry
        .ready("notes")
        .map(|engine| engine.instance.id.clone())
        .collect();
    ids.sort();
    ids
}

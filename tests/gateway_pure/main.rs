//! Decisions of the gateway, each on a passed-in time and without input or output.

mod allowances;
mod budgets;
mod holdings;
mod mirrors;
mod named_weights;
mod placing;
mod retention;
mod rolling_out;
mod routing;
mod shutdown;
mod streams;
mod upstreams;
mod waiting;

use std::net::SocketAddr;
use std::time::Duration;

use celerylever::gateway::{
    Allowance, AllowanceSettings, Allowances, BudgetBounds, Budgets, Candidate, CostUnit, Demand,
    EngineView, EventSplitter, Fleet, FleetSettings, Group, Holding, Holdings, Instance, Listing,
    LoadedModel, Mirror, NamedHistory, NamedWeights, ObjectChange, ObjectRecord, Place,
    PlacementSettings, Queue, QueueSettings, Retention, Rollout, RolloutSettings, Route, RouteKind,
    RoutingConfig, RoutingTable, ShutdownPlan, Step, UpstreamEntry, UpstreamStage, Waiting, choose,
    is_likelier_stored,
};
use proptest::prelude::*;
use rstest::rstest;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn entry(born_ms: u64, stage: UpstreamStage) -> UpstreamEntry {
    UpstreamEntry {
        service: "notes".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        availability_zone: "a".into(),
        slots: 4,
        stage,
        models: vec![LoadedModel {
            model: "m".into(),
            weights: 1,
        }],
        born_ms,
    }
}

fn ready_ids(fleet: &Fleet) -> Vec<String> {
    let mut ids: Vec<_> = fleet
        .ready("notes")
        .map(|engine| engine.instance.id.clone())
        .collect();
    ids.sort();
    ids
}

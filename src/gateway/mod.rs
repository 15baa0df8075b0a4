//! Gateway: serves routes of a host and path over upstreams that register in the platform's store.
//!
//! The gateway speaks of requests, upstreams and weights in the project's own terms. How the
//! platform spells them is behind [`Store`] and [`Dialect`].

mod admit;
mod allowance;
mod answer;
mod beat;
mod call;
mod charge;
mod daemon;
mod dispatch;
mod edge;
mod events;
mod fleet;
mod follow;
mod gate;
mod gossip;
mod holdings;
mod hub;
mod journal;
mod meters;
mod mirror;
mod model;
mod orders;
mod peers;
mod place;
mod placement;
mod plain;
mod pool;
mod prompt;
mod queueing;
mod relay;
mod retention;
mod roll_out;
mod rollout;
mod server;
mod settings;
mod shutdown;
mod status;
mod steward;
mod stream;
mod table;
mod throughput;
mod waiting;
mod weights;

pub use allowance::{AllowanceSettings, Allowances, Group, Shortage};
pub use beat::{Beat, EngineLoad, HeldLease, Revisions, Scope};
pub use daemon::{GatewayError, run_gateway};
pub use edge::{
    AnswerHead, Change, Changes, Dialect, Failure, Forwarded, Listing, Order, OrderReply, Platform,
    Record, RequestHead, Store, Tracked, UpstreamReport, WriteResult,
};
pub use events::{EventSplitter, SplitError};
pub use fleet::{Engine, Fleet, FleetSettings, Instance};
pub use gate::{BudgetBounds, Budgets};
pub use holdings::{Holder, Holding, Holdings};
pub use journal::Journal;
pub use mirror::Mirror;
pub use model::{
    Allowance, CacheStore, CostUnit, Customer, EngineProfile, LoadedModel, Member, NamedWeights,
    Route, RouteKind, RoutingConfig, Service, ServiceId, UpstreamEntry, UpstreamStage,
    WeightNumber,
};
pub use peers::{Peers, PeersSettings};
pub use placement::{
    Candidate, Demand, Place, PlacementSettings, choose, memory_tokens, time_at_engine,
};
pub use prompt::{Prompt, PromptPart};
pub use retention::{Retention, is_likelier_stored};
pub use rollout::{EngineView, Rollout, RolloutSettings, Step};
pub use settings::{Bounds, GatewaySettings, gateway_settings_page};
pub use shutdown::ShutdownPlan;
pub use status::FleetStatus;
pub use table::RoutingTable;
pub use waiting::{Queue, QueueSettings, Ticket, Waiting};
pub use weights::NamedHistory;

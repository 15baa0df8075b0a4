//! Gateway: serves routes of a host and path over upstreams that register in the platform's store.
//!
//! The gateway speaks of requests, upstreams and weights in the project's own terms. How the
//! platform spells them is behind [`Store`] and [`Dialect`].

mod admit;
mod allowance;
mod buffered;
mod charge;
mod daemon;
mod dispatch;
mod engine_client;
mod event_log;
mod event_splitter;
mod fleet;
mod gate;
mod gossip;
mod heartbeat;
mod holdings;
mod lease_task;
mod metrics;
mod mirror;
mod model;
mod peers;
mod place;
mod placement;
mod platform_api;
mod pool;
mod prompt;
mod queueing;
mod request;
mod response;
mod retention;
mod rollout;
mod rollout_task;
mod server;
mod settings;
mod shutdown;
mod state;
mod status;
mod store_relay;
mod store_watch;
mod stream;
mod table;
mod throughput;
mod waiting;
mod weights;

pub use allowance::{AllowanceSettings, Allowances, Group, Shortage};
pub use daemon::{GatewayError, run_gateway};
pub use event_log::EventLog;
pub use event_splitter::{EventSplitter, SplitError};
pub use fleet::{Engine, Fleet, FleetSettings, Instance};
pub use gate::{BudgetBounds, Budgets};
pub use heartbeat::{CompactLoad, Heartbeat, HeartbeatScope, HeldLease, StoreRevisions};
pub use holdings::{Holder, Holding, Holdings};
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
pub use platform_api::{
    ChangeBatch, Dialect, EngineReport, Listing, ObjectChange, ObjectRecord, Order, OrderReply,
    Platform, RequestHead, ResponseHead, Store, StoreCallFailure, TrackedKind, UpstreamHeaders,
    WriteResult,
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

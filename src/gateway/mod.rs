//! Gateway: serves routes of a host and path over upstreams that register in the platform's store.
//!
//! The gateway speaks of requests, upstreams and weights in the project's own terms. How the
//! platform spells them is behind [`Store`] and [`Dialect`].

mod admit;
mod allowance;
mod buffered;
mod cache_retention;
mod candidates;
mod charge;
mod daemon;
mod dispatch;
mod engine_client;
mod event_log;
mod event_splitter;
mod gossip;
mod heartbeat;
mod lease_task;
mod metrics;
mod model;
mod object_mirror;
mod peers;
mod placement;
mod platform_api;
mod pool;
mod prefix_cache_index;
mod prompt;
mod queued_placement;
mod request;
mod request_queue;
mod response;
mod retry_budgets;
mod rollout_schedule;
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
mod upstream_registry;
mod weight_history;

pub use allowance::{AllowanceExceeded, AllowanceSettings, Allowances, VmGroup};
pub use cache_retention::{CacheRetention, is_store_likelier};
pub use daemon::{GatewayError, run_gateway};
pub use event_log::EventLog;
pub use event_splitter::{EventSplitter, SplitError};
pub use heartbeat::{CompactLoad, Heartbeat, HeartbeatScope, HeldLease, StoreRevisions};
pub use model::{
    Allowance, CacheStore, CostUnit, Customer, EngineProfile, LoadedModel, Member, NamedWeights,
    Route, RouteKind, RoutingConfig, Service, ServiceId, UpstreamEntry, UpstreamStage,
    WeightNumber,
};
pub use object_mirror::ObjectMirror;
pub use peers::{Peers, PeersSettings};
pub use placement::{
    Candidate, Placement, PlacementSettings, ResourceDemand, choose_candidate,
    first_event_time_max, required_memory_tokens,
};
pub use platform_api::{
    ChangeBatch, Dialect, EngineReport, Listing, ObjectChange, ObjectRecord, Order, OrderReply,
    Platform, RequestHead, ResponseHead, Store, StoreCallFailure, TrackedKind, UpstreamHeaders,
    WriteResult,
};
pub use prefix_cache_index::{CachedPrefix, PrefixCacheIndex, PrefixHolder};
pub use prompt::{Prompt, PromptPart};
pub use request_queue::{QueueSettings, QueuedRequest, RequestQueue, Ticket};
pub use retry_budgets::{RetryBudgetBounds, RetryBudgets};
pub use rollout_schedule::{EngineView, RolloutAction, RolloutSchedule, RolloutSettings};
pub use settings::{Bounds, GatewaySettings, gateway_settings_page};
pub use shutdown::ShutdownPlan;
pub use status::FleetStatus;
pub use table::RoutingTable;
pub use upstream_registry::{
    Upstream, UpstreamInstance, UpstreamRegistry, UpstreamRegistrySettings,
};
pub use weight_history::WeightHistory;

//! Gateway: serves routes of a host and path over upstreams that register in the platform's store.
//!
//! The gateway speaks of requests, upstreams and weights in the project's own terms. How the
//! platform spells them is behind [`Store`] and [`Dialect`].

mod admit;
mod allowance;
mod answer;
mod beat;
mod cache_retention;
mod call;
mod candidates;
mod charge;
mod daemon;
mod dispatch;
mod edge;
mod events;
mod follow;
mod gossip;
mod hub;
mod journal;
mod meters;
mod model;
mod object_mirror;
mod orders;
mod peers;
mod placement;
mod plain;
mod pool;
mod prefix_cache_index;
mod prompt;
mod queued_placement;
mod relay;
mod request_queue;
mod retry_budgets;
mod roll_out;
mod rollout_schedule;
mod server;
mod settings;
mod shutdown;
mod status;
mod steward;
mod stream;
mod table;
mod throughput;
mod upstream_registry;
mod weight_history;

pub use allowance::{AllowanceExceeded, AllowanceSettings, Allowances, VmGroup};
pub use beat::{Beat, EngineLoad, HeldLease, Revisions, Scope};
pub use cache_retention::{CacheRetention, is_store_likelier};
pub use daemon::{GatewayError, run_gateway};
pub use edge::{
    AnswerHead, Change, Changes, Dialect, Failure, Forwarded, Listing, Order, OrderReply, Platform,
    Record, RequestHead, Store, Tracked, UpstreamReport, WriteResult,
};
pub use events::{EventSplitter, SplitError};
pub use journal::Journal;
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

//! Gateway: routes requests by host and path to upstreams that register in the platform's store.
//!
//! The gateway represents requests, upstreams and weights by platform-independent types. [`Store`]
//! and [`Dialect`] translate between these types and the names and formats of the platform.

mod account_groups;
mod admit;
mod allowance;
mod announcements;
mod attempt_failure;
mod attempt_progress;
mod bounded_io;
mod brittle_upstream;
mod buffered;
mod cache_group;
mod cache_retention;
mod caller_memory;
mod catch_up;
mod charge;
mod connection_headers;
mod coordinator_term;
mod crash_guard;
mod daemon;
mod datagram;
mod engine_client;
mod engine_reports;
mod engine_stream;
mod event_log;
mod event_splitter;
mod exchange;
mod fetch_sources;
mod forward_request;
mod gossip;
mod heartbeat;
mod lease_task;
mod leaving_news;
mod log_event;
mod membership;
mod metrics;
mod mirror_updates;
mod model;
mod name_hash;
mod object_mirror;
mod order_window;
mod peer_forward;
mod peer_view;
mod peers;
mod pending_call;
mod pending_replies;
mod placement;
mod platform_api;
mod pool;
mod prefix_cache_index;
mod process_hash;
mod process_outbox;
mod prompt;
mod queue;
mod received_heartbeat;
mod request;
mod request_log;
mod response;
mod retry_budgets;
mod rollout_schedule;
mod rollout_task;
mod rollout_view;
mod run_times;
mod server;
mod service_retries;
mod service_rollout;
mod settings;
mod shutdown;
mod stall;
mod state;
mod status;
mod stop_check;
mod store_era;
mod store_relay;
mod store_watch;
mod stream;
mod stream_binding;
mod stream_origin;
mod table;
mod takeover;
mod upstream_capacity;
mod upstream_limit;
mod upstream_registry;
mod vm_addresses;
mod watch_schedule;
mod weight_history;
mod withdrawal;
mod zone_roles;

pub use account_groups::AccountGroups;
pub use allowance::{AllowanceExceeded, AllowanceSettings, Allowances, VmGroup};
pub use brittle_upstream::{
    BrittleServices, KeeperTerms, KeeperView, PermitId, SendDecision, SendKeeper, SendLedgers,
    SendOutcome, SendRequest,
};
pub use cache_group::{CacheGroup, IsolatedSet, isolated_set};
pub use cache_retention::{CacheRetention, is_store_likelier};
pub use caller_memory::{PressureCounts, PressureLog};
pub use coordinator_term::CoordinatorTerm;
pub use crash_guard::{
    AnswerNews, BrokenConnection, Conclusion, CrashEvidence, CrashEvidenceSettings, CrashGuard,
    CrashNews, CrashThresholds, CrashWatch, Fingerprint, InterruptedRun, Quarantine,
    QuarantineChange, QuarantineRecord, QuarantineSettings, QuarantineSource, QuarantineVerdict,
    RequestContent, Strike, StrikeNews, Suspect, SuspectKind,
};
pub use daemon::{GatewayError, GatewayProcess};
pub use event_log::EventLog;
pub use event_splitter::{EventSplitter, SplitError, SplitEvents};
pub use heartbeat::{CompactLoad, Heartbeat, HeartbeatScope, HeldLease, StoreRevisions};
pub use model::{
    Allowance, CacheStore, CostUnit, Customer, EngineProfile, LoadedModel, Member, Route,
    RouteKind, RoutingConfig, Service, ServiceId, SoftwareVersion, TargetWeights, UpstreamEntry,
    UpstreamStage, WeightNumber,
};
pub use object_mirror::ObjectMirror;
pub use order_window::OrderWindow;
pub use peer_forward::{
    Helpers, HelpersSettings, KnownVm, PathChange, PathState, UpstreamPaths, UpstreamPathsSettings,
};
pub use peer_view::PeerView;
pub use peers::{Peers, PeersSettings};
pub use pending_call::PendingCall;
pub use placement::{
    Candidate, Placement, PlacementSettings, ResourceDemand, choose_candidate,
    first_event_time_max, required_memory_tokens,
};
pub use platform_api::{
    ChangeBatch, Dialect, EngineReport, Listing, ObjectChange, ObjectRecord, Order, OrderReply,
    Platform, RequestHead, ResponseHead, StatusWriteResult, Store, StoreCallFailure, TrackedKind,
    UpstreamHeaders, WriteResult,
};
pub use prefix_cache_index::{CachedPrefix, PrefixCacheIndex, PrefixHolder};
pub use process_hash::{ProcessHash, hash_process};
pub use prompt::{PartHash, Prompt, PromptPart, hash_part};
pub use queue::{
    Offered, QueueSettings, QueuedRequest, RequestCost, RequestQueue, Shed, ShedCause, Ticket,
};
pub use retry_budgets::{RetryBudgetBounds, RetryBudgets};
pub use rollout_schedule::{EngineView, RolloutAction, RolloutSchedule, RolloutSettings};
pub use run_times::{RunTimes, RunTimesSettings};
pub use service_rollout::{
    BadReason, FleetCounts, GrantBook, RESPONSE_TIME_BUCKETS, RequestLog, RequestOutcome,
    ResponseTimes, RolloutEntry, RolloutGrant, RolloutOrder, RolloutPlan, RolloutPlanSettings,
    RolloutProgress, RolloutReport, RolloutState, RolloutStatus, RolloutStep, RouteCounts,
    RouteHash, SentRequest, SentTo, UpstreamCounts, Verdict, VerdictSettings, VersionCounts, judge,
    route_hash,
};
pub use settings::{Bounds, GatewaySettings, gateway_settings_page};
pub use shutdown::ShutdownPlan;
pub use stall::{SilentStream, StallSettings};
pub use status::FleetStatus;
pub use stream_origin::{
    HistorySnapshot, KEEPERS, KeeperAnswer, LookupResult, MoveSnapshot, OnlySnapshot,
    OriginHistory, RouteTarget, STREAM_LIFETIME, ServiceSnapshot, StreamKey, StreamOrigin,
    StreamRecords, StreamRecordsSettings, conclude, rank_keepers, stream_key,
};
pub use table::RoutingTable;
pub use upstream_capacity::{
    AnnouncedServerLoad, LoadEstimate, LoadRecord, PlainCandidate, PlainChoice, UsualSpeed,
    choose_plain,
};
pub use upstream_limit::{
    AnnouncedLimit, LimitChange, LimitNews, PermitAccounts, PermitDecision, PermitRequest,
    RequestRate, UpstreamLimits,
};
pub use upstream_registry::{
    Upstream, UpstreamInstance, UpstreamLoad, UpstreamRegistry, UpstreamRegistrySettings,
};
pub use watch_schedule::{WatchPurpose, earliest_change, watch_wait};
pub use weight_history::WeightHistory;
pub use zone_roles::HeartbeatTargets;

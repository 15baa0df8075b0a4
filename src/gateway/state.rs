//! State shared by the tasks and requests of a gateway.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use super::allowance::{AllowanceSettings, Allowances};
use super::brittle_upstream::{BrittleServices, KeeperTerms, SendLedgers, SendReply};
use super::cache_retention::CacheRetention;
use super::caller_memory::{PressureCounts, PressureLog};
use super::charge::ChargeResponse;
use super::coordinator_term::CoordinatorTerm;
use super::crash_guard::{CrashGuard, QuarantineSource};
use super::event_log::{AbortStage, EventLog, LogEvent};
use super::heartbeat::{CompactLoad, HeldLease, StoreRevisions};
use super::metrics::GatewayMetrics;
use super::model::{CacheStore, EngineProfile, ServiceId};
use super::object_mirror::ObjectMirror;
use super::peer_forward::{Helpers, HelpersSettings, UpstreamPaths, UpstreamPathsSettings};
use super::peer_view::PeerView;
use super::peers::{Peers, PeersSettings};
use super::pending_replies::PendingReplies;
use super::placement::PlacementSettings;
use super::platform_api::{Platform, TrackedKind};
use super::pool::ConnectionPool;
use super::prefix_cache_index::PrefixCacheIndex;
use super::process_hash::{ProcessHash, hash_process};
use super::process_outbox::ProcessOutbox;
use super::queue::ServiceQueue;
use super::retry_budgets::{RetryBudgetBounds, RetryBudgets};
use super::run_times::RunTimes;
use super::service_rollout::RolloutOrders;
use super::settings::GatewaySettings;
use super::stream_origin::{KeeperAnswer, StreamOrigins};
use super::table::RoutingTable;
use super::upstream_limit::{PermitAccounts, PermitReply, UpstreamLimits};
use super::upstream_registry::{
    Upstream, UpstreamLoad, UpstreamRegistry, UpstreamRegistrySettings,
};
use super::weight_history::WeightHistory;
use crate::caller_memory::{CallerMemory, MemoryLimits};
use crate::clock::{Instant, SharedClock};
use crate::entry::{ConnectionLimits, Connections, Drain};
use crate::ids::{Incarnation, ModelId, StoreEra, UpstreamId};
use crate::settings::LimitSettings;
use crate::telemetry::Telemetry;

/// Time after which an unused connection of another VM or a reader of metrics is closed. Pools of other
/// VMs close theirs after some seconds.
const FLEET_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// State shared by all tasks of a gateway.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) platform: Platform,
    pub(super) clock: SharedClock,
    pub(super) event_log: EventLog,
    pub(super) telemetry: Telemetry,
    pub(super) metrics: GatewayMetrics,
    pub(super) drain: Drain,
    pub(super) connections: Connections,
    pub(super) pool: ConnectionPool,
    /// Connections of other VMs, readiness checks and readers of metrics.
    pub(super) fleet_connections: Connections,
    /// Memory held for callers.
    pub(super) memory: Arc<CallerMemory>,
    pub(super) incarnation: Incarnation,
    pub(super) next_request_number: AtomicU64,
    /// Triggers a heartbeat before the interval has passed.
    pub(super) heartbeat_due: Notify,
    /// Signals that other VMs are to be told of loads of upstreams.
    pub(super) load_news_due: Notify,
    /// Signals that a peer has seen newer revisions of the store than this VM.
    pub(super) catch_up_due: Notify,
    /// Signals that an object of the store has changed in this VM's mirrors.
    pub(super) mirror_changed: Notify,
    /// Signals that a heartbeat of the lease's holder was received.
    pub(super) lease_received: Notify,
    /// Signals that the state of a held part has changed.
    pub(super) quarantine_changed: Notify,
    /// Signals that the store was restored from a copy.
    pub(super) store_restored: Notify,
    /// Signals that the operator set new target weights.
    pub(super) target_weights_changed: watch::Sender<()>,
    pub(super) pending_charges: PendingReplies<ChargeResponse>,
    pub(super) pending_trials: PendingReplies<bool>,
    pub(super) pending_permits: PendingReplies<PermitReply>,
    pub(super) pending_sends: PendingReplies<SendReply>,
    pub(super) pending_origin_records: PendingReplies<bool>,
    pub(super) pending_origin_lookups: PendingReplies<KeeperAnswer>,
    /// Requests of other VMs in flight at this one.
    pub(super) helped_requests: AtomicUsize,
    /// Socket for datagrams between VMs; set at start-up.
    pub(super) peer_socket: OnceLock<Arc<UdpSocket>>,
    /// Time at which the process was requested to stop.
    pub(super) stop_requested_at: OnceLock<Instant>,
    table: ArcSwapOption<RoutingTable>,
    state: Mutex<GatewayState>,
}

/// Mutable state of a gateway, protected by one lock.
#[derive(Debug)]
pub(super) struct GatewayState {
    pub(super) upstreams: UpstreamRegistry,
    /// Upstreams that have announced their leaving, to be told to other VMs.
    pub(super) leaving_outbox: ProcessOutbox,
    /// Services of which an upstream has announced how long work takes.
    pub(super) load_aware_services: HashSet<ServiceId>,
    /// Plain upstreams of whose loads other VMs are to be told.
    pub(super) load_outbox: ProcessOutbox,
    pub(super) upstream_limits: UpstreamLimits,
    pub(super) brittle_services: BrittleServices,
    pub(super) send_ledgers: SendLedgers,
    pub(super) keeper_terms: KeeperTerms,
    pub(super) permit_accounts: PermitAccounts,
    pub(super) peers: Peers,
    pub(super) allowances: Allowances,
    pub(super) retry_budgets: RetryBudgets,
    pub(super) weight_histories: HashMap<ModelId, WeightHistory>,
    pub(super) prefix_cache_index: PrefixCacheIndex,
    pub(super) engine_profiles: HashMap<ServiceId, EngineProfile>,
    pub(super) cache_store: Option<CacheStore>,
    pub(super) cache_retention: CacheRetention,
    pub(super) mirrors: HashMap<TrackedKind, ObjectMirror>,
    /// Time at which the store last confirmed this VM's mirror of each kind, directly or through a
    /// relay.
    pub(super) confirmed_at: HashMap<TrackedKind, Instant>,
    /// Kinds that this VM watches at the store itself, with the last call successful.
    pub(super) directly_watched: HashSet<TrackedKind>,
    /// Highest era of the store known from its responses or from peers.
    pub(super) store_era: StoreEra,
    pub(super) lease: Option<HeldLease>,
    pub(super) engines_in_rollout: Vec<UpstreamId>,
    pub(super) queues: HashMap<ServiceId, ServiceQueue>,
    pub(super) last_queue_pass_at: Instant,
    pub(super) peer_view: PeerView,
    /// Whether this VM has read the list of VMs since its start.
    pub(super) is_member_list_read: bool,
    /// Sequence number of the last heartbeat of this VM.
    pub(super) last_heartbeat: u64,
    /// Load in the last heartbeat of this VM.
    pub(super) reported_loads: Vec<CompactLoad>,
    pub(super) placement_settings: PlacementSettings,
    pub(super) crash_guard: CrashGuard,
    pub(super) coordinator_term: CoordinatorTerm,
    pub(super) stream_origins: StreamOrigins,
    /// Runs of requests that may not be repeated.
    pub(super) run_times: RunTimes,
    pub(super) rollouts: RolloutOrders,
    pub(super) upstream_paths: UpstreamPaths,
    pub(super) helpers: Helpers,
    /// What did not fit into the memory for callers and is in the counters.
    pub(super) counted_pressure: PressureCounts,
    pub(super) pressure_log: PressureLog,
}

impl Gateway {
    pub(super) fn new(
        settings: GatewaySettings,
        platform: Platform,
        clock: SharedClock,
        event_log: EventLog,
        telemetry: Telemetry,
        incarnation: Incarnation,
    ) -> Self {
        let drain = Drain::default();
        let memory_limits = MemoryLimits::new(settings.memory_mb, settings.max_fds);
        let defaults = LimitSettings::default();
        let caller_limits = ConnectionLimits {
            idle_timeout: defaults.connection_idle_timeout,
            connections_max: memory_limits
                .caller_connections_max
                .min(defaults.connections_max),
            descriptors_max: memory_limits.caller_descriptors_max,
            heads_max_bytes: memory_limits.heads_bytes,
            may_close_idle: true,
        };
        let fleet_limits = ConnectionLimits {
            idle_timeout: FLEET_IDLE_TIMEOUT,
            connections_max: memory_limits.fleet_connections_max,
            ..caller_limits.clone()
        };
        let bounds = &settings.bounds;
        let mut peers = Peers::new(
            PeersSettings {
                own_cpu_percent: settings.cpu_percent(),
                ..PeersSettings::default()
            },
            settings.vm.clone(),
            settings.availability_zone.clone(),
        );
        peers.record_start(clock.now());
        let mut allowances = Allowances::new(AllowanceSettings {
            overage: bounds.allowance_overage,
            slack_units: bounds.allowance_slack,
            window: bounds.allowance_window,
        });
        allowances.record_start(clock.now());
        let state = GatewayState {
            upstreams: UpstreamRegistry::new(UpstreamRegistrySettings::default()),
            leaving_outbox: ProcessOutbox::default(),
            load_aware_services: HashSet::new(),
            load_outbox: ProcessOutbox::default(),
            upstream_limits: UpstreamLimits::default(),
            brittle_services: BrittleServices::default(),
            // Reports to an earlier process of this VM name other permits.
            send_ledgers: SendLedgers::new(rand::random()),
            keeper_terms: KeeperTerms::new(clock.now()),
            permit_accounts: PermitAccounts::default(),
            peers,
            allowances,
            retry_budgets: RetryBudgets::new(RetryBudgetBounds {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
            }),
            weight_histories: HashMap::new(),
            prefix_cache_index: PrefixCacheIndex::default(),
            engine_profiles: HashMap::new(),
            cache_store: None,
            cache_retention: CacheRetention::new(),
            mirrors: HashMap::new(),
            confirmed_at: HashMap::new(),
            directly_watched: HashSet::new(),
            store_era: 0,
            lease: None,
            engines_in_rollout: Vec::new(),
            queues: HashMap::new(),
            last_queue_pass_at: Instant::ZERO,
            peer_view: PeerView::default(),
            is_member_list_read: false,
            last_heartbeat: 0,
            reported_loads: Vec::new(),
            placement_settings: PlacementSettings::default(),
            crash_guard: CrashGuard::default(),
            coordinator_term: CoordinatorTerm::default(),
            stream_origins: StreamOrigins::new(clock.now()),
            run_times: RunTimes::default(),
            rollouts: RolloutOrders::new(bounds.exposure_share.is_some(), bounds.contact_timeout),
            upstream_paths: UpstreamPaths::new(UpstreamPathsSettings::default()),
            helpers: Helpers::new(HelpersSettings::default()),
            counted_pressure: PressureCounts::default(),
            pressure_log: PressureLog::default(),
        };
        Self {
            connections: Connections::new(caller_limits, clock.clone(), drain.clone()),
            metrics: GatewayMetrics::new(&telemetry.meter()),
            pool: ConnectionPool::new(clock.clone()),
            // They do not delay a shutdown.
            fleet_connections: Connections::new(fleet_limits, clock.clone(), Drain::default()),
            memory: CallerMemory::new(&memory_limits, clock.clone()),
            heartbeat_due: Notify::new(),
            load_news_due: Notify::new(),
            next_request_number: AtomicU64::new(0),
            catch_up_due: Notify::new(),
            mirror_changed: Notify::new(),
            lease_received: Notify::new(),
            target_weights_changed: watch::Sender::new(()),
            quarantine_changed: Notify::new(),
            store_restored: Notify::new(),
            pending_charges: PendingReplies::default(),
            pending_trials: PendingReplies::default(),
            pending_permits: PendingReplies::default(),
            pending_sends: PendingReplies::default(),
            pending_origin_records: PendingReplies::default(),
            pending_origin_lookups: PendingReplies::default(),
            helped_requests: AtomicUsize::new(0),
            peer_socket: OnceLock::new(),
            stop_requested_at: OnceLock::new(),
            table: ArcSwapOption::empty(),
            state: Mutex::new(state),
            settings,
            platform,
            clock,
            event_log,
            telemetry,
            drain,
            incarnation,
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time since the process was requested to stop, or `None` before that.
    pub(super) fn time_since_stop(&self) -> Option<Duration> {
        let at = self.stop_requested_at.get()?;
        Some(self.now().saturating_sub(*at))
    }

    /// Returns the time since the process was requested to stop in milliseconds, for log lines.
    pub(super) fn stopping_ms(&self) -> Option<u64> {
        self.time_since_stop().map(|time| time.as_millis() as u64)
    }

    /// Counts and logs a request that the shutdown ends before its response is complete.
    pub(super) fn record_abort(&self, id: &str, stage: AbortStage) {
        self.metrics.count_abort(stage);
        let stopping_ms = self.stopping_ms();
        self.event_log
            .log_request(id, &LogEvent::Aborted { stage, stopping_ms });
    }

    /// Returns the active configuration, or `None` before the first one was received.
    pub(super) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    /// Activates a configuration if its version is higher than that of the active one.
    pub(super) fn set_table(&self, table: RoutingTable) {
        let current = self.table().map_or(0, |table| table.version);
        if table.version > current {
            let version = table.version;
            if let Some(current) = self.table() {
                self.record_moved_routes(&current, &table);
            }
            let mut state = self.state();
            state.engine_profiles = table.engine_profiles();
            state.cache_store = table.cache_store();
            drop(state);
            self.table.store(Some(Arc::new(table)));
            self.metrics.record_config_version(version);
            self.event_log.log(&LogEvent::ConfigInForce {
                version,
                earlier: current,
            });
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the latest revisions of the store that this VM has seen.
    pub(super) fn revisions(&self) -> StoreRevisions {
        let config = self.table().map_or(0, |table| table.version);
        let state = self.state();
        let changed = |tracked| {
            state
                .mirrors
                .get(&tracked)
                .map_or(0, ObjectMirror::last_change_revision)
        };
        StoreRevisions {
            config,
            upstreams: changed(TrackedKind::Upstreams),
            weights: changed(TrackedKind::Weights),
        }
    }

    /// Removes expired entries, recomputes the load of peers and places queued requests.
    pub(super) fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.state();
        state.peers.sweep(now);
        state.upstreams.sweep(now);
        state.sweep_limits(now);
        state.refresh_peer_view(now);
        state.sweep_stream_origins(now);
        state.run_times.sweep(now);
        state.sweep_rollouts(now);
        state.helpers.sweep(now);
        state.prefix_cache_index.sweep(now);
        let is_coordinator = state.peers.is_complete(now) && state.peers.coordinator(now).is_none();
        state.coordinator_term.record_check(is_coordinator, now);
        let changes = state.crash_guard.tick(now);
        drop(state);
        self.record_quarantine_changes(&changes, QuarantineSource::Own);
        self.place_queued();
        self.report_caller_memory();
    }
}

impl GatewayState {
    /// Returns the number of VMs in the fleet, this one included.
    pub(super) fn fleet_size(&self) -> usize {
        self.peers.fleet_size()
    }

    /// Returns whether this VM watches the store itself and receives responses.
    pub(super) fn watches_store(&self) -> bool {
        TrackedKind::ALWAYS
            .iter()
            .all(|tracked| self.directly_watched.contains(tracked))
    }

    /// Returns the load that all VMs have sent to an engine.
    pub(super) fn total_load(&self, upstream: &Upstream) -> UpstreamLoad {
        upstream
            .own_load
            .plus(self.peer_view.load(upstream.name_hash))
    }

    /// Drops the limits of upstreams that are gone.
    fn sweep_limits(&mut self, now: Instant) {
        self.permit_accounts.sweep(now);
        self.send_ledgers.sweep(now);
        let view = self.peers.keeper_view(now);
        self.keeper_terms.observe(view, now);
        if self.upstream_limits.is_empty() {
            return;
        }
        let upstreams = self.upstreams.iter();
        let listed: HashSet<ProcessHash> = upstreams
            .map(|upstream| hash_process(&upstream.instance))
            .collect();
        self.upstream_limits
            .retain(|process| listed.contains(&process));
    }

    fn sweep_stream_origins(&mut self, now: Instant) {
        self.stream_origins.sweep(self.upstreams.iter(), now);
    }

    /// Updates the sums over the peers' heartbeats if they are too old.
    pub(super) fn refresh_peer_view(&mut self, now: Instant) {
        self.peer_view
            .refresh(&self.peers, &self.reported_loads, now);
    }
}

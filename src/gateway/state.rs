//! State that the tasks and requests of a gateway share.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::allowance::{AllowanceSettings, Allowances};
use super::cache_retention::CacheRetention;
use super::charge::PendingCharges;
use super::event_log::{EventLog, LogEvent};
use super::heartbeat::{HeldLease, NameHash, StoreRevisions, hash_name};
use super::metrics::GatewayMetrics;
use super::model::{CacheStore, EngineProfile, ServiceId, WeightNumber};
use super::object_mirror::ObjectMirror;
use super::peers::{Peers, PeersSettings};
use super::placement::PlacementSettings;
use super::platform_api::{Platform, TrackedKind};
use super::pool::ConnectionPool;
use super::prefix_cache_index::PrefixCacheIndex;
use super::prompt::Prompt;
use super::queued_placement::ServiceQueue;
use super::retry_budgets::{RetryBudgetBounds, RetryBudgets};
use super::settings::GatewaySettings;
use super::shutdown::ShutdownPlan;
use super::table::RoutingTable;
use super::upstream_registry::{
    Upstream, UpstreamLoad, UpstreamRegistry, UpstreamRegistrySettings,
};
use super::weight_history::WeightHistory;
use crate::clock::{Instant, SharedClock};
use crate::entry::{Connections, Drain};
use crate::ids::{Incarnation, ModelId, UpstreamId};
use crate::settings::LimitSettings;
use crate::telemetry::Telemetry;

/// State that all tasks of a gateway share.
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
    pub(super) incarnation: Incarnation,
    pub(super) next_request: AtomicU64,
    /// Asks for a beat before the next one is due.
    pub(super) heartbeat_due: Notify,
    /// Tells that a peer has seen more than this VM.
    pub(super) catch_up_due: Notify,
    /// Tells that something of the store was seen.
    pub(super) mirror_changed: Notify,
    /// Tells that the holder of the lease was heard.
    pub(super) lease_received: Notify,
    /// Tells that the operator named weights.
    pub(super) weights_named: Notify,
    pub(super) pending_charges: PendingCharges,
    /// Socket for datagrams between VMs, once it is bound.
    pub(super) peer_socket: OnceLock<Arc<UdpSocket>>,
    /// When the process was told to stop.
    pub(super) stop_requested_at: OnceLock<Instant>,
    table: ArcSwapOption<RoutingTable>,
    state: Mutex<GatewayState>,
}

/// State behind the lock.
#[derive(Debug)]
pub(super) struct GatewayState {
    pub(super) fleet: UpstreamRegistry,
    pub(super) peers: Peers,
    pub(super) allowances: Allowances,
    pub(super) retry_budgets: RetryBudgets,
    pub(super) named_weights: HashMap<ModelId, WeightHistory>,
    pub(super) holdings: PrefixCacheIndex,
    pub(super) engine_profiles: HashMap<ServiceId, EngineProfile>,
    pub(super) cache_store: Option<CacheStore>,
    pub(super) retention: CacheRetention,
    pub(super) mirrors: HashMap<TrackedKind, ObjectMirror>,
    /// Kinds that the store itself told this VM last.
    pub(super) following: HashSet<TrackedKind>,
    pub(super) lease: Option<HeldLease>,
    pub(super) engines_in_rollout: Vec<UpstreamId>,
    pub(super) queues: HashMap<ServiceId, ServiceQueue>,
    peer_work: HashMap<NameHash, UpstreamLoad>,
    pub(super) placement: PlacementSettings,
}

/// Request that needs an upstream.
#[derive(Debug, Clone)]
pub(super) struct PlacementRequest {
    pub(super) service: ServiceId,
    pub(super) prompt: Option<Arc<Prompt>>,
    /// Customer whose cached prompts are kept apart.
    pub(super) isolated_customer: Option<String>,
    /// Time to the first event that it aims at.
    pub(super) objective: Duration,
    /// Objective that bounds the work before it: its own or that of a more urgent route.
    pub(super) wait_objective: Duration,
    /// Upstreams that it was sent to before.
    pub(super) tried_upstreams: Vec<UpstreamId>,
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
        let limits = LimitSettings::default();
        let bounds = &settings.bounds;
        let state = GatewayState {
            fleet: UpstreamRegistry::new(UpstreamRegistrySettings::default()),
            peers: Peers::new(
                PeersSettings::default(),
                settings.vm.clone(),
                settings.availability_zone.clone(),
            ),
            allowances: Allowances::new(AllowanceSettings {
                overage: bounds.allowance_overage,
                slack_units: bounds.allowance_slack,
            }),
            retry_budgets: RetryBudgets::new(RetryBudgetBounds {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
            }),
            named_weights: HashMap::new(),
            holdings: PrefixCacheIndex::default(),
            engine_profiles: HashMap::new(),
            cache_store: None,
            retention: CacheRetention::new(),
            mirrors: HashMap::new(),
            following: HashSet::new(),
            lease: None,
            engines_in_rollout: Vec::new(),
            queues: HashMap::new(),
            peer_work: HashMap::new(),
            placement: PlacementSettings::default(),
        };
        Self {
            connections: Connections::new(&limits, clock.clone(), drain.clone()),
            metrics: GatewayMetrics::new(&telemetry.meter()),
            pool: ConnectionPool::new(clock.clone()),
            heartbeat_due: Notify::new(),
            next_request: AtomicU64::new(0),
            catch_up_due: Notify::new(),
            mirror_changed: Notify::new(),
            lease_received: Notify::new(),
            weights_named: Notify::new(),
            pending_charges: PendingCharges::default(),
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

    /// Returns how long ago the process was told to stop.
    pub(super) fn time_since_stop(&self) -> Option<Duration> {
        let at = self.stop_requested_at.get()?;
        Some(self.now().saturating_sub(*at))
    }

    /// Returns whether new requests are sent elsewhere.
    pub(super) fn refuses_new_requests(&self) -> bool {
        let plan = ShutdownPlan::within(self.settings.bounds.shutdown_timeout);
        self.time_since_stop()
            .is_some_and(|time| time >= plan.refuse_after)
    }

    /// Returns the configuration in force; nothing before the first.
    pub(super) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    /// Puts a configuration in force, unless one as new is.
    pub(super) fn set_table(&self, table: RoutingTable) {
        let current = self.table().map_or(0, |table| table.version);
        if table.version > current {
            let version = table.version;
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

    /// Returns what this VM has seen of the store.
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

    /// Notes a request for a service, which earns its share of a repeated send.
    pub(super) fn count_request(&self, service: &str) {
        let now = self.now();
        let mut state = self.state();
        let fleet_size = state.fleet_size();
        state.retry_budgets.record_request(service, fleet_size, now);
    }

    /// Takes one repeated send out of a service's budget.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.state();
        let fleet_size = state.fleet_size();
        state.retry_budgets.try_take(service, fleet_size, now)
    }

    /// Takes a beat of a peer in; returns whether the peer has seen more than this VM.
    pub(super) fn apply_heartbeat(&self, heartbeat: super::heartbeat::Heartbeat) -> bool {
        let mine = self.revisions();
        let now = self.now();
        let revisions = heartbeat.revisions;
        let mut state = self.state();
        if state.peers.is_zone_representative(now) && state.peers.is_urgent(&heartbeat) {
            self.heartbeat_due.notify_one();
        }
        state.learn_weights(&heartbeat.unlisted_weights);
        let is_own_zone = heartbeat.availability_zone == self.settings.availability_zone;
        for holding in &heartbeat.new_cached_prefixes {
            state.holdings.record_from_peer(*holding, is_own_zone, now);
        }
        if !state.peers.record_heartbeat(heartbeat, now) {
            return false;
        }
        state.refresh_peer_work(now);
        let seen = |tracked| {
            state
                .mirrors
                .get(&tracked)
                .map_or(0, ObjectMirror::revision)
        };
        revisions.config > mine.config
            || revisions.upstreams > seen(TrackedKind::Upstreams)
            || revisions.weights > seen(TrackedKind::Weights)
    }

    /// Brings what depends on time up to date.
    pub(super) fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.state();
        state.peers.sweep(now);
        state.fleet.sweep(now);
        state.refresh_peer_work(now);
        state.holdings.sweep(now);
        drop(state);
        self.place_queued();
    }
}

impl GatewayState {
    /// Returns how many VMs the fleet counts.
    pub(super) fn fleet_size(&self) -> usize {
        self.peers.fleet_size()
    }

    /// Returns whether this VM follows the store itself and is answered.
    pub(super) fn follows_store(&self) -> bool {
        TrackedKind::ALL
            .iter()
            .all(|tracked| self.following.contains(tracked))
    }

    /// Returns all work at an engine.
    pub(super) fn work_at(&self, engine: &Upstream) -> UpstreamLoad {
        let peers = self.peer_work.get(&hash_name(&engine.instance.id));
        engine.own_load.plus(peers.copied().unwrap_or_default())
    }

    /// Returns the weights of engines that the store does not list yet.
    pub(super) fn unlisted_weights(&self) -> Vec<(NameHash, WeightNumber)> {
        let engines = self.fleet.iter();
        let newer = engines.flat_map(|engine| {
            let listed = engine.entry.models.iter();
            let newer = listed.filter_map(|loaded| {
                let has = engine.weights(&loaded.model)?;
                (has > loaded.weights).then_some((hash_name(&engine.instance.id), has))
            });
            newer.take(1)
        });
        newer.collect()
    }

    /// Learns from peers of weights that the store does not list yet.
    fn learn_weights(&mut self, words: &[(NameHash, WeightNumber)]) {
        for (name, weights) in words {
            let ids: Vec<UpstreamId> = self
                .fleet
                .iter()
                .filter(|engine| hash_name(&engine.instance.id) == *name)
                .map(|engine| engine.instance.id.clone())
                .collect();
            for engine in ids {
                if let Some(engine) = self.fleet.get_mut(&engine) {
                    engine.record_single_model_weights(*weights);
                }
            }
        }
    }

    fn refresh_peer_work(&mut self, now: Instant) {
        self.peer_work.clear();
        for peer in self.peers.fresh_peers(now) {
            for load in &peer.heartbeat.loads {
                let sum = self.peer_work.entry(load.engine).or_default();
                *sum = sum.plus(load.work());
            }
        }
    }
}

//! State that the tasks and requests of a gateway share.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::allowance::{AllowanceSettings, Allowances};
use super::beat::{HeldLease, Revisions, ShortName, short_name};
use super::cache_retention::CacheRetention;
use super::charge::PendingCharges;
use super::edge::{Platform, Tracked};
use super::journal::{Event, Journal};
use super::meters::Meters;
use super::model::{CacheStore, EngineProfile, ServiceId, WeightNumber};
use super::object_mirror::ObjectMirror;
use super::peers::{Peers, PeersSettings};
use super::placement::PlacementSettings;
use super::pool::Pool;
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
pub(super) struct Hub {
    pub(super) settings: GatewaySettings,
    pub(super) platform: Platform,
    pub(super) clock: SharedClock,
    pub(super) journal: Journal,
    pub(super) telemetry: Telemetry,
    pub(super) meters: Meters,
    pub(super) drain: Drain,
    pub(super) connections: Connections,
    pub(super) pool: Pool,
    pub(super) incarnation: Incarnation,
    pub(super) next_request: AtomicU64,
    /// Asks for a beat before the next one is due.
    pub(super) beat_due: Notify,
    /// Tells that a peer has seen more than this VM.
    pub(super) peers_ahead: Notify,
    /// Tells that something of the store was seen.
    pub(super) seen: Notify,
    /// Tells that the holder of the lease was heard.
    pub(super) lease_heard: Notify,
    /// Tells that the operator named weights.
    pub(super) weights_named: Notify,
    pub(super) charges: PendingCharges,
    /// Socket for datagrams between VMs, once it is bound.
    pub(super) peer_socket: OnceLock<Arc<UdpSocket>>,
    /// When the process was told to stop.
    pub(super) stopping_at: OnceLock<Instant>,
    table: ArcSwapOption<RoutingTable>,
    core: Mutex<Core>,
}

/// State behind the lock.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) fleet: UpstreamRegistry,
    pub(super) peers: Peers,
    pub(super) allowances: Allowances,
    pub(super) budgets: RetryBudgets,
    pub(super) named: HashMap<ModelId, WeightHistory>,
    pub(super) holdings: PrefixCacheIndex,
    pub(super) profiles: HashMap<ServiceId, EngineProfile>,
    pub(super) cache_store: Option<CacheStore>,
    pub(super) retention: CacheRetention,
    pub(super) mirrors: HashMap<Tracked, ObjectMirror>,
    /// Kinds that the store itself told this VM last.
    pub(super) following: HashSet<Tracked>,
    pub(super) lease: Option<HeldLease>,
    pub(super) rolling: Vec<UpstreamId>,
    pub(super) queues: HashMap<ServiceId, ServiceQueue>,
    peer_work: HashMap<ShortName, UpstreamLoad>,
    pub(super) placement: PlacementSettings,
}

/// Request that needs an upstream.
#[derive(Debug, Clone)]
pub(super) struct Ask {
    pub(super) service: ServiceId,
    pub(super) prompt: Option<Arc<Prompt>>,
    /// Customer whose cached prompts are kept apart.
    pub(super) isolated_customer: Option<String>,
    /// Time to the first event that it aims at.
    pub(super) objective: Duration,
    /// Objective that bounds the work before it: its own or that of a more urgent route.
    pub(super) wait_objective: Duration,
    /// Upstreams that it was sent to before.
    pub(super) tried: Vec<UpstreamId>,
}

impl Hub {
    pub(super) fn new(
        settings: GatewaySettings,
        platform: Platform,
        clock: SharedClock,
        journal: Journal,
        telemetry: Telemetry,
        incarnation: Incarnation,
    ) -> Self {
        let drain = Drain::default();
        let limits = LimitSettings::default();
        let bounds = &settings.bounds;
        let core = Core {
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
            budgets: RetryBudgets::new(RetryBudgetBounds {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
            }),
            named: HashMap::new(),
            holdings: PrefixCacheIndex::default(),
            profiles: HashMap::new(),
            cache_store: None,
            retention: CacheRetention::new(),
            mirrors: HashMap::new(),
            following: HashSet::new(),
            lease: None,
            rolling: Vec::new(),
            queues: HashMap::new(),
            peer_work: HashMap::new(),
            placement: PlacementSettings::default(),
        };
        Self {
            connections: Connections::new(&limits, clock.clone(), drain.clone()),
            meters: Meters::new(&telemetry.meter()),
            pool: Pool::new(clock.clone()),
            beat_due: Notify::new(),
            next_request: AtomicU64::new(0),
            peers_ahead: Notify::new(),
            seen: Notify::new(),
            lease_heard: Notify::new(),
            weights_named: Notify::new(),
            charges: PendingCharges::default(),
            peer_socket: OnceLock::new(),
            stopping_at: OnceLock::new(),
            table: ArcSwapOption::empty(),
            core: Mutex::new(core),
            settings,
            platform,
            clock,
            journal,
            telemetry,
            drain,
            incarnation,
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns how long ago the process was told to stop.
    pub(super) fn stopping_for(&self) -> Option<Duration> {
        let at = self.stopping_at.get()?;
        Some(self.now().saturating_sub(*at))
    }

    /// Returns whether new requests are sent elsewhere.
    pub(super) fn turns_away(&self) -> bool {
        let plan = ShutdownPlan::within(self.settings.bounds.grace);
        self.stopping_for()
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
            let mut core = self.core();
            core.profiles = table.profiles();
            core.cache_store = table.cache_store();
            drop(core);
            self.table.store(Some(Arc::new(table)));
            self.meters.config_version(version);
            self.journal.state(&Event::ConfigInForce {
                version,
                earlier: current,
            });
        }
    }

    pub(super) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this VM has seen of the store.
    pub(super) fn revisions(&self) -> Revisions {
        let config = self.table().map_or(0, |table| table.version);
        let core = self.core();
        let changed = |tracked| {
            core.mirrors
                .get(&tracked)
                .map_or(0, ObjectMirror::last_change_revision)
        };
        Revisions {
            config,
            upstreams: changed(Tracked::Upstreams),
            weights: changed(Tracked::Weights),
        }
    }

    /// Notes a request for a service, which earns its share of a repeated send.
    pub(super) fn count_request(&self, service: &str) {
        let now = self.now();
        let mut core = self.core();
        let vms = core.vms();
        core.budgets.record_request(service, vms, now);
    }

    /// Takes one repeated send out of a service's budget.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut core = self.core();
        let vms = core.vms();
        core.budgets.try_take(service, vms, now)
    }

    /// Takes a beat of a peer in; returns whether the peer has seen more than this VM.
    pub(super) fn heard(&self, beat: super::beat::Beat) -> bool {
        let mine = self.revisions();
        let now = self.now();
        let revisions = beat.revisions;
        let mut core = self.core();
        if core.peers.is_zone_representative(now) && core.peers.is_urgent(&beat) {
            self.beat_due.notify_one();
        }
        core.learn_weights(&beat.weights);
        let is_own_zone = beat.availability_zone == self.settings.availability_zone;
        for holding in &beat.read {
            core.holdings.record_from_peer(*holding, is_own_zone, now);
        }
        if !core.peers.record_heartbeat(beat, now) {
            return false;
        }
        core.refresh_peer_work(now);
        let seen = |tracked| core.mirrors.get(&tracked).map_or(0, ObjectMirror::revision);
        revisions.config > mine.config
            || revisions.upstreams > seen(Tracked::Upstreams)
            || revisions.weights > seen(Tracked::Weights)
    }

    /// Brings what depends on time up to date.
    pub(super) fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut core = self.core();
        core.peers.sweep(now);
        core.fleet.sweep(now);
        core.refresh_peer_work(now);
        core.holdings.sweep(now);
        drop(core);
        self.place_queued();
    }
}

impl Core {
    /// Returns how many VMs the fleet counts.
    pub(super) fn vms(&self) -> usize {
        self.peers.fleet_size()
    }

    /// Returns whether this VM follows the store itself and is answered.
    pub(super) fn follows_store(&self) -> bool {
        Tracked::ALL
            .iter()
            .all(|tracked| self.following.contains(tracked))
    }

    /// Returns all work at an engine.
    pub(super) fn work_at(&self, engine: &Upstream) -> UpstreamLoad {
        let peers = self.peer_work.get(&short_name(&engine.instance.id));
        engine.own_load.plus(peers.copied().unwrap_or_default())
    }

    /// Returns the weights of engines that the store does not list yet.
    pub(super) fn unlisted_weights(&self) -> Vec<(ShortName, WeightNumber)> {
        let engines = self.fleet.iter();
        let newer = engines.flat_map(|engine| {
            let listed = engine.entry.models.iter();
            let newer = listed.filter_map(|loaded| {
                let has = engine.weights(&loaded.model)?;
                (has > loaded.weights).then_some((short_name(&engine.instance.id), has))
            });
            newer.take(1)
        });
        newer.collect()
    }

    /// Learns from peers of weights that the store does not list yet.
    fn learn_weights(&mut self, words: &[(ShortName, WeightNumber)]) {
        for (name, weights) in words {
            let ids: Vec<UpstreamId> = self
                .fleet
                .iter()
                .filter(|engine| short_name(&engine.instance.id) == *name)
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
            for load in &peer.beat.loads {
                let sum = self.peer_work.entry(load.engine).or_default();
                *sum = sum.plus(load.work());
            }
        }
    }
}

//! State that the tasks and requests of a gateway share.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use super::allowance::{AllowanceSettings, Allowances};
use super::charge::PendingCharges;
use super::dispatch::Dispatched;
use super::edge::{Platform, Tracked};
use super::fleet::{Engine, Fleet, FleetSettings, Work};
use super::gate::{BudgetBounds, Budgets};
use super::holdings::Holdings;
use super::journal::{Event, Journal};
use super::meters::Meters;
use super::mirror::Mirror;
use super::model::{EngineProfile, ServiceId, WeightNumber};
use super::peers::{HeldLease, Peers, PeersSettings, Revisions, ShortName, short_name};
use super::placement::{Place, PlacementSettings};
use super::pool::Pool;
use super::prompt::Prompt;
use super::settings::GatewaySettings;
use super::shutdown::ShutdownPlan;
use super::table::RoutingTable;
use super::waiting::{Queue, QueueSettings, Ticket, Waiting};
use super::weights::NamedHistory;
use crate::clock::{Instant, SharedClock};
use crate::entry::{Connections, Drain};
use crate::ids::{Incarnation, ModelId, UpstreamId};
use crate::settings::LimitSettings;
use crate::telemetry::Telemetry;

/// Waiting requests looked at in one pass, which bounds the time under the lock.
const PASS_MAX: usize = 32;
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
    pub(super) fleet: Fleet,
    pub(super) peers: Peers,
    pub(super) allowances: Allowances,
    pub(super) budgets: Budgets,
    pub(super) named: HashMap<ModelId, NamedHistory>,
    pub(super) holdings: Holdings,
    pub(super) profiles: HashMap<ServiceId, EngineProfile>,
    pub(super) cache_store: Option<SocketAddr>,
    pub(super) mirrors: HashMap<Tracked, Mirror>,
    /// Kinds that the store itself told this VM last.
    pub(super) following: HashSet<Tracked>,
    pub(super) lease: Option<HeldLease>,
    pub(super) rolling: Vec<UpstreamId>,
    queues: HashMap<ServiceId, ServiceQueue>,
    peer_work: HashMap<ShortName, Work>,
    pub(super) placement: PlacementSettings,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    queue: Queue,
    waiters: HashMap<Ticket, Waiter>,
}

#[derive(Debug)]
struct Waiter {
    ask: Ask,
    sender: oneshot::Sender<Dispatched>,
}

/// Request that needs an upstream.
#[derive(Debug, Clone)]
pub(super) struct Ask {
    pub(super) service: ServiceId,
    pub(super) prompt: Option<Arc<Prompt>>,
    /// Customer whose cached prompts are kept apart.
    pub(super) isolated_customer: Option<String>,
    pub(super) objective: Duration,
    /// Upstreams that it was sent to before.
    pub(super) tried: Vec<UpstreamId>,
}

/// Why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotPlaced {
    /// No upstream of the service is left to try.
    NoUpstream,
    /// It would not start in time.
    Full(Duration),
    /// It waited and did not start in time.
    TooLate,
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
            fleet: Fleet::new(FleetSettings::default()),
            peers: Peers::new(
                PeersSettings::default(),
                settings.vm.clone(),
                settings.availability_zone.clone(),
            ),
            allowances: Allowances::new(AllowanceSettings {
                overage: bounds.allowance_overage,
                slack: bounds.allowance_slack,
            }),
            budgets: Budgets::new(BudgetBounds {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
            }),
            named: HashMap::new(),
            holdings: Holdings::default(),
            profiles: HashMap::new(),
            cache_store: None,
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
        self.stopping_for().is_some_and(|time| time >= plan.refuse)
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
        let changed = |tracked| core.mirrors.get(&tracked).map_or(0, Mirror::changed);
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
        core.budgets.request(service, vms, now);
    }

    /// Takes one repeated send out of a service's budget.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut core = self.core();
        let vms = core.vms();
        core.budgets.take(service, vms, now)
    }

    /// Chooses an upstream, waiting where none has room, but not beyond a deadline.
    ///
    /// # Errors
    ///
    /// Returns why the request was not placed; it is turned away at once where it would not start
    /// in time.
    pub(super) async fn place(
        self: &Arc<Self>,
        ask: &Ask,
        waiting: Waiting,
    ) -> Result<Dispatched, NotPlaced> {
        let receiver = {
            let now = self.now();
            let mut core = self.core();
            let has_queue = core
                .queues
                .get(&ask.service)
                .is_some_and(|queue| !queue.queue.is_empty());
            let must_queue = has_queue && waiting.rank > 0;
            if !must_queue {
                match core.try_place(self, ask, now) {
                    Ok(dispatched) => return Ok(dispatched),
                    Err(Place::Nowhere) => return Err(NotPlaced::NoUpstream),
                    Err(_) => {}
                }
            }
            core.wait(ask, waiting, now)?
        };
        let _place = QueuePlace {
            hub: self,
            service: &ask.service,
            ticket: receiver.0,
        };
        let left = waiting.deadline.saturating_sub(self.now());
        match tokio::time::timeout(left, receiver.1).await {
            Ok(Ok(dispatched)) => Ok(dispatched),
            Ok(Err(_)) => Err(NotPlaced::NoUpstream),
            Err(_) => Err(NotPlaced::TooLate),
        }
    }

    /// Places waiting requests while there is room for them.
    pub(super) fn pump(self: &Arc<Self>) {
        // What is placed is sent without the lock: a receiver that has gone gives it back at once.
        let placed = self.core().place_waiting(self);
        for (sender, dispatched) in placed {
            drop(sender.send(dispatched));
        }
    }

    /// Takes a beat of a peer in; returns whether the peer has seen more than this VM.
    pub(super) fn heard(&self, beat: super::peers::Beat) -> bool {
        let mine = self.revisions();
        let now = self.now();
        let revisions = beat.revisions;
        let mut core = self.core();
        if core.peers.is_speaker(now) && core.peers.is_urgent(&beat) {
            self.beat_due.notify_one();
        }
        core.take_word_on_weights(&beat.weights);
        let is_own_zone = beat.availability_zone == self.settings.availability_zone;
        for holding in &beat.read {
            core.holdings.told(*holding, is_own_zone, now);
        }
        if !core.peers.hear(beat, now) {
            return false;
        }
        core.refresh_peer_work(now);
        let seen = |tracked| core.mirrors.get(&tracked).map_or(0, Mirror::revision);
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
        self.pump();
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
    pub(super) fn work_at(&self, engine: &Engine) -> Work {
        let peers = self.peer_work.get(&short_name(&engine.instance.id));
        engine.own.plus(peers.copied().unwrap_or_default())
    }

    /// Returns the weights of engines that the store does not list yet.
    pub(super) fn own_word_on_weights(&self) -> Vec<(ShortName, WeightNumber)> {
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

    /// Takes the word of peers on weights that the store does not list yet.
    fn take_word_on_weights(&mut self, words: &[(ShortName, WeightNumber)]) {
        for (name, weights) in words {
            let ids: Vec<UpstreamId> = self
                .fleet
                .iter()
                .filter(|engine| short_name(&engine.instance.id) == *name)
                .map(|engine| engine.instance.id.clone())
                .collect();
            for engine in ids {
                if let Some(engine) = self.fleet.get_mut(&engine) {
                    engine.saw_only_weights(*weights);
                }
            }
        }
    }

    fn refresh_peer_work(&mut self, now: Instant) {
        self.peer_work.clear();
        for peer in self.peers.fresh(now) {
            for load in &peer.beat.loads {
                let sum = self.peer_work.entry(load.engine).or_default();
                *sum = sum.plus(load.work());
            }
        }
    }

    fn wait(
        &mut self,
        ask: &Ask,
        waiting: Waiting,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<Dispatched>), NotPlaced> {
        let engines = self.fleet.ready(&ask.service).count() as f64;
        let tokens_per_s =
            engines * self.placement.read_tokens_per_ms * 1_000.0 / self.vms() as f64;
        let service = self
            .queues
            .entry(ask.service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: Queue::new(QueueSettings::default()),
                waiters: HashMap::new(),
            });
        let ticket = service
            .queue
            .push(waiting, tokens_per_s, now)
            .map_err(NotPlaced::Full)?;
        let (sender, receiver) = oneshot::channel();
        let ask = ask.clone();
        service.waiters.insert(ticket, Waiter { ask, sender });
        Ok((ticket, receiver))
    }

    fn place_waiting(&mut self, hub: &Arc<Hub>) -> Vec<(oneshot::Sender<Dispatched>, Dispatched)> {
        let now = hub.now();
        let mut placed = Vec::new();
        let mut queues = std::mem::take(&mut self.queues);
        for service in queues.values_mut() {
            for ticket in service.queue.order(now).into_iter().take(PASS_MAX) {
                let Some(waiter) = service.waiters.get(&ticket) else {
                    service.queue.remove(ticket);
                    continue;
                };
                match self.try_place(hub, &waiter.ask, now) {
                    Ok(dispatched) => {
                        service.queue.remove(ticket);
                        let waiter = service.waiters.remove(&ticket);
                        placed.extend(waiter.map(|waiter| (waiter.sender, dispatched)));
                    }
                    Err(Place::Nowhere) => {
                        service.queue.remove(ticket);
                        service.waiters.remove(&ticket);
                    }
                    Err(_) => {}
                }
            }
        }
        self.queues = queues;
        placed
    }
}

/// Place in a queue, given up on drop.
struct QueuePlace<'a> {
    hub: &'a Hub,
    service: &'a str,
    ticket: Ticket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut core = self.hub.core();
        let waiter = core.queues.get_mut(self.service).and_then(|service| {
            service.queue.remove(self.ticket);
            service.waiters.remove(&self.ticket)
        });
        drop(core);
        drop(waiter);
    }
}

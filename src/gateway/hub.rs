//! State that the tasks and requests of a gateway share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::allowance::{AllowanceSettings, Allowances, PeerDemand};
use super::edge::{Change, Listing, Platform, Record, Tracked};
use super::fleet::{Engine, Fleet, FleetSettings, Instance, Work};
use super::gate::{BudgetBounds, Budgets};
use super::journal::{Event, Journal};
use super::meters::Meters;
use super::model::{Customer, ServiceId, WeightNumber};
use super::peers::{HeldLease, Peers, PeersSettings, Revisions, ShortName, short_name};
use super::placement::{Candidate, Demand, Place, PlacementSettings, choose};
use super::pool::Pool;
use super::prompt::{ChainHash, Prompt};
use super::settings::GatewaySettings;
use super::table::RoutingTable;
use super::waiting::{Queue, QueueSettings, Ticket, Waiting};
use crate::clock::{Instant, SharedClock};
use crate::entry::{Connections, Drain};
use crate::ids::{Incarnation, ModelId, ObjectVersion, Tokens, UpstreamId};
use crate::settings::LimitSettings;
use crate::telemetry::Telemetry;

/// Requests that a plain service may have for each of its slots before others wait.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Age up to which a chain that was read counts as cached.
const CHAIN_FRESH: Duration = Duration::from_secs(15);
/// Waiting requests looked at in one pass, which bounds the time under the lock.
const PASS_MAX: usize = 32;
/// Weight of a new sample in the estimate of an engine's reading speed.
const SPEED_SHARE: f64 = 0.05;
/// Shortest prompt whose reading time says something about the speed.
const SPEED_TOKENS_MIN: Tokens = 4_000;
/// Speed that no estimate leaves, in tokens a millisecond.
const SPEED_RANGE: std::ops::RangeInclusive<f64> = 10.0..=500.0;
/// Time before the bound on older weights in which nothing starts on them any more.
const OLDER_WEIGHTS_MARGIN: Duration = Duration::from_millis(700);
/// Age of named weights from which an engine without them is worth less.
const OLDER_WEIGHTS_GRACE: Duration = Duration::from_millis(1_200);

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
    /// Asks for a beat before the next one is due.
    pub(super) beat_due: Notify,
    /// Tells that a peer has seen more than this VM.
    pub(super) peers_ahead: Notify,
    /// Tells that the holder of the lease was heard.
    pub(super) lease_heard: Notify,
    /// Tells that the operator named weights.
    pub(super) weights_named: Notify,
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
    pub(super) named: HashMap<ModelId, Named>,
    pub(super) mirrors: HashMap<Tracked, Mirror>,
    pub(super) lease: Option<HeldLease>,
    pub(super) rolling: Vec<UpstreamId>,
    queues: HashMap<ServiceId, ServiceQueue>,
    peer_work: HashMap<ShortName, Work>,
    placement: PlacementSettings,
}

/// Weights named by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Named {
    pub(super) weights: WeightNumber,
    /// When this VM learned of them.
    pub(super) since: Instant,
}

/// Objects of one kind as the store has them.
#[derive(Debug, Clone, Default)]
pub(super) struct Mirror {
    pub(super) objects: BTreeMap<String, Record>,
    /// Revision up to which everything was seen; 0 before the first listing.
    pub(super) revision: ObjectVersion,
    /// Revision at which something changed last.
    pub(super) changed: ObjectVersion,
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

/// Request sent to an upstream; what it takes there is given back on drop.
#[derive(Debug)]
pub(super) struct Dispatched {
    hub: Arc<Hub>,
    pub(super) instance: Instance,
    pub(super) address: SocketAddr,
    pub(super) weights: Option<WeightNumber>,
    /// Whether the engine has to have just these weights.
    pub(super) must_match_weights: bool,
    pub(super) held_tokens: Tokens,
    pub(super) ahead_tokens: Tokens,
    service: ServiceId,
    work: Work,
    chains: Vec<ChainHash>,
    at: Instant,
    is_reading: bool,
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
            peers: Peers::new(PeersSettings::default(), settings.vm.clone()),
            allowances: Allowances::new(AllowanceSettings {
                overage: bounds.allowance_overage,
                slack: bounds.allowance_slack,
            }),
            budgets: Budgets::new(BudgetBounds {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
            }),
            named: HashMap::new(),
            mirrors: HashMap::new(),
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
            peers_ahead: Notify::new(),
            lease_heard: Notify::new(),
            weights_named: Notify::new(),
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

    /// Returns the configuration in force; nothing before the first.
    pub(super) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    /// Puts a configuration in force, unless one as new is.
    pub(super) fn set_table(&self, table: RoutingTable) {
        let current = self.table().map_or(0, |table| table.version);
        if table.version > current {
            let version = table.version;
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

    /// Returns all objects of a kind as this VM has seen them; nothing before the first listing.
    pub(super) fn listing(&self, tracked: Tracked) -> Option<Listing> {
        let core = self.core();
        let mirror = core
            .mirrors
            .get(&tracked)
            .filter(|mirror| mirror.revision > 0)?;
        let objects = mirror.objects.iter().map(|(name, record)| Change {
            name: name.clone(),
            record: Some(record.clone()),
        });
        Some(Listing {
            objects: objects.collect(),
            revision: mirror.revision,
        })
    }

    /// Returns what this VM has seen of the store.
    pub(super) fn revisions(&self) -> Revisions {
        let config = self.table().map_or(0, |table| table.version);
        let core = self.core();
        let changed = |tracked| {
            core.mirrors
                .get(&tracked)
                .map_or(0, |mirror| mirror.changed)
        };
        Revisions {
            config,
            upstreams: changed(Tracked::Upstreams),
            weights: changed(Tracked::Weights),
        }
    }

    /// Takes a request's cost out of its customer's allowance.
    ///
    /// # Errors
    ///
    /// Returns when to come back.
    pub(super) fn charge(&self, customer: &Customer, cost: u64) -> Result<(), Duration> {
        let Some(allowance) = &customer.allowance else {
            return Ok(());
        };
        let now = self.now();
        let mut core = self.core();
        let name = short_name(&customer.id);
        let peers: Vec<PeerDemand> = core
            .peers
            .all()
            .map(|peer| match core.peers.is_fresh(peer, now) {
                true => {
                    let demands = &peer.beat.demands;
                    let demand = demands.iter().find(|(customer, _)| *customer == name);
                    PeerDemand::Heard(demand.map_or(0.0, |(_, units)| f64::from(*units)))
                }
                false => PeerDemand::Silent,
            })
            .collect();
        core.allowances
            .take(&customer.id, allowance, cost, &peers, now)
    }

    /// Notes a request for a service, which earns its share of a repeated send.
    pub(super) fn count_request(&self, service: &str) {
        let now = self.now();
        let mut core = self.core();
        let vms = core.peers.len() + 1;
        core.budgets.request(service, vms, now);
    }

    /// Takes one repeated send out of a service's budget.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut core = self.core();
        let vms = core.peers.len() + 1;
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
        core.take_word_on_weights(&beat.weights);
        if !core.peers.hear(beat, now) {
            return false;
        }
        core.refresh_peer_work(now);
        let seen = |tracked| {
            core.mirrors
                .get(&tracked)
                .map_or(0, |mirror| mirror.revision)
        };
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
        drop(core);
        self.pump();
    }
}

impl Core {
    /// Returns how many VMs the fleet counts.
    pub(super) fn vms(&self) -> usize {
        self.peers.len() + 1
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

    fn try_place(&mut self, hub: &Arc<Hub>, ask: &Ask, now: Instant) -> Result<Dispatched, Place> {
        let chains = ask
            .prompt
            .as_ref()
            .map(|prompt| prompt.chains(ask.isolated_customer.as_deref().unwrap_or_default()));
        let chains = chains.unwrap_or_default();
        let shared = chains
            .len()
            .checked_sub(2)
            .and_then(|index| chains.get(index))
            .copied();
        let named = ask
            .prompt
            .as_ref()
            .and_then(|prompt| self.named.get(&prompt.model))
            .copied();
        let age = named.map_or(Duration::ZERO, |named| now.saturating_sub(named.since));
        let older_max = hub
            .settings
            .bounds
            .weights
            .saturating_sub(OLDER_WEIGHTS_MARGIN);
        let is_expired = age >= older_max;
        let is_older = |engine: &Engine| {
            let model = ask
                .prompt
                .as_ref()
                .map_or("", |prompt| prompt.model.as_str());
            let has = engine.weights(model).unwrap_or_default();
            named.is_some_and(|named| has < named.weights)
        };
        let mut engines: Vec<&Engine> = self
            .fleet
            .ready(&ask.service)
            .filter(|engine| !ask.tried.contains(&engine.instance.id))
            .filter(|engine| !(is_expired && is_older(engine)))
            .collect();
        if engines.is_empty() {
            let is_any = self
                .fleet
                .ready(&ask.service)
                .any(|engine| !ask.tried.contains(&engine.instance.id));
            return Err(if is_any { Place::Wait } else { Place::Nowhere });
        }
        let seed = shared.map_or_else(rand::random, |(chain, _)| chain);
        engines.sort_by_cached_key(|engine| {
            std::cmp::Reverse(xxh3_64_with_seed(engine.instance.id.as_bytes(), seed))
        });
        let demand = demand(ask);
        let memory_max = hub
            .table()
            .and_then(|table| table.service(&ask.service)?.engine.clone());
        let candidates: Vec<Candidate> = engines
            .iter()
            .enumerate()
            .map(|(rank, engine)| {
                let work = self.work_at(engine);
                let known = chains.iter().rev().find(|(chain, _)| {
                    engine
                        .chain_read_at(*chain)
                        .is_some_and(|at| now.saturating_sub(at) < CHAIN_FRESH)
                });
                let held = known.map_or(0, |(_, tokens)| *tokens);
                let home = if rank == 0 {
                    shared.map_or(0, |(_, tokens)| tokens)
                } else {
                    0
                };
                let is_plain = ask.prompt.is_none();
                Candidate {
                    rank: if shared.is_some() { rank } else { 0 },
                    reading_tokens: work.reading_tokens,
                    memory_tokens: work.memory_tokens,
                    memory_max_tokens: memory_max
                        .as_ref()
                        .map_or(Tokens::MAX, |profile| profile.memory_tokens),
                    requests: work.requests,
                    slots: match is_plain {
                        true => engine.entry.slots * PLAIN_REQUESTS_PER_SLOT,
                        false => engine.entry.slots,
                    },
                    held_tokens: held.max(home),
                    is_same_zone: engine.entry.availability_zone == hub.settings.availability_zone,
                    is_avoided: engine.is_avoided(now),
                    is_older: age >= OLDER_WEIGHTS_GRACE && is_older(engine),
                    is_rolling: !is_plain && self.is_rolling(&engine.instance.id, now),
                }
            })
            .collect();
        let place = choose(&self.placement, &demand, &candidates);
        let Place::At(index) = place else {
            return Err(place);
        };
        let candidate = candidates[index];
        let engine = engines[index];
        let model = ask.prompt.as_ref().map(|prompt| prompt.model.as_str());
        let missed = demand.prompt_tokens.saturating_sub(candidate.held_tokens);
        let dispatched = Dispatched {
            hub: hub.clone(),
            instance: engine.instance.clone(),
            address: engine.entry.address,
            weights: model.and_then(|model| engine.weights(model)),
            must_match_weights: age + OLDER_WEIGHTS_MARGIN >= older_max && named.is_some(),
            held_tokens: candidate.held_tokens,
            ahead_tokens: candidate.reading_tokens,
            service: ask.service.clone(),
            work: Work {
                requests: 1,
                reading_tokens: missed,
                memory_tokens: demand.prompt_tokens + demand.output_tokens,
            },
            chains: chains.iter().map(|(chain, _)| *chain).collect(),
            at: now,
            is_reading: true,
        };
        if let Some(engine) = self.fleet.get_mut(&dispatched.instance.id) {
            engine.own = engine.own.plus(dispatched.work);
        }
        Ok(dispatched)
    }

    fn is_rolling(&self, engine: &UpstreamId, now: Instant) -> bool {
        self.rolling.contains(engine) || self.peers.is_rolling(short_name(engine), now)
    }
}

fn demand(ask: &Ask) -> Demand {
    let prompt = ask.prompt.as_ref();
    Demand {
        prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
        output_tokens: prompt.map_or(0, |prompt| prompt.expected_output()),
        objective: ask.objective,
    }
}

impl Dispatched {
    /// Notes that the first event or the answer has come.
    pub(super) fn started(&mut self) {
        if !std::mem::take(&mut self.is_reading) {
            return;
        }
        let now = self.hub.now();
        let mut core = self.hub.core();
        self.learn_speed(&mut core.placement, now);
        if let Some(engine) = core.fleet.instance_mut(&self.instance) {
            engine.own.reading_tokens -= self.work.reading_tokens.min(engine.own.reading_tokens);
            engine.read_chains(self.chains.iter().copied(), now);
            engine.succeeded();
        }
        drop(core);
        self.hub.pump();
    }

    /// Notes the weights that answer.
    pub(super) fn saw_weights(&mut self, weights: WeightNumber, model: &str) {
        if let Some(engine) = self.hub.core().fleet.instance_mut(&self.instance) {
            engine.saw_weights(model, weights);
        }
        if self.weights != Some(weights) {
            // The parts are cached under a salt of other weights than assumed.
            self.chains.clear();
            self.weights = Some(weights);
        }
    }

    /// Notes a failure of the upstream.
    pub(super) fn failed(&self, weight: f64) {
        let now = self.hub.now();
        if let Some(engine) = self.hub.core().fleet.instance_mut(&self.instance) {
            engine.failed(weight, now);
        }
    }

    /// Notes that the upstream could not be reached.
    pub(super) fn unreachable(&self) {
        let now = self.hub.now();
        self.hub.pool.forget(&self.instance);
        if let Some(engine) = self.hub.core().fleet.instance_mut(&self.instance) {
            engine.unreachable(now);
        }
    }

    /// Returns when the request was placed.
    pub(super) fn at(&self) -> Instant {
        self.at
    }

    fn learn_speed(&self, placement: &mut PlacementSettings, now: Instant) {
        let tokens = self.work.reading_tokens + self.ahead_tokens;
        let elapsed_ms = now.saturating_sub(self.at).as_secs_f64() * 1_000.0;
        if self.work.reading_tokens < SPEED_TOKENS_MIN || elapsed_ms < 1.0 {
            return;
        }
        let sample = (tokens as f64 / elapsed_ms).clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end());
        let speed = &mut placement.read_tokens_per_ms;
        *speed += SPEED_SHARE * (sample - *speed);
    }
}

impl Drop for Dispatched {
    fn drop(&mut self) {
        if let Some(engine) = self.hub.core().fleet.instance_mut(&self.instance) {
            let own = &mut engine.own;
            own.requests = own.requests.saturating_sub(1);
            own.memory_tokens = own.memory_tokens.saturating_sub(self.work.memory_tokens);
            if self.is_reading {
                own.reading_tokens = own.reading_tokens.saturating_sub(self.work.reading_tokens);
            }
        }
        self.hub.pump();
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

//! Upstreams as the store lists them, with what this VM has learned of each.
//!
//! Pure: the time is passed in. An entry that is removed names an upstream that leaves, so it gets
//! nothing new. Around an outage of the store entries lapse although their upstream lives; such an
//! upstream is kept for the time in which its entry would come back.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::model::{UpstreamEntry, UpstreamStage, WeightNumber};
use crate::clock::Instant;
use crate::ids::{ModelId, Tokens, UpstreamId};

/// Share of one outcome in the failure rate of an upstream.
const FAILURE_SHARE: f64 = 0.2;
/// Time for which an upstream is avoided whose every request fails.
const AVOID_MAX: Duration = Duration::from_secs(10);

/// Times of a [`Fleet`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSettings {
    /// Time after the store's return within which lapsed entries come back.
    pub settle: Duration,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            // Lapsed entries return within about two seconds, and what has left gets nothing after
            // two seconds.
            settle: Duration::from_millis(1_800),
        }
    }
}

/// One start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Name.
    pub id: UpstreamId,
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
}

/// Work at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens sent whose first event has not come.
    pub reading_tokens: Tokens,
    /// Tokens of requests that take memory.
    pub memory_tokens: Tokens,
}

impl Work {
    /// Returns the sum with other work.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            reading_tokens: self.reading_tokens + other.reading_tokens,
            memory_tokens: self.memory_tokens + other.memory_tokens,
        }
    }
}

/// Upstream with what is known of it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// One start of it.
    pub instance: Instance,
    /// Its entry in the store.
    pub entry: UpstreamEntry,
    /// Work that this VM has sent.
    pub own: Work,
    weights: HashMap<ModelId, WeightNumber>,
    failure_rate: f64,
    avoided_until: Instant,
    closed_until: Instant,
    /// When the first event or answer of each request of this VM is overdue.
    due: BTreeMap<u64, Instant>,
    lapsed_at: Option<Instant>,
}

impl Engine {
    fn new(id: &str, entry: UpstreamEntry) -> Self {
        let mut engine = Self {
            instance: Instance {
                id: id.to_owned(),
                born_ms: entry.born_ms,
            },
            own: Work::default(),
            weights: HashMap::new(),
            failure_rate: 0.0,
            avoided_until: Instant::ZERO,
            closed_until: Instant::ZERO,
            due: BTreeMap::new(),
            lapsed_at: None,
            entry,
        };
        engine.take_listed_weights();
        engine
    }

    /// Returns the weights of a model that the engine is known to have.
    pub fn weights(&self, model: &str) -> Option<WeightNumber> {
        self.weights.get(model).copied()
    }

    /// Notes the weights of a model; they only rise.
    pub fn saw_weights(&mut self, model: &str, number: WeightNumber) {
        let known = self.weights.entry(model.to_owned()).or_insert(number);
        *known = number.max(*known);
    }

    /// Notes the weights of an engine that has a single model.
    pub fn saw_only_weights(&mut self, number: WeightNumber) {
        let mut models = self.entry.models.iter().map(|loaded| loaded.model.clone());
        if let (Some(model), None) = (models.next(), models.next()) {
            self.saw_weights(&model, number);
        }
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_SHARE;
        self.avoided_until = Instant::ZERO;
    }

    /// Notes a failure; `weight` is below one where it says little about the upstream.
    pub fn failed(&mut self, weight: f64, now: Instant) {
        let share = FAILURE_SHARE * weight;
        self.failure_rate = self.failure_rate * (1.0 - share) + share;
        let time = AVOID_MAX.mul_f64(self.failure_rate * self.failure_rate);
        self.avoided_until = self.avoided_until.max(now + time);
    }

    /// Notes that the upstream turned a request away that it has not run.
    ///
    /// It is about to do so with the next ones as well: it is full, or it loads weights.
    pub fn turned_away(&mut self, now: Instant) {
        self.closed_until = now + CLOSED;
    }

    /// Returns whether the upstream turned a request away a moment ago.
    pub fn is_closed(&self, now: Instant) -> bool {
        now < self.closed_until
    }

    /// Notes that nothing listens or answers at the upstream's address.
    pub fn unreachable(&mut self, now: Instant) {
        self.failed(1.0, now);
        self.avoided_until = self.avoided_until.max(now + UNREACHABLE);
    }

    /// Notes by when a request of this VM should show a first event or an answer.
    pub fn expect(&mut self, request: u64, due: Instant) {
        self.due.insert(request, due);
    }

    /// Notes that a request has shown something, or has ended.
    pub fn expect_no_more(&mut self, request: u64) {
        self.due.remove(&request);
    }

    /// Returns whether other upstreams are to be preferred: it failed a moment ago, or is silent for
    /// longer than its work explains.
    pub fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoided_until || self.due.values().any(|due| *due < now)
    }

    /// Returns whether the upstream may get new work.
    pub fn is_ready(&self) -> bool {
        self.entry.stage == UpstreamStage::Ready
    }

    fn take_listed_weights(&mut self) {
        for loaded in self.entry.models.clone() {
            self.saw_weights(&loaded.model, loaded.weights);
        }
    }
}

/// Time for which an upstream gets nothing that turned a request away.
const CLOSED: Duration = Duration::from_millis(200);
/// Time for which an upstream is avoided that could not be reached.
const UNREACHABLE: Duration = Duration::from_millis(1_000);

/// All upstreams.
#[derive(Debug, Default)]
pub struct Fleet {
    settings: FleetSettings,
    engines: HashMap<UpstreamId, Engine>,
    is_store_lost: bool,
    settled_at: Instant,
}

impl Fleet {
    /// Creates a fleet that knows of no upstream.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes that the store does not answer.
    pub fn store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Notes that the store answers again.
    pub fn store_back(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_store_lost) {
            self.settled_at = now + self.settings.settle;
        }
    }

    /// Takes an entry, or its removal.
    pub fn apply(&mut self, id: &str, entry: Option<UpstreamEntry>, now: Instant) {
        match entry {
            Some(entry) => self.insert(id, entry),
            None => self.lapse(id, now),
        }
    }

    /// Takes a whole listing.
    pub fn replace(&mut self, listed: Vec<(UpstreamId, UpstreamEntry)>, now: Instant) {
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for id in ids {
            if !listed.iter().any(|(name, _)| *name == id) {
                self.lapse(&id, now);
            }
        }
        for (id, entry) in listed {
            self.insert(&id, entry);
        }
    }

    /// Drops upstreams whose entry has not come back in time.
    pub fn sweep(&mut self, now: Instant) {
        let is_settling = self.is_settling(now);
        let settle = self.settings.settle;
        self.engines.retain(|_, engine| {
            let is_kept = |at: Instant| is_settling && now.saturating_sub(at) < settle;
            engine.lapsed_at.is_none_or(is_kept)
        });
    }

    /// Returns an upstream by its name.
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Returns an upstream by its name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Engine> {
        self.engines.get_mut(id)
    }

    /// Returns one start of an upstream.
    pub fn instance_mut(&mut self, instance: &Instance) -> Option<&mut Engine> {
        let engine = self.engines.get_mut(&instance.id)?;
        (engine.instance == *instance).then_some(engine)
    }

    /// Returns the upstreams of a service that may get new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Engine> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.entry.service == service && engine.is_ready())
    }

    /// Returns every upstream.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    fn insert(&mut self, id: &str, entry: UpstreamEntry) {
        match self.engines.get_mut(id) {
            Some(engine) if engine.instance.born_ms == entry.born_ms => {
                engine.entry = entry;
                engine.lapsed_at = None;
                engine.take_listed_weights();
            }
            // A late word of an earlier start is no news.
            Some(engine) if engine.instance.born_ms > entry.born_ms => {}
            _ => {
                self.engines.insert(id.to_owned(), Engine::new(id, entry));
            }
        }
    }

    fn lapse(&mut self, id: &str, now: Instant) {
        if !self.is_settling(now) {
            self.engines.remove(id);
            return;
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.lapsed_at.get_or_insert(now);
        }
    }

    fn is_settling(&self, now: Instant) -> bool {
        self.is_store_lost || now < self.settled_at
    }
}

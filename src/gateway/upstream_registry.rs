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
const FAILURE_RATE_SMOOTHING: f64 = 0.2;
/// Time for which an upstream is avoided whose every request fails.
const AVOIDANCE_MAX: Duration = Duration::from_secs(10);

/// Times of a [`UpstreamRegistry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamRegistrySettings {
    /// Time after the store's return within which lapsed entries come back.
    pub reregistration_window: Duration,
}

impl Default for UpstreamRegistrySettings {
    fn default() -> Self {
        Self {
            // Lapsed entries return within about two seconds, and what has left gets nothing after
            // two seconds.
            reregistration_window: Duration::from_millis(1_800),
        }
    }
}

/// One start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamInstance {
    /// Name.
    pub id: UpstreamId,
    /// Unix time of its start, in milliseconds.
    pub born_ms: u64,
}

/// Work at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamLoad {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens sent whose first event has not come.
    pub prefill_tokens: Tokens,
    /// Tokens of requests that take memory.
    pub memory_tokens: Tokens,
}

impl UpstreamLoad {
    /// Returns the sum with other work.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
            memory_tokens: self.memory_tokens + other.memory_tokens,
        }
    }
}

/// Upstream with what is known of it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// One start of it.
    pub instance: UpstreamInstance,
    /// Its entry in the store.
    pub entry: UpstreamEntry,
    /// Work that this VM has sent.
    pub own_load: UpstreamLoad,
    weights: HashMap<ModelId, WeightNumber>,
    failure_rate: f64,
    avoided_until: Instant,
    rejecting_until: Instant,
    /// When the first event or answer of each request of this VM is overdue.
    responses_due: BTreeMap<u64, Instant>,
    unlisted_at: Option<Instant>,
}

impl Upstream {
    fn new(id: &str, entry: UpstreamEntry) -> Self {
        let mut upstream = Self {
            instance: UpstreamInstance {
                id: id.to_owned(),
                born_ms: entry.born_ms,
            },
            own_load: UpstreamLoad::default(),
            weights: HashMap::new(),
            failure_rate: 0.0,
            avoided_until: Instant::ZERO,
            rejecting_until: Instant::ZERO,
            responses_due: BTreeMap::new(),
            unlisted_at: None,
            entry,
        };
        upstream.record_listed_weights();
        upstream
    }

    /// Returns the weights of a model that the engine is known to have.
    pub fn weights(&self, model: &str) -> Option<WeightNumber> {
        self.weights.get(model).copied()
    }

    /// Notes the weights of a model; they only rise.
    pub fn record_weights(&mut self, model: &str, number: WeightNumber) {
        let known = self.weights.entry(model.to_owned()).or_insert(number);
        *known = number.max(*known);
    }

    /// Notes the weights of an engine that has a single model.
    pub fn record_single_model_weights(&mut self, number: WeightNumber) {
        let mut models = self.entry.models.iter().map(|loaded| loaded.model.clone());
        if let (Some(model), None) = (models.next(), models.next()) {
            self.record_weights(&model, number);
        }
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_RATE_SMOOTHING;
        self.avoided_until = Instant::ZERO;
    }

    /// Notes a failure; `weight` is below one where it says little about the upstream.
    pub fn record_failure(&mut self, weight: f64, now: Instant) {
        let share = FAILURE_RATE_SMOOTHING * weight;
        self.failure_rate = self.failure_rate * (1.0 - share) + share;
        let time = AVOIDANCE_MAX.mul_f64(self.failure_rate * self.failure_rate);
        self.avoided_until = self.avoided_until.max(now + time);
    }

    /// Notes that the upstream turned a request away that it has not run.
    ///
    /// It is about to do so with the next ones as well: it is full, or it loads weights.
    pub fn record_rejection(&mut self, now: Instant) {
        self.rejecting_until = now + REJECTION_BACKOFF;
    }

    /// Returns whether the upstream turned a request away a moment ago.
    pub fn is_rejecting(&self, now: Instant) -> bool {
        now < self.rejecting_until
    }

    /// Notes that nothing listens or answers at the upstream's address.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(1.0, now);
        self.avoided_until = self.avoided_until.max(now + UNREACHABLE_BACKOFF);
    }

    /// Notes by when a request of this VM should show a first event or an answer.
    pub fn expect_response(&mut self, request: u64, due: Instant) {
        self.responses_due.insert(request, due);
    }

    /// Notes that a request has shown something, or has ended.
    pub fn clear_expected_response(&mut self, request: u64) {
        self.responses_due.remove(&request);
    }

    /// Returns whether other upstreams are to be preferred: it failed a moment ago, or is silent for
    /// longer than its work explains.
    pub fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoided_until || self.responses_due.values().any(|due| *due < now)
    }

    /// Returns whether the upstream may get new work.
    pub fn is_ready(&self) -> bool {
        self.entry.stage == UpstreamStage::Ready
    }

    fn record_listed_weights(&mut self) {
        for loaded in self.entry.models.clone() {
            self.record_weights(&loaded.model, loaded.weights);
        }
    }
}

/// Time for which an upstream gets nothing that turned a request away.
const REJECTION_BACKOFF: Duration = Duration::from_millis(200);
/// Time for which an upstream is avoided that could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);

/// All upstreams.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    settings: UpstreamRegistrySettings,
    upstreams: HashMap<UpstreamId, Upstream>,
    is_store_lost: bool,
    reregistration_ends_at: Instant,
}

impl UpstreamRegistry {
    /// Creates a fleet that knows of no upstream.
    pub fn new(settings: UpstreamRegistrySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes that the store does not answer.
    pub fn record_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Notes that the store answers again.
    pub fn record_store_back(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_store_lost) {
            self.reregistration_ends_at = now + self.settings.reregistration_window;
        }
    }

    /// Takes an entry, or its removal.
    pub fn apply(&mut self, id: &str, entry: Option<UpstreamEntry>, now: Instant) {
        match entry {
            Some(entry) => self.insert(id, entry),
            None => self.unlist(id, now),
        }
    }

    /// Takes a whole listing.
    pub fn replace(&mut self, listed: Vec<(UpstreamId, UpstreamEntry)>, now: Instant) {
        let ids: Vec<UpstreamId> = self.upstreams.keys().cloned().collect();
        for id in ids {
            if !listed.iter().any(|(name, _)| *name == id) {
                self.unlist(&id, now);
            }
        }
        for (id, entry) in listed {
            self.insert(&id, entry);
        }
    }

    /// Drops upstreams whose entry has not come back in time.
    pub fn sweep(&mut self, now: Instant) {
        let is_reregistering = self.is_reregistering(now);
        let reregistration_window = self.settings.reregistration_window;
        self.upstreams.retain(|_, upstream| {
            let is_kept =
                |at: Instant| is_reregistering && now.saturating_sub(at) < reregistration_window;
            upstream.unlisted_at.is_none_or(is_kept)
        });
    }

    /// Returns an upstream by its name.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns an upstream by its name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Returns one start of an upstream.
    pub fn instance_mut(&mut self, instance: &UpstreamInstance) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(&instance.id)?;
        (upstream.instance == *instance).then_some(upstream)
    }

    /// Returns the upstreams of a service that may get new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter(move |upstream| upstream.entry.service == service && upstream.is_ready())
    }

    /// Returns every upstream.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    fn insert(&mut self, id: &str, entry: UpstreamEntry) {
        match self.upstreams.get_mut(id) {
            Some(upstream) if upstream.instance.born_ms == entry.born_ms => {
                upstream.entry = entry;
                upstream.unlisted_at = None;
                upstream.record_listed_weights();
            }
            // A late word of an earlier start is no news.
            Some(upstream) if upstream.instance.born_ms > entry.born_ms => {}
            _ => {
                self.upstreams
                    .insert(id.to_owned(), Upstream::new(id, entry));
            }
        }
    }

    fn unlist(&mut self, id: &str, now: Instant) {
        if !self.is_reregistering(now) {
            self.upstreams.remove(id);
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.unlisted_at.get_or_insert(now);
        }
    }

    fn is_reregistering(&self, now: Instant) -> bool {
        self.is_store_lost || now < self.reregistration_ends_at
    }
}

//! One upstream, with this VM's observations of it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::model::{UpstreamEntry, UpstreamStage, WeightNumber};
use crate::gateway::name_hash::{NameHash, hash_name};
use crate::gateway::upstream_capacity::{LoadRecord, UsualSpeed};
use crate::ids::{ModelId, Tokens, UpstreamId};

/// Weight of one outcome in the moving average of an upstream's failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.2;
/// Time for which an upstream is avoided if all of its requests fail.
const AVOIDANCE_MAX: Duration = Duration::from_secs(10);
/// Maximum time for which an upstream is left alone at its request; a process that asks for more is
/// likely to be replaced before.
const HOLD_OFF_MAX: Duration = Duration::from_secs(600);
/// Time for which an upstream is a last resort after it rejected a request.
const REJECTION_BACKOFF: Duration = Duration::from_millis(200);
/// Minimum time for which an upstream is avoided after it could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);

/// One process lifetime of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamInstance {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Unix time of the process start, in milliseconds.
    pub born_ms: u64,
}

/// Load of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub prefill_tokens: Tokens,
    /// Tokens that the requests hold in memory.
    pub memory_tokens: Tokens,
}

impl UpstreamLoad {
    /// Returns the sum of both loads.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
            memory_tokens: self.memory_tokens + other.memory_tokens,
        }
    }

    /// Returns this load without a part of it.
    pub fn minus(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            prefill_tokens: self.prefill_tokens.saturating_sub(part.prefill_tokens),
            memory_tokens: self.memory_tokens.saturating_sub(part.memory_tokens),
        }
    }
}

/// Upstream with this VM's observations of it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Name and process lifetime.
    pub instance: UpstreamInstance,
    /// Hash of the name, by which messages between VMs refer to the upstream.
    pub name_hash: NameHash,
    /// Entry in the store.
    pub entry: UpstreamEntry,
    /// Load of the requests that this VM has sent.
    pub own_load: UpstreamLoad,
    /// Load that it announced, with what this VM sent since.
    pub load_record: LoadRecord,
    /// Its measured speed.
    pub usual_speed: UsualSpeed,
    weights: HashMap<ModelId, WeightNumber>,
    failure_rate: f64,
    avoided_until: Instant,
    unreachable_until: Instant,
    responded_at: Option<Instant>,
    rejecting_until: Instant,
    /// Order that the upstream is assumed to execute, as it rejects requests while it is idle.
    assumed_order: Option<AssumedOrder>,
    /// Time at which the first event or response of each request of this VM is overdue, by request
    /// number.
    responses_due: BTreeMap<u64, Instant>,
    pub(super) unlisted_at: Option<Instant>,
    /// Time before which the upstream wants no requests of this VM.
    held_off_until: Instant,
    /// Time before which this VM gets no permit for another request.
    permit_wait_until: Instant,
}

/// Order that an upstream is assumed to execute.
#[derive(Debug, Clone, Copy)]
struct AssumedOrder {
    until: Instant,
    /// Whether this VM tells the others.
    is_announced: bool,
}

impl Upstream {
    pub(super) fn new(id: &str, entry: UpstreamEntry) -> Self {
        let mut upstream = Self {
            instance: UpstreamInstance {
                id: id.to_owned(),
                born_ms: entry.born_ms,
            },
            name_hash: hash_name(id),
            own_load: UpstreamLoad::default(),
            load_record: LoadRecord::default(),
            usual_speed: UsualSpeed::default(),
            weights: HashMap::new(),
            failure_rate: 0.0,
            avoided_until: Instant::ZERO,
            unreachable_until: Instant::ZERO,
            responded_at: None,
            rejecting_until: Instant::ZERO,
            assumed_order: None,
            responses_due: BTreeMap::new(),
            unlisted_at: None,
            held_off_until: Instant::ZERO,
            permit_wait_until: Instant::ZERO,
            entry,
        };
        upstream.record_listed_weights();
        upstream
    }

    /// Returns the weights of a model that the upstream is known to have.
    pub fn weights(&self, model: &str) -> Option<WeightNumber> {
        self.weights.get(model).copied()
    }

    /// Records the weights of a model; lower ones than known are ignored.
    pub fn record_weights(&mut self, model: &str, number: WeightNumber) {
        let known = self.weights.entry(model.to_owned()).or_insert(number);
        if number > *known {
            *known = number;
            self.assumed_order = None;
        }
    }

    /// Records the weights of the upstream's only model; ignored if it has several models or none.
    pub fn record_single_model_weights(&mut self, number: WeightNumber) {
        let mut models = self.entry.models.iter().map(|loaded| loaded.model.clone());
        if let (Some(model), None) = (models.next(), models.next()) {
            self.record_weights(&model, number);
        }
    }

    /// Records a response.
    pub fn record_success(&mut self, now: Instant) {
        self.failure_rate *= 1.0 - FAILURE_RATE_SMOOTHING;
        self.avoided_until = Instant::ZERO;
        self.unreachable_until = Instant::ZERO;
        self.assumed_order = None;
        self.responded_at = Some(now);
    }

    /// Records a failure; `weight` is less than 1 if it says little about the upstream.
    pub fn record_failure(&mut self, weight: f64, now: Instant) {
        let share = FAILURE_RATE_SMOOTHING * weight;
        self.failure_rate = self.failure_rate * (1.0 - share) + share;
        let time = AVOIDANCE_MAX.mul_f64(self.failure_rate * self.failure_rate);
        self.avoided_until = self.avoided_until.max(now + time);
    }

    /// Records that the upstream has announced that it leaves, which holds for its process lifetime.
    pub fn record_leaving(&mut self) {
        self.entry.stage = UpstreamStage::Draining;
    }

    /// Records that the upstream wants no requests of this VM for a time.
    pub fn record_hold_off(&mut self, time: Duration, now: Instant) {
        let time = time.min(HOLD_OFF_MAX);
        self.held_off_until = self.held_off_until.max(now + time);
    }

    /// Sets the time before which this VM gets no permit for another request.
    pub fn set_permit_wait(&mut self, until: Instant) {
        self.permit_wait_until = until;
    }

    /// Returns the time before which this VM sends no requests to the upstream, if it is not over.
    pub fn held_off_until(&self, now: Instant) -> Option<Instant> {
        let until = self.held_off_until.max(self.permit_wait_until);
        (now < until).then_some(until)
    }

    /// Records that the upstream rejected a request without running it.
    ///
    /// It is likely to reject the next ones too: it is full or loading weights.
    pub fn record_rejection(&mut self, now: Instant) {
        self.rejecting_until = now + REJECTION_BACKOFF;
    }

    /// Records that the upstream rejects requests although it is idle, and is assumed to execute an
    /// order until a time; `is_announced` states whether this VM tells the others.
    pub fn assume_order(&mut self, until: Instant, is_announced: bool) {
        self.assumed_order = Some(AssumedOrder {
            until,
            is_announced,
        });
    }

    /// Returns whether the upstream is assumed to execute an order.
    pub fn is_order_assumed(&self, now: Instant) -> bool {
        self.assumed_order.is_some_and(|order| now < order.until)
    }

    /// Returns whether this VM tells the others that the upstream is assumed to execute an order.
    pub fn is_order_announced(&self, now: Instant) -> bool {
        let order = self.assumed_order.filter(|order| now < order.until);
        order.is_some_and(|order| order.is_announced)
    }

    /// Returns whether the upstream rejected a request recently.
    pub fn is_rejecting(&self, now: Instant) -> bool {
        now < self.rejecting_until
    }

    /// Records that no process listens or responds at the upstream's address.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(1.0, now);
        self.avoided_until = self.avoided_until.max(now + UNREACHABLE_BACKOFF);
        self.unreachable_until = now + UNREACHABLE_BACKOFF;
    }

    /// Returns whether this VM finds the upstream unreachable or silent, which it reports to the
    /// other VMs.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        now < self.unreachable_until || self.responses_due.values().any(|due| *due < now)
    }

    /// Returns whether the upstream has responded to this VM recently, which outweighs reports of
    /// other VMs.
    pub fn has_responded_recently(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_sub(at) < UNREACHABLE_BACKOFF;
        self.responded_at.is_some_and(is_recent)
    }

    /// Records the time at which the first event or response of a request of this VM is overdue.
    pub fn expect_response(&mut self, request: u64, due: Instant) {
        self.responses_due.insert(request, due);
    }

    /// Records that a request's first event or response has arrived, or that it has ended.
    pub fn clear_expected_response(&mut self, request: u64) {
        self.responses_due.remove(&request);
    }

    /// Returns whether other upstreams are preferred: this one failed recently, or one of its
    /// responses is overdue.
    pub fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoided_until || self.responses_due.values().any(|due| *due < now)
    }

    /// Returns whether the upstream may receive new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.stage == UpstreamStage::Ready
    }

    pub(super) fn record_listed_weights(&mut self) {
        for loaded in self.entry.models.clone() {
            self.record_weights(&loaded.model, loaded.weights);
        }
    }
}

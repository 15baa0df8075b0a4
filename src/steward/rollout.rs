//! State machine of the weight rollout to the engines, without I/O.
//!
//! The state of an engine is known only from the engine's own responses. An engine counts as
//! loading if it reports so, has not been read yet, or has an order of unknown outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use super::HeldTerm;
use crate::clock::Instant;
use crate::document::FencingCheck;
use crate::ids::{FencingNumber, Incarnation, ModelId, UpstreamId, WeightVersion};

/// Engines that may load weights at the same time in the whole fleet.
pub const CONCURRENT_LOADS_MAX: usize = 2;
/// The lease TTL divided by this must remain for an order to an engine that does not check fencing
/// numbers.
pub const LEASE_MARGIN_DIVISOR: u32 = 2;

/// Durations and limits of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Engines that may load weights at the same time.
    pub concurrent_loads_max: usize,
    /// Remaining validity of the lease required for an order to an engine that does not check
    /// fencing numbers.
    pub lease_margin: Duration,
    /// Time between reads of an engine that may be loading.
    pub loading_poll_interval: Duration,
    /// Time between reads of any other engine.
    pub idle_poll_interval: Duration,
    /// Time during which an order of unknown outcome may still be applied.
    pub order_settle_window: Duration,
    /// Time without a response after which an engine no longer counts as loading.
    pub unreachable_timeout: Duration,
}

impl RolloutSettings {
    /// Derives the lease margin and the settle window from the lease TTL.
    pub fn from_lease_ttl(lease_ttl: Duration) -> Self {
        Self {
            concurrent_loads_max: CONCURRENT_LOADS_MAX,
            lease_margin: lease_ttl / LEASE_MARGIN_DIVISOR,
            loading_poll_interval: Duration::from_millis(500),
            idle_poll_interval: Duration::from_secs(30),
            order_settle_window: lease_ttl,
            unreachable_timeout: Duration::from_secs(60),
        }
    }

    /// Returns whether an order may be sent at `now` under the held term.
    pub fn may_send(&self, fencing: FencingCheck, held: HeldTerm, now: Instant) -> bool {
        let left = held.valid_until.saturating_sub(now);
        match fencing {
            FencingCheck::Refuses => !left.is_zero(),
            FencingCheck::Ignores => left >= self.lease_margin,
        }
    }
}

/// Desired state of an engine, from the operators' document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineTarget {
    /// Models that the engine serves.
    pub models: Vec<ModelId>,
    /// Weight version that the engine should have; `None` if it receives no orders.
    pub weight_version: Option<WeightVersion>,
    /// How the engine treats outdated fencing numbers.
    pub fencing: FencingCheck,
}

/// State that an engine reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct EngineState {
    /// Incarnation of the engine, which changes with each start.
    pub incarnation: Incarnation,
    /// Highest fencing number that the engine has received.
    pub fencing: FencingNumber,
    /// Weight version that the engine has loaded.
    pub weight_version: WeightVersion,
    /// Whether the engine is loading weights.
    pub loading: bool,
}

/// Order to load weights, which is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Engine that receives the order.
    pub engine: UpstreamId,
    /// Model whose weights are loaded.
    pub model: ModelId,
    /// Weight version to load.
    pub weight_version: WeightVersion,
    /// How the engine treats outdated fencing numbers.
    pub fencing_check: FencingCheck,
    /// Fencing number of the term in which the order is sent.
    pub fencing: FencingNumber,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and reports this state.
    Accepted(EngineState),
    /// The engine refused the order, as it has received a higher fencing number.
    Refused,
    /// The order was certainly not sent.
    NotSent,
    /// The order may have been applied or may still be applied.
    Unknown,
}

#[derive(Debug, Clone)]
struct SentOrder {
    weight_version: WeightVersion,
    fencing: FencingNumber,
    sent_at: Instant,
    is_outcome_unknown: bool,
}

#[derive(Debug, Clone)]
struct TrackedEngine {
    target: EngineTarget,
    state: Option<EngineState>,
    last_read_at: Instant,
    next_read_at: Instant,
    order: Option<SentOrder>,
    is_removed: bool,
}

/// State machine of the rollout within one term of the lease; performs no I/O.
#[derive(Debug, Clone)]
pub struct RolloutCore {
    settings: RolloutSettings,
    engines: BTreeMap<UpstreamId, TrackedEngine>,
    refused_fencing_number: FencingNumber,
    /// Until this time, orders of an earlier term may still be applied, so no engine is read.
    reads_blocked_until: Instant,
}

impl RolloutCore {
    /// Creates the state of a term that starts at `now` and has read no engine yet.
    pub fn new(settings: RolloutSettings, now: Instant) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            refused_fencing_number: 0,
            reads_blocked_until: now + settings.order_settle_window,
        }
    }

    /// Applies the targets of the document.
    ///
    /// Engines that were removed from the document are tracked while they may be loading.
    pub fn configure(&mut self, now: Instant, targets: BTreeMap<UpstreamId, EngineTarget>) {
        for (id, engine) in &mut self.engines {
            engine.is_removed = !targets.contains_key(id);
            if engine.is_removed {
                engine.target.weight_version = None;
            }
        }
        for (id, target) in targets {
            let engine = self.engines.entry(id).or_insert_with(|| TrackedEngine {
                target: target.clone(),
                state: None,
                last_read_at: now,
                next_read_at: now,
                order: None,
                is_removed: false,
            });
            if engine.target != target {
                engine.target = target;
                engine.next_read_at = now;
            }
        }
        self.remove_idle(now);
    }

    /// Returns the engines whose state must be read at `now`.
    pub fn due_reads(&mut self, now: Instant) -> Vec<UpstreamId> {
        self.remove_idle(now);
        if now < self.reads_blocked_until {
            return Vec::new();
        }
        let is_due = |engine: &TrackedEngine| {
            let is_sent = engine
                .order
                .as_ref()
                .is_some_and(|order| !order.is_outcome_unknown);
            engine.next_read_at <= now && !is_sent
        };
        let due = self.engines.iter().filter(|(_, engine)| is_due(engine));
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Reports the state of an engine, or `None` if it could not be read.
    ///
    /// A new incarnation does not resolve an order of unknown outcome: the state known when the
    /// order was sent may have been that of the previous incarnation.
    pub fn state_read(&mut self, now: Instant, id: &str, state: Option<EngineState>) {
        let settings = self.settings;
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if let Some(state) = &state {
            engine.last_read_at = now;
            engine.order.take_if(|order| {
                let is_applied = state.loading || state.weight_version == order.weight_version;
                let is_window_over =
                    now.saturating_sub(order.sent_at) >= settings.order_settle_window;
                order.is_outcome_unknown && (is_applied || is_window_over)
            });
        }
        engine.state = state;
        engine.next_read_at = now + engine.poll_interval(now, &settings);
    }

    /// Returns the next order to send and records it as sent.
    ///
    /// The caller must report the outcome of each order with [`RolloutCore::order_completed`].
    pub fn next_order(&mut self, now: Instant, held: HeldTerm) -> Option<LoadOrder> {
        let loading_count = self.loading_engines(now).count();
        if loading_count >= self.settings.concurrent_loads_max
            || held.fencing_number <= self.refused_fencing_number
        {
            return None;
        }
        let (id, order) = self
            .engines
            .iter()
            .filter(|(_, engine)| self.settings.may_send(engine.target.fencing, held, now))
            .find_map(|(id, engine)| Some((id.clone(), self.order_if_due(now, id, engine)?)))?;
        let engine = self.engines.get_mut(&id)?;
        engine.order = Some(SentOrder {
            weight_version: order.weight_version.clone(),
            fencing: held.fencing_number,
            sent_at: now,
            is_outcome_unknown: false,
        });
        Some(LoadOrder {
            fencing: held.fencing_number,
            ..order
        })
    }

    /// Reports the outcome of an order.
    pub fn order_completed(&mut self, now: Instant, id: &str, outcome: OrderOutcome) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Some(mut order) = engine.order.take() else {
            return;
        };
        engine.next_read_at = now;
        match outcome {
            OrderOutcome::Accepted(state) => {
                order.is_outcome_unknown = true;
                engine.order = Some(order);
                let loading_poll_interval = self.settings.loading_poll_interval;
                self.state_read(now, id, Some(state));
                if let Some(engine) = self.engines.get_mut(id) {
                    engine.next_read_at = now + loading_poll_interval;
                }
            }
            OrderOutcome::Refused => {
                self.refused_fencing_number = self.refused_fencing_number.max(order.fencing);
                engine.state = None;
            }
            OrderOutcome::NotSent => engine.state = None,
            OrderOutcome::Unknown => {
                order.is_outcome_unknown = true;
                engine.order = Some(order);
                engine.state = None;
            }
        }
    }

    fn order_if_due(
        &self,
        now: Instant,
        id: &UpstreamId,
        engine: &TrackedEngine,
    ) -> Option<LoadOrder> {
        let state = engine.state.as_ref()?;
        let weight_version = engine.target.weight_version.as_ref()?;
        if engine.may_be_loading(now, &self.settings) || state.weight_version == *weight_version {
            return None;
        }
        if !engine
            .target
            .models
            .iter()
            .all(|model| self.is_load_allowed(now, id, model))
        {
            return None;
        }
        Some(LoadOrder {
            engine: id.clone(),
            model: engine.target.models.first()?.clone(),
            weight_version: weight_version.clone(),
            fencing_check: engine.target.fencing,
            fencing: 0,
        })
    }

    /// Returns whether loading on this engine leaves another engine available for the model, or the
    /// model has no other engine.
    fn is_load_allowed(&self, now: Instant, id: &UpstreamId, model: &ModelId) -> bool {
        let mut others = self
            .engines
            .iter()
            .filter(|(other, engine)| *other != id && engine.target.models.contains(model))
            .filter(|(_, engine)| !engine.is_removed)
            .filter(|(_, engine)| !engine.is_unreachable(now, &self.settings))
            .peekable();
        others.peek().is_none()
            || others.any(|(_, other)| !other.may_be_loading(now, &self.settings))
    }

    fn loading_engines(&self, now: Instant) -> impl Iterator<Item = &TrackedEngine> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.may_be_loading(now, &self.settings))
    }

    fn remove_idle(&mut self, now: Instant) {
        let settings = self.settings;
        self.engines
            .retain(|_, engine| !engine.is_removed || engine.may_be_loading(now, &settings));
    }
}

impl TrackedEngine {
    /// Returns whether the engine may be loading.
    fn may_be_loading(&self, now: Instant, settings: &RolloutSettings) -> bool {
        let reports_loading = self.state.as_ref().is_none_or(|state| state.loading);
        !self.is_unreachable(now, settings) && (reports_loading || self.order.is_some())
    }

    fn is_unreachable(&self, now: Instant, settings: &RolloutSettings) -> bool {
        self.state.is_none()
            && now.saturating_sub(self.last_read_at) >= settings.unreachable_timeout
    }

    fn poll_interval(&self, now: Instant, settings: &RolloutSettings) -> Duration {
        match self.may_be_loading(now, settings) {
            true => settings.loading_poll_interval,
            false => settings.idle_poll_interval,
        }
    }
}

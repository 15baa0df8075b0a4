//! Decisions about loading weights at the engines, without I/O.
//!
//! What is known of an engine comes from its own words only. An engine that may be loading, as it
//! says so, was not read yet, or has an order in doubt, counts as loading.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use super::HeldTerm;
use crate::clock::Instant;
use crate::document::FencingCheck;
use crate::ids::{FencingNumber, Incarnation, ModelId, UpstreamId, WeightVersion};

/// Engines that load weights at once, over the whole fleet.
pub const CONCURRENT_LOADS_MAX: usize = 2;
/// Part of the lease that must be left for an order to an engine that ignores fencing numbers.
pub const LEASE_MARGIN_DIVISOR: u32 = 2;

/// Times and bounds of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Engines that load at once.
    pub concurrent_loads_max: usize,
    /// Time of the lease that must be left where old fencing numbers are ignored.
    pub lease_margin: Duration,
    /// Time between reads of an engine that may be loading.
    pub loading_poll_interval: Duration,
    /// Time between reads of any other engine.
    pub idle_poll_interval: Duration,
    /// How long an order without an answer may still take effect.
    pub order_settle_window: Duration,
    /// Silence after which an engine no longer counts as loading.
    pub unreachable_timeout: Duration,
}

impl RolloutSettings {
    /// Derives the margin from how long the lease holds.
    pub fn from_lease_ttl(lease: Duration) -> Self {
        Self {
            concurrent_loads_max: CONCURRENT_LOADS_MAX,
            lease_margin: lease / LEASE_MARGIN_DIVISOR,
            loading_poll_interval: Duration::from_millis(500),
            idle_poll_interval: Duration::from_secs(30),
            order_settle_window: lease,
            unreachable_timeout: Duration::from_secs(60),
        }
    }

    /// Returns whether an order may be sent at `now` under a term.
    pub fn may_send(&self, fencing: FencingCheck, held: HeldTerm, now: Instant) -> bool {
        let left = held.valid_until.saturating_sub(now);
        match fencing {
            FencingCheck::Refuses => !left.is_zero(),
            FencingCheck::Ignores => left >= self.lease_margin,
        }
    }
}

/// What the document says of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineTarget {
    /// Models that it serves.
    pub models: Vec<ModelId>,
    /// Weight version that it should have, or nothing where it gets no orders.
    pub weight_version: Option<WeightVersion>,
    /// How it treats old fencing numbers.
    pub fencing: FencingCheck,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct EngineState {
    /// Number that changes with each start.
    pub incarnation: Incarnation,
    /// Highest fencing number seen.
    pub fencing: FencingNumber,
    /// Weight version that it has.
    pub weight_version: WeightVersion,
    /// Whether it loads weights.
    pub loading: bool,
}

/// Order to load weights; to repeat it changes nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Engine that it is for.
    pub engine: UpstreamId,
    /// Model whose weights to load.
    pub model: ModelId,
    /// Version to load.
    pub weight_version: WeightVersion,
    /// How the engine treats old fencing numbers.
    pub fencing_check: FencingCheck,
    /// Term that the order is given under.
    pub fencing: FencingNumber,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it and is now in this state.
    Accepted(EngineState),
    /// The engine refused it, as it has seen a higher fencing number.
    Refused,
    /// It was certainly not sent.
    NotSent,
    /// It may have taken effect, or may yet.
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

/// Rollout as one term of the lease sees it.
#[derive(Debug, Clone)]
pub struct RolloutCore {
    settings: RolloutSettings,
    engines: BTreeMap<UpstreamId, TrackedEngine>,
    refused_fencing_number: FencingNumber,
    /// Until then, orders of an earlier term may still take effect, so nothing is read.
    reads_blocked_until: Instant,
}

impl RolloutCore {
    /// Creates the view of a term that starts at `now` and has read no engine yet.
    pub fn new(settings: RolloutSettings, now: Instant) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            refused_fencing_number: 0,
            reads_blocked_until: now + settings.order_settle_window,
        }
    }

    /// Takes over what the document says; engines that left it are followed while they may load.
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

    /// Returns the engines to read now.
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

    /// Reports what an engine says, or nothing where it could not be read.
    ///
    /// A new incarnation does not end the doubt about an order: what was known when the order was
    /// sent may have been of the incarnation before.
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

    /// Decides the next order and counts it as sent.
    ///
    /// Every order is followed by one call of [`RolloutCore::order_completed`].
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

    /// Reports what became of an order.
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

    /// Returns whether a model keeps an engine while this one loads, or has no other.
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

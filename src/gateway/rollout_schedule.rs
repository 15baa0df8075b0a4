//! Schedule of a weight rollout: decides which engine loads the target weights next.
//!
//! Load pattern: new target weights are set every few seconds under load. Few engines load at a
//! time, the next ones receive no new requests shortly before, and a version that has been replaced
//! is skipped. The schedule performs no I/O, and the time is passed in. Each order states how many
//! orders the engine must have accepted before, so that a delayed one is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use super::model::WeightNumber;
use super::upstream_registry::UpstreamInstance;
use crate::clock::Instant;
use crate::ids::UpstreamId;

/// Limits and times of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSettings {
    /// One in this many engines may drain or load at the same time.
    pub concurrency_divisor: usize,
    /// Time without new requests before an order, in which short requests complete.
    pub drain_time: Duration,
    /// Time from an order to the first check, if the weights are not seen in place.
    pub first_check_delay: Duration,
    /// Time between further checks.
    pub recheck_interval: Duration,
    /// Estimated time for one engine to complete its requests and load the weights.
    pub load_time_estimate: Duration,
    /// Time from an order after which an engine that has not loaded no longer delays the others.
    pub give_up_timeout: Duration,
    /// Timeout of the first call to an engine; doubles with each call without a response.
    pub call_timeout: Duration,
    /// Maximum timeout of a call.
    pub call_timeout_max: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            // A third of the engines complete their requests while others load.
            concurrency_divisor: 3,
            // One heartbeat, so that the other VMs stop sending requests.
            drain_time: Duration::from_millis(50),
            first_check_delay: Duration::from_millis(250),
            recheck_interval: Duration::from_millis(120),
            // Requests of about 50 output tokens complete, and loading takes a third of a second.
            load_time_estimate: Duration::from_millis(800),
            give_up_timeout: Duration::from_millis(2_500),
            call_timeout: Duration::from_millis(500),
            call_timeout_max: Duration::from_millis(2_000),
        }
    }
}

/// State of an engine, from its entry in the store and its own reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Name and process lifetime.
    pub instance: UpstreamInstance,
    /// Weights that it is known to have; `None` if unknown.
    pub weights: Option<WeightNumber>,
    /// Requests in flight at it.
    pub requests: u32,
    /// Whether it was recently unreachable or failing.
    pub is_unreachable: bool,
}

/// Call to make to an engine next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutAction {
    /// Request its report, and order the weights if it lacks them.
    Order(UpstreamInstance),
    /// Check whether an earlier order has been carried out.
    Check(UpstreamInstance),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has received no new requests since this time.
    Draining(Instant),
    /// A call to it is in flight; contains the time at which an order was first sent, if any.
    CallPending(Option<Instant>),
    /// An order was sent, first at `ordered_at`; the next check is due at `check_at`.
    Loading {
        ordered_at: Instant,
        check_at: Instant,
    },
}

/// Engine that drains or loads.
#[derive(Debug)]
struct RolloutEntry {
    instance: UpstreamInstance,
    phase: Phase,
    /// Whether it counted as unreachable when it was chosen.
    was_unreachable: bool,
}

/// What has gone wrong with an engine that is behind.
#[derive(Debug)]
struct EngineFailures {
    instance: UpstreamInstance,
    /// Whether it has exceeded the timeout of an order.
    is_given_up: bool,
    /// Number of calls without a response.
    lost_calls: u32,
}

/// Rollout of one model's weights, as run by the lease holder.
#[derive(Debug, Default)]
pub struct RolloutSchedule {
    settings: RolloutSettings,
    entries: BTreeMap<UpstreamId, RolloutEntry>,
    /// Engines that are behind and with which something has gone wrong.
    failures: BTreeMap<UpstreamId, EngineFailures>,
}

impl RolloutSchedule {
    /// Creates a schedule without orders.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the calls to make now so that all engines have the weights `target` by `due`.
    pub fn next_actions(
        &mut self,
        target: WeightNumber,
        engines: &[EngineView],
        due: Instant,
        now: Instant,
    ) -> Vec<RolloutAction> {
        self.remove_finished(target, engines, now);
        let time_left = due.saturating_sub(now);
        self.start_draining(target, engines, time_left, now);
        let mut actions = Vec::new();
        for entry in self.entries.values_mut() {
            let (instance, phase) = (&entry.instance, &mut entry.phase);
            match *phase {
                Phase::Draining(since) if now.saturating_sub(since) >= self.settings.drain_time => {
                    *phase = Phase::CallPending(None);
                    actions.push(RolloutAction::Order(instance.clone()));
                }
                Phase::Loading {
                    ordered_at,
                    check_at,
                } if now >= check_at => {
                    *phase = Phase::CallPending(Some(ordered_at));
                    actions.push(RolloutAction::Check(instance.clone()));
                }
                _ => {}
            }
        }
        actions
    }

    /// Records that an order was sent, whatever the response.
    pub fn record_order(&mut self, instance: &UpstreamInstance, now: Instant) {
        let settings = self.settings;
        self.set_phase(instance, |earlier| Phase::Loading {
            ordered_at: earlier.unwrap_or(now),
            check_at: match earlier {
                None => now + settings.first_check_delay,
                Some(_) => now + settings.recheck_interval,
            },
        });
    }

    /// Records that an engine is still busy.
    pub fn record_still_loading(&mut self, instance: &UpstreamInstance, now: Instant) {
        self.record_order(instance, now);
    }

    /// Removes an engine that did not respond to a call in time, and allows its next call more
    /// time.
    pub fn record_lost_call(&mut self, instance: &UpstreamInstance) {
        self.failures_of(instance).lost_calls += 1;
        self.finish(instance);
    }

    /// Returns the timeout of the next call to an engine.
    pub fn call_timeout(&self, instance: &UpstreamInstance) -> Duration {
        let failures = self.failures.get(&instance.id);
        let failures = failures.filter(|failures| failures.instance == *instance);
        let lost_calls = failures.map_or(0, |failures| failures.lost_calls);
        let timeout = self.settings.call_timeout * 2_u32.saturating_pow(lost_calls);
        timeout.min(self.settings.call_timeout_max)
    }

    /// Removes an engine that has the weights or accepts no orders.
    pub fn finish(&mut self, instance: &UpstreamInstance) {
        self.entries.retain(|_, entry| entry.instance != *instance);
    }

    /// Returns the engines that drain or load.
    pub fn engines_in_rollout(&self) -> impl Iterator<Item = &UpstreamId> {
        self.entries.keys()
    }

    fn set_phase(&mut self, instance: &UpstreamInstance, phase: impl Fn(Option<Instant>) -> Phase) {
        let entry = self.entries.get_mut(&instance.id);
        let Some(entry) = entry.filter(|entry| entry.instance == *instance) else {
            return;
        };
        let earlier = match entry.phase {
            Phase::CallPending(earlier) => earlier,
            Phase::Loading { ordered_at, .. } => Some(ordered_at),
            Phase::Draining(_) => None,
        };
        entry.phase = phase(earlier);
    }

    fn failures_of(&mut self, instance: &UpstreamInstance) -> &mut EngineFailures {
        let new = || EngineFailures {
            instance: instance.clone(),
            is_given_up: false,
            lost_calls: 0,
        };
        let failures = self.failures.entry(instance.id.clone()).or_insert_with(new);
        if failures.instance != *instance {
            *failures = new();
        }
        failures
    }

    /// Removes engines that have left or restarted, have the weights, or exceed the timeout.
    fn remove_finished(&mut self, target: WeightNumber, engines: &[EngineView], now: Instant) {
        let give_up_timeout = self.settings.give_up_timeout;
        self.failures.retain(|_, failures| {
            let mut views = engines.iter();
            views.any(|view| view.instance == failures.instance && is_behind(view, target))
        });
        let mut given_up = Vec::new();
        self.entries.retain(|id, entry| {
            let instance = &entry.instance;
            let view = engines.iter().find(|view| view.instance.id == *id);
            let is_same = view.is_some_and(|view| view.instance == *instance);
            let is_behind = view.is_some_and(|view| is_behind(view, target));
            let is_given_up = match entry.phase {
                Phase::Loading { ordered_at, .. } => {
                    now.saturating_sub(ordered_at) > give_up_timeout
                }
                Phase::Draining(_) | Phase::CallPending(_) => false,
            };
            if is_same && is_behind && is_given_up {
                given_up.push(instance.clone());
            }
            is_same && is_behind && !is_given_up
        });
        for instance in given_up {
            self.failures_of(&instance).is_given_up = true;
        }
    }

    /// Returns how many reachable engines may be in the rollout at the same time: a fixed fraction
    /// of them, or as many as needed to complete it in the time left, up to half of them.
    fn reachable_max(
        &self,
        engines: &[EngineView],
        time_left: Duration,
        target: WeightNumber,
    ) -> usize {
        let reachable = engines.iter().filter(|view| !view.is_unreachable);
        let count = reachable.clone().count().max(1);
        let behind = reachable.filter(|view| is_behind(view, target)).count();
        let total_load_time = self.settings.load_time_estimate * behind as u32;
        let needed = total_load_time
            .as_millis()
            .div_ceil(time_left.as_millis().max(1)) as usize;
        let base = count.div_ceil(self.settings.concurrency_divisor.max(1));
        base.max(needed.min(count.div_ceil(2)))
    }

    /// Returns how many engines that count as unreachable may be in the rollout besides: as many as
    /// needed to complete it in the time left, up to half of them.
    ///
    /// They may only respond late, and serve few requests meanwhile.
    fn unreachable_max(
        &self,
        engines: &[EngineView],
        time_left: Duration,
        target: WeightNumber,
    ) -> usize {
        let unreachable = engines.iter().filter(|view| view.is_unreachable);
        let count = unreachable.clone().count();
        let behind = unreachable.filter(|view| is_behind(view, target)).count();
        let total_load_time = self.settings.load_time_estimate * behind as u32;
        let needed = total_load_time.as_millis() / time_left.as_millis().max(1);
        (needed as usize).min(count.div_ceil(2))
    }

    /// Stops new requests to the next engines: those furthest behind, and of these the least
    /// loaded. Engines that are unreachable or were given up come last.
    fn start_draining(
        &mut self,
        target: WeightNumber,
        engines: &[EngineView],
        time_left: Duration,
        now: Instant,
    ) {
        let mut behind: Vec<_> = engines
            .iter()
            .filter(|view| is_behind(view, target))
            .collect();
        behind.retain(|view| !self.entries.contains_key(&view.instance.id));
        behind.sort_by_key(|view| {
            let id = view.instance.id.clone();
            let failures = self.failures.get(&id);
            let is_given_up = failures.is_some_and(|failures| failures.is_given_up);
            (is_given_up, view.weights, view.requests, id)
        });
        let (unreachable, reachable): (Vec<_>, Vec<_>) =
            behind.into_iter().partition(|view| view.is_unreachable);
        let entries = self.entries.values();
        let unreachable_count = entries.filter(|entry| entry.was_unreachable).count();
        let reachable_free = self
            .reachable_max(engines, time_left, target)
            .saturating_sub(self.entries.len() - unreachable_count);
        // Unreachable engines also take the places that the others leave.
        let left_free = reachable_free.saturating_sub(reachable.len());
        let unreachable_free = (self.unreachable_max(engines, time_left, target) + left_free)
            .saturating_sub(unreachable_count);
        let reachable = reachable.into_iter().take(reachable_free);
        let unreachable = unreachable.into_iter().take(unreachable_free);
        for view in reachable.chain(unreachable) {
            let entry = RolloutEntry {
                instance: view.instance.clone(),
                phase: Phase::Draining(now),
                was_unreachable: view.is_unreachable,
            };
            self.entries.insert(view.instance.id.clone(), entry);
        }
    }
}

fn is_behind(view: &EngineView, target: WeightNumber) -> bool {
    view.weights.is_none_or(|weights| weights < target)
}

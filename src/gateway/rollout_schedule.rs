//! Which engine loads new weights next.
//!
//! Load pattern: weights are named every few seconds while callers press. Few engines load at a
//! time, the next ones get no new work shortly before, and a version that was replaced is skipped.
//! Pure: the time is passed in, and each order names how many the engine must have accepted before,
//! so that one carried out late is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use super::model::WeightNumber;
use super::upstream_registry::UpstreamInstance;
use crate::clock::Instant;
use crate::ids::UpstreamId;

/// Bounds of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Parts of the engines that load or wait for their runs to end at once: one in so many.
    pub concurrency_divisor: usize,
    /// Time without new work before an order, in which short runs end.
    pub drain_time: Duration,
    /// Time after which an order that is not seen in force is looked into.
    pub first_check_delay: Duration,
    /// Time between further looks.
    pub recheck_interval: Duration,
    /// Time that an engine takes, with the end of its runs.
    pub load_time_estimate: Duration,
    /// Time after which an engine that does not answer no longer holds up the others.
    pub give_up_timeout: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            // The runs of a third of the engines end while others load.
            concurrency_divisor: 3,
            // One beat, so that the other VMs send nothing more.
            drain_time: Duration::from_millis(50),
            first_check_delay: Duration::from_millis(250),
            recheck_interval: Duration::from_millis(120),
            // Runs of some 50 tokens end, and a load takes a third of a second.
            load_time_estimate: Duration::from_millis(800),
            give_up_timeout: Duration::from_millis(2_500),
        }
    }
}

/// Engine as the store and its own answers show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// One start of it.
    pub instance: UpstreamInstance,
    /// Weights that it is known to have.
    pub weights: Option<WeightNumber>,
    /// Requests that run there.
    pub requests: u32,
    /// Whether it could not be reached a moment ago.
    pub is_unreachable: bool,
}

/// What to do next about an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutAction {
    /// Ask for its state, and order the weights if it lacks them.
    Order(UpstreamInstance),
    /// Ask whether an earlier order is in force.
    Check(UpstreamInstance),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It gets no new work since a time.
    Draining(Instant),
    /// A call to it is under way, begun for an order that was first sent at a time.
    CallPending(Option<Instant>),
    /// An order was sent, first at one time; it is looked into at another.
    Loading {
        ordered_at: Instant,
        check_at: Instant,
    },
}

/// Rollout of one model's weights, as the holder of the lease sees it.
#[derive(Debug, Default)]
pub struct RolloutSchedule {
    settings: RolloutSettings,
    phases: BTreeMap<UpstreamId, (UpstreamInstance, Phase)>,
}

impl RolloutSchedule {
    /// Creates a rollout that has ordered nothing.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Decides what to do now to bring all engines to the weights named last by the time `due`.
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
        let mut next_actions = Vec::new();
        for (instance, phase) in self.phases.values_mut() {
            match *phase {
                Phase::Draining(since) if now.saturating_sub(since) >= self.settings.drain_time => {
                    *phase = Phase::CallPending(None);
                    next_actions.push(RolloutAction::Order(instance.clone()));
                }
                Phase::Loading {
                    ordered_at,
                    check_at,
                } if now >= check_at => {
                    *phase = Phase::CallPending(Some(ordered_at));
                    next_actions.push(RolloutAction::Check(instance.clone()));
                }
                _ => {}
            }
        }
        next_actions
    }

    /// Notes that an order was sent, whatever the answer.
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

    /// Notes that an engine is still busy.
    pub fn record_still_loading(&mut self, instance: &UpstreamInstance, now: Instant) {
        self.record_order(instance, now);
    }

    /// Notes that an engine has the weights, or takes no orders.
    pub fn finish(&mut self, instance: &UpstreamInstance) {
        self.phases.retain(|_, (known, _)| known != instance);
    }

    /// Returns the engines that load or are about to.
    pub fn engines_in_rollout(&self) -> impl Iterator<Item = &UpstreamId> {
        self.phases.keys()
    }

    fn set_phase(&mut self, instance: &UpstreamInstance, phase: impl Fn(Option<Instant>) -> Phase) {
        let Some((known, current)) = self.phases.get_mut(&instance.id) else {
            return;
        };
        if known == instance {
            let earlier = match *current {
                Phase::CallPending(earlier) => earlier,
                Phase::Loading { ordered_at, .. } => Some(ordered_at),
                Phase::Draining(_) => None,
            };
            *current = phase(earlier);
        }
    }

    /// Forgets engines that are gone or have the weights.
    fn remove_finished(&mut self, target: WeightNumber, engines: &[EngineView], now: Instant) {
        let give_up_timeout = self.settings.give_up_timeout;
        self.phases.retain(|id, (instance, phase)| {
            let view = engines.iter().find(|view| view.instance.id == *id);
            let is_same = view.is_some_and(|view| view.instance == *instance);
            let is_behind = view.is_some_and(|view| is_behind(view, target));
            let is_given_up = match *phase {
                Phase::Loading { ordered_at, .. } => {
                    now.saturating_sub(ordered_at) > give_up_timeout
                }
                Phase::Draining(_) | Phase::CallPending(_) => false,
            };
            is_same && is_behind && !is_given_up
        });
    }

    /// Returns how many engines may be out of service at once: a fixed share, or as many as it takes
    /// to be done in the time left, but never more than half.
    fn concurrency_max(
        &self,
        engines: &[EngineView],
        time_left: Duration,
        target: WeightNumber,
    ) -> usize {
        let live = engines.iter().filter(|view| !view.is_unreachable);
        let count = live.clone().count().max(1);
        let behind = live.filter(|view| is_behind(view, target)).count();
        let work = self.settings.load_time_estimate * behind as u32;
        let needed = work.as_millis().div_ceil(time_left.as_millis().max(1)) as usize;
        let share = count.div_ceil(self.settings.concurrency_divisor.max(1));
        share.max(needed.min(count.div_ceil(2)))
    }

    /// Takes the next engines out of new work: those furthest behind, and of these the idlest.
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
        behind.retain(|view| !self.phases.contains_key(&view.instance.id));
        behind.sort_by_key(|view| {
            let id = view.instance.id.clone();
            (view.is_unreachable, view.weights, view.requests, id)
        });
        let concurrency_max = self.concurrency_max(engines, time_left, target);
        let free = concurrency_max.saturating_sub(self.phases.len());
        for view in behind.into_iter().take(free) {
            let instance = view.instance.clone();
            let phase = Phase::Draining(now);
            self.phases.insert(instance.id.clone(), (instance, phase));
        }
    }
}

fn is_behind(view: &EngineView, target: WeightNumber) -> bool {
    view.weights.is_none_or(|weights| weights < target)
}

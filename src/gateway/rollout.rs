//! Which engine loads new weights next.
//!
//! Load pattern: weights are named every few seconds while callers press. Few engines load at a
//! time, the next ones get no new work shortly before, and a version that was replaced is skipped.
//! Pure: the time is passed in, and each order names how many the engine must have accepted before,
//! so that one carried out late is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use super::fleet::Instance;
use super::model::WeightNumber;
use crate::clock::Instant;
use crate::ids::UpstreamId;

/// Bounds of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Parts of the engines that load or wait for their runs to end at once: one in so many.
    pub at_once_divisor: usize,
    /// Time without new work before an order, in which short runs end.
    pub lead: Duration,
    /// Time after which an order that is not seen in force is looked into.
    pub check_after: Duration,
    /// Time between further looks.
    pub check_again: Duration,
    /// Time that an engine takes, with the end of its runs.
    pub engine_time: Duration,
    /// Time after which an engine that does not answer no longer holds up the others.
    pub give_up_after: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            // The runs of a third of the engines end while others load.
            at_once_divisor: 3,
            // One beat, so that the other VMs send nothing more.
            lead: Duration::from_millis(50),
            check_after: Duration::from_millis(250),
            check_again: Duration::from_millis(120),
            // Runs of some 50 tokens end, and a load takes a third of a second.
            engine_time: Duration::from_millis(800),
            give_up_after: Duration::from_millis(2_500),
        }
    }
}

/// Engine as the store and its own answers show it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// One start of it.
    pub instance: Instance,
    /// Weights that it is known to have.
    pub weights: Option<WeightNumber>,
    /// Requests that run there.
    pub requests: u32,
    /// Whether it could not be reached a moment ago.
    pub is_unreachable: bool,
}

/// What to do next about an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask for its state, and order the weights if it lacks them.
    Order(Instance),
    /// Ask whether an earlier order is in force.
    Check(Instance),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It gets no new work since a time.
    Next(Instant),
    /// A call to it is under way, begun for an order that was first sent at a time.
    Calling(Option<Instant>),
    /// An order was sent, first at one time; it is looked into at another.
    Loading { since: Instant, check_at: Instant },
}

/// Rollout of one model's weights, as the holder of the lease sees it.
#[derive(Debug, Default)]
pub struct Rollout {
    settings: RolloutSettings,
    phases: BTreeMap<UpstreamId, (Instance, Phase)>,
}

impl Rollout {
    /// Creates a rollout that has ordered nothing.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Decides what to do now to bring all engines to the weights named last by the time `due`.
    pub fn steps(
        &mut self,
        named: WeightNumber,
        engines: &[EngineView],
        due: Instant,
        now: Instant,
    ) -> Vec<Step> {
        self.forget_done(named, engines, now);
        let time_left = due.saturating_sub(now);
        self.announce(named, engines, time_left, now);
        let mut steps = Vec::new();
        for (instance, phase) in self.phases.values_mut() {
            match *phase {
                Phase::Next(since) if now.saturating_sub(since) >= self.settings.lead => {
                    *phase = Phase::Calling(None);
                    steps.push(Step::Order(instance.clone()));
                }
                Phase::Loading { since, check_at } if now >= check_at => {
                    *phase = Phase::Calling(Some(since));
                    steps.push(Step::Check(instance.clone()));
                }
                _ => {}
            }
        }
        steps
    }

    /// Notes that an order was sent, whatever the answer.
    pub fn ordered(&mut self, instance: &Instance, now: Instant) {
        let settings = self.settings;
        self.set(instance, |earlier| Phase::Loading {
            since: earlier.unwrap_or(now),
            check_at: match earlier {
                None => now + settings.check_after,
                Some(_) => now + settings.check_again,
            },
        });
    }

    /// Notes that an engine is still busy.
    pub fn still_loading(&mut self, instance: &Instance, now: Instant) {
        self.ordered(instance, now);
    }

    /// Notes that an engine has the weights, or takes no orders.
    pub fn done(&mut self, instance: &Instance) {
        self.phases.retain(|_, (known, _)| known != instance);
    }

    /// Returns the engines that load or are about to.
    pub fn rolling(&self) -> impl Iterator<Item = &UpstreamId> {
        self.phases.keys()
    }

    fn set(&mut self, instance: &Instance, phase: impl Fn(Option<Instant>) -> Phase) {
        let Some((known, current)) = self.phases.get_mut(&instance.id) else {
            return;
        };
        if known == instance {
            let earlier = match *current {
                Phase::Calling(earlier) => earlier,
                Phase::Loading { since, .. } => Some(since),
                Phase::Next(_) => None,
            };
            *current = phase(earlier);
        }
    }

    /// Forgets engines that are gone or have the weights.
    fn forget_done(&mut self, named: WeightNumber, engines: &[EngineView], now: Instant) {
        let give_up_after = self.settings.give_up_after;
        self.phases.retain(|id, (instance, phase)| {
            let view = engines.iter().find(|view| view.instance.id == *id);
            let is_same = view.is_some_and(|view| view.instance == *instance);
            let is_behind = view.is_some_and(|view| is_behind(view, named));
            let is_given_up = match *phase {
                Phase::Loading { since, .. } => now.saturating_sub(since) > give_up_after,
                Phase::Next(_) | Phase::Calling(_) => false,
            };
            is_same && is_behind && !is_given_up
        });
    }

    /// Returns how many engines may be out of service at once: a fixed share, or as many as it takes
    /// to be done in the time left, but never more than half.
    fn at_once(&self, engines: &[EngineView], time_left: Duration, named: WeightNumber) -> usize {
        let live = engines.iter().filter(|view| !view.is_unreachable);
        let count = live.clone().count().max(1);
        let behind = live.filter(|view| is_behind(view, named)).count();
        let work = self.settings.engine_time * behind as u32;
        let needed = work.as_millis().div_ceil(time_left.as_millis().max(1)) as usize;
        let share = count.div_ceil(self.settings.at_once_divisor.max(1));
        share.max(needed.min(count.div_ceil(2)))
    }

    /// Takes the next engines out of new work: those furthest behind, and of these the idlest.
    fn announce(
        &mut self,
        named: WeightNumber,
        engines: &[EngineView],
        time_left: Duration,
        now: Instant,
    ) {
        let mut behind: Vec<_> = engines
            .iter()
            .filter(|view| is_behind(view, named))
            .collect();
        behind.retain(|view| !self.phases.contains_key(&view.instance.id));
        behind.sort_by_key(|view| {
            let id = view.instance.id.clone();
            (view.is_unreachable, view.weights, view.requests, id)
        });
        let at_once = self.at_once(engines, time_left, named);
        let free = at_once.saturating_sub(self.phases.len());
        for view in behind.into_iter().take(free) {
            let instance = view.instance.clone();
            let phase = Phase::Next(now);
            self.phases.insert(instance.id.clone(), (instance, phase));
        }
    }
}

fn is_behind(view: &EngineView, named: WeightNumber) -> bool {
    view.weights.is_none_or(|weights| weights < named)
}

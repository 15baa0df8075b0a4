//! Brings engines to the weights that the operator named, while the lease is held.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::edge::{Order, OrderReply};
use super::hub::Hub;
use super::journal::Event;
use super::model::WeightNumber;
use super::orders::{self, CallFailure};
use super::rollout_schedule::{EngineView, RolloutAction, RolloutSchedule, RolloutSettings};
use super::upstream_registry::UpstreamInstance;
use crate::clock::Instant;
use crate::ids::{FencingNumber, ModelId};
use crate::steward::Held;

/// Time between two looks at engines while weights are rolled out.
const STEP_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two looks while all engines have their weights.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the lease that must be left for an order.
const LEFT_DIVISOR: u32 = 4;
/// Part of the time for new weights in which all engines should have them; the rest is for orders
/// that are lost.
const DUE_PART: f64 = 0.85;

/// Result of a call about one engine's weights.
struct Reply {
    model: ModelId,
    instance: UpstreamInstance,
    outcome: Outcome,
}

enum Outcome {
    InPlace(WeightNumber),
    Ordered,
    Busy,
    Unreachable,
    Fenced(FencingNumber),
    Gone,
}

/// Rolls named weights out while the lease is held, until dropped.
pub(super) async fn roll_out(hub: Arc<Hub>, mut held: watch::Receiver<Option<Held>>) {
    let mut rollouts: HashMap<ModelId, RolloutSchedule> = HashMap::new();
    let (sender, mut replies) = mpsc::unbounded_channel::<Reply>();
    let mut term = 0;
    let mut acquired_at = Instant::ZERO;
    let mut fenced = 0;
    let mut in_place = HashMap::new();
    loop {
        let current = *held.borrow_and_update();
        let now = hub.now();
        let Some(term_held) = current.filter(|held| held.until > now) else {
            rollouts.clear();
            set_rolling(&hub, &rollouts);
            if held.changed().await.is_err() {
                return;
            }
            continue;
        };
        if term_held.fencing_number != term {
            term = term_held.fencing_number;
            acquired_at = now;
            rollouts.clear();
        }
        let may_order = may_order(&hub, term_held, acquired_at, now) && term > fenced;
        let is_busy =
            may_order && step(&hub, &mut rollouts, &mut in_place, term_held, &sender, now);
        set_rolling(&hub, &rollouts);
        let interval = if is_busy {
            STEP_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = hub.weights_named.notified() => {}
            changed = held.changed() => if changed.is_err() { return },
            reply = replies.recv() => if let Some(reply) = reply {
                if let Outcome::Fenced(number) = reply.outcome {
                    fenced = fenced.max(number);
                }
                take_reply(&hub, &mut rollouts, reply);
            },
        }
    }
}

/// Returns whether orders may be sent under a term.
///
/// Engines that ignore fencing numbers get none before any order of the term before is over.
fn may_order(hub: &Hub, held: Held, acquired_at: Instant, now: Instant) -> bool {
    let lease = hub.settings.bounds.lease;
    let left = held.until.saturating_sub(now);
    let is_quiet = hub.settings.bounds.engines_check_fencing || now >= acquired_at + lease;
    left >= lease / LEFT_DIVISOR && is_quiet
}

/// Makes the calls that are due; returns whether engines are behind.
fn step(
    hub: &Arc<Hub>,
    rollouts: &mut HashMap<ModelId, RolloutSchedule>,
    in_place: &mut HashMap<UpstreamInstance, WeightNumber>,
    held: Held,
    sender: &mpsc::UnboundedSender<Reply>,
    now: Instant,
) -> bool {
    let named: Vec<(ModelId, WeightNumber)> = {
        let core = hub.core();
        core.named
            .iter()
            .map(|(model, history)| (model.clone(), history.newest()))
            .collect()
    };
    let mut is_busy = false;
    for (model, named) in named {
        let views = views(hub, &model, now);
        log_in_place(hub, in_place, &model, named, &views, now);
        is_busy |= views
            .iter()
            .any(|view| view.weights.is_none_or(|has| has < named));
        let rollout = rollouts
            .entry(model.clone())
            .or_insert_with(|| RolloutSchedule::new(RolloutSettings::default()));
        let due = due(hub, &model, &views, now);
        for step in rollout.next_actions(named, &views, due, now) {
            let instance = match step {
                RolloutAction::Order(instance) | RolloutAction::Check(instance) => instance,
            };
            let (hub, sender, model) = (hub.clone(), sender.clone(), model.clone());
            tokio::spawn(async move {
                let outcome = bring(&hub, &instance, &model, named, held).await;
                // The receiver is gone only when the process ends.
                let _ = sender.send(Reply {
                    model,
                    instance,
                    outcome,
                });
            });
        }
    }
    is_busy
}

/// Returns when all engines have to have the weights named last.
fn due(hub: &Hub, model: &ModelId, views: &[EngineView], now: Instant) -> Instant {
    let core = hub.core();
    let has = views.iter().map(|view| view.weights.unwrap_or_default());
    let first = core
        .named
        .get(model)
        .and_then(|history| history.earliest_behind_since(has));
    first.unwrap_or(now) + hub.settings.bounds.weights.mul_f64(DUE_PART)
}

/// Tells of engines that have the weights named last since the step before.
fn log_in_place(
    hub: &Hub,
    in_place: &mut HashMap<UpstreamInstance, WeightNumber>,
    model: &ModelId,
    named: WeightNumber,
    views: &[EngineView],
    now: Instant,
) {
    let named_at = hub
        .core()
        .named
        .get(model)
        .and_then(|history| history.newest_at());
    let after = named_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
    for view in views.iter().filter(|view| view.weights == Some(named)) {
        if in_place.insert(view.instance.clone(), named) != Some(named) {
            hub.meters.weights_in_place(after);
            let event = Event::WeightsInPlace {
                upstream: &view.instance.id,
                model,
                weights: named,
                after_ms: after.as_millis() as u64,
            };
            hub.journal.state(&event);
        }
    }
}

fn views(hub: &Hub, model: &str, now: Instant) -> Vec<EngineView> {
    let core = hub.core();
    let engines = core.fleet.iter().filter(|engine| engine.is_ready());
    let with_model = engines.filter(|engine| engine.weights(model).is_some());
    let views = with_model.map(|engine| EngineView {
        instance: engine.instance.clone(),
        weights: engine.weights(model),
        requests: core.work_at(engine).requests,
        is_unreachable: engine.is_avoided(now),
    });
    views.collect()
}

/// Asks an engine for its state, and orders the weights if it lacks them and is free.
async fn bring(
    hub: &Hub,
    instance: &UpstreamInstance,
    model: &ModelId,
    named: WeightNumber,
    held: Held,
) -> Outcome {
    let report = match orders::report(hub, instance).await {
        Ok(report) => report,
        Err(failure) => {
            let reason = failure.to_string();
            hub.journal.state(&Event::OrderNotSent {
                upstream: &instance.id,
                reason,
            });
            return Outcome::Unreachable;
        }
    };
    let has = report
        .weights
        .iter()
        .find(|(name, _)| name == model)
        .map(|(_, number)| *number);
    if let Some(has) = has.filter(|has| *has >= named) {
        return Outcome::InPlace(has);
    }
    if report.is_busy {
        return Outcome::Busy;
    }
    // The call before took time, in which the process may have been paused.
    let left = held.until.saturating_sub(hub.now());
    if left < hub.settings.bounds.lease / LEFT_DIVISOR {
        return Outcome::Busy;
    }
    let fencing = held.fencing_number;
    let order = Order {
        engine: instance.id.clone(),
        model: model.clone(),
        weights: named,
        holder: hub.settings.vm.clone(),
        fencing,
        expected_orders: report.orders,
    };
    let reply = orders::give(hub, instance, &order).await;
    log_order(hub, &order, &reply);
    match reply {
        Ok(OrderReply::Accepted) => Outcome::Ordered,
        Ok(OrderReply::Holds) => Outcome::InPlace(named),
        Ok(OrderReply::Busy) => Outcome::Busy,
        Ok(OrderReply::Fenced) => Outcome::Fenced(fencing),
        Ok(OrderReply::OtherEngine | OrderReply::Wrong) => Outcome::Gone,
        Err(CallFailure::NotSent(_)) => Outcome::Unreachable,
        Err(CallFailure::NoAnswer(_)) => Outcome::Ordered,
    }
}

fn log_order(hub: &Hub, order: &Order, reply: &Result<OrderReply, CallFailure>) {
    let name = match reply {
        Ok(OrderReply::Accepted) => "accepted",
        Ok(OrderReply::Holds) => "holds",
        Ok(OrderReply::Busy) => "busy",
        Ok(OrderReply::Fenced) => "fenced",
        Ok(OrderReply::OtherEngine) => "other_engine",
        Ok(OrderReply::Wrong) => "wrong",
        Err(CallFailure::NotSent(_)) => "not_sent",
        Err(CallFailure::NoAnswer(_)) => "no_answer",
    };
    hub.meters.order(name);
    let reply = match reply {
        Ok(_) => name.to_owned(),
        Err(failure) => failure.to_string(),
    };
    hub.journal.state(&Event::OrderSent {
        upstream: &order.engine,
        model: &order.model,
        weights: order.weights,
        fencing: order.fencing,
        expected_orders: order.expected_orders,
        reply,
    });
}

fn take_reply(hub: &Hub, rollouts: &mut HashMap<ModelId, RolloutSchedule>, reply: Reply) {
    let now = hub.now();
    let Some(rollout) = rollouts.get_mut(&reply.model) else {
        return;
    };
    let instance = &reply.instance;
    match reply.outcome {
        Outcome::InPlace(weights) => {
            rollout.finish(instance);
            let mut core = hub.core();
            if let Some(engine) = core.fleet.instance_mut(instance) {
                engine.record_weights(&reply.model, weights);
            }
            drop(core);
            hub.beat_due.notify_one();
        }
        Outcome::Ordered => rollout.record_order(instance, now),
        Outcome::Busy => rollout.record_still_loading(instance, now),
        Outcome::Unreachable => {
            // It comes up again once it can be reached, and holds up no other until then.
            rollout.finish(instance);
            if let Some(engine) = hub.core().fleet.instance_mut(instance) {
                engine.record_unreachable(now);
            }
        }
        Outcome::Fenced(_) | Outcome::Gone => rollout.finish(instance),
    }
}

fn set_rolling(hub: &Hub, rollouts: &HashMap<ModelId, RolloutSchedule>) {
    let rolling: Vec<_> = rollouts
        .values()
        .flat_map(RolloutSchedule::engines_in_rollout)
        .cloned()
        .collect();
    let mut core = hub.core();
    let is_news = core.rolling != rolling;
    core.rolling = rolling;
    drop(core);
    if is_news {
        hub.beat_due.notify_one();
    }
}

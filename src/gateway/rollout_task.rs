//! Brings engines to the weights that the operator named, while the lease is held.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::engine_client::{self, CallFailure};
use super::event_log::LogEvent;
use super::fleet::Instance;
use super::model::WeightNumber;
use super::platform_api::{Order, OrderReply};
use super::rollout::{EngineView, Rollout, RolloutSettings, Step};
use super::state::Gateway;
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
    instance: Instance,
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
pub(super) async fn roll_out(gateway: Arc<Gateway>, mut held: watch::Receiver<Option<Held>>) {
    let mut rollouts: HashMap<ModelId, Rollout> = HashMap::new();
    let (sender, mut replies) = mpsc::unbounded_channel::<Reply>();
    let mut term = 0;
    let mut acquired_at = Instant::ZERO;
    let mut fenced = 0;
    let mut in_place = HashMap::new();
    loop {
        let current = *held.borrow_and_update();
        let now = gateway.now();
        let Some(term_held) = current.filter(|held| held.until > now) else {
            rollouts.clear();
            set_rolling(&gateway, &rollouts);
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
        let may_order = may_order(&gateway, term_held, acquired_at, now) && term > fenced;
        let is_busy = may_order
            && step(
                &gateway,
                &mut rollouts,
                &mut in_place,
                term_held,
                &sender,
                now,
            );
        set_rolling(&gateway, &rollouts);
        let interval = if is_busy {
            STEP_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = gateway.weights_named.notified() => {}
            changed = held.changed() => if changed.is_err() { return },
            reply = replies.recv() => if let Some(reply) = reply {
                if let Outcome::Fenced(number) = reply.outcome {
                    fenced = fenced.max(number);
                }
                take_reply(&gateway, &mut rollouts, reply);
            },
        }
    }
}

/// Returns whether orders may be sent under a term.
///
/// Engines that ignore fencing numbers get none before any order of the term before is over.
fn may_order(gateway: &Gateway, held: Held, acquired_at: Instant, now: Instant) -> bool {
    let lease = gateway.settings.bounds.lease;
    let left = held.until.saturating_sub(now);
    let is_quiet = gateway.settings.bounds.engines_check_fencing || now >= acquired_at + lease;
    left >= lease / LEFT_DIVISOR && is_quiet
}

/// Makes the calls that are due; returns whether engines are behind.
fn step(
    gateway: &Arc<Gateway>,
    rollouts: &mut HashMap<ModelId, Rollout>,
    in_place: &mut HashMap<Instance, WeightNumber>,
    held: Held,
    sender: &mpsc::UnboundedSender<Reply>,
    now: Instant,
) -> bool {
    let named: Vec<(ModelId, WeightNumber)> = {
        let state = gateway.state();
        state
            .named_weights
            .iter()
            .map(|(model, history)| (model.clone(), history.newest()))
            .collect()
    };
    let mut is_busy = false;
    for (model, named) in named {
        let views = views(gateway, &model, now);
        log_in_place(gateway, in_place, &model, named, &views, now);
        is_busy |= views
            .iter()
            .any(|view| view.weights.is_none_or(|has| has < named));
        let rollout = rollouts
            .entry(model.clone())
            .or_insert_with(|| Rollout::new(RolloutSettings::default()));
        let due = due(gateway, &model, &views, now);
        for step in rollout.steps(named, &views, due, now) {
            let instance = match step {
                Step::Order(instance) | Step::Check(instance) => instance,
            };
            let (gateway, sender, model) = (gateway.clone(), sender.clone(), model.clone());
            tokio::spawn(async move {
                let outcome = bring(&gateway, &instance, &model, named, held).await;
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
fn due(gateway: &Gateway, model: &ModelId, views: &[EngineView], now: Instant) -> Instant {
    let state = gateway.state();
    let has = views.iter().map(|view| view.weights.unwrap_or_default());
    let first = state
        .named_weights
        .get(model)
        .and_then(|history| history.first_missed(has));
    first.unwrap_or(now) + gateway.settings.bounds.weights.mul_f64(DUE_PART)
}

/// Tells of engines that have the weights named last since the step before.
fn log_in_place(
    gateway: &Gateway,
    in_place: &mut HashMap<Instance, WeightNumber>,
    model: &ModelId,
    named: WeightNumber,
    views: &[EngineView],
    now: Instant,
) {
    let named_at = gateway
        .state()
        .named_weights
        .get(model)
        .and_then(|history| history.newest_at());
    let after = named_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
    for view in views.iter().filter(|view| view.weights == Some(named)) {
        if in_place.insert(view.instance.clone(), named) != Some(named) {
            gateway.metrics.weights_in_place(after);
            let event = LogEvent::WeightsInPlace {
                upstream: &view.instance.id,
                model,
                weights: named,
                after_ms: after.as_millis() as u64,
            };
            gateway.event_log.log(&event);
        }
    }
}

fn views(gateway: &Gateway, model: &str, now: Instant) -> Vec<EngineView> {
    let state = gateway.state();
    let engines = state.fleet.iter().filter(|engine| engine.is_ready());
    let with_model = engines.filter(|engine| engine.weights(model).is_some());
    let views = with_model.map(|engine| EngineView {
        instance: engine.instance.clone(),
        weights: engine.weights(model),
        requests: state.work_at(engine).requests,
        is_unreachable: engine.is_avoided(now),
    });
    views.collect()
}

/// Asks an engine for its state, and orders the weights if it lacks them and is free.
async fn bring(
    gateway: &Gateway,
    instance: &Instance,
    model: &ModelId,
    named: WeightNumber,
    held: Held,
) -> Outcome {
    let report = match engine_client::report(gateway, instance).await {
        Ok(report) => report,
        Err(failure) => {
            let reason = failure.to_string();
            gateway.event_log.log(&LogEvent::OrderNotSent {
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
    let left = held.until.saturating_sub(gateway.now());
    if left < gateway.settings.bounds.lease / LEFT_DIVISOR {
        return Outcome::Busy;
    }
    let fencing = held.fencing_number;
    let order = Order {
        engine: instance.id.clone(),
        model: model.clone(),
        weights: named,
        holder: gateway.settings.vm.clone(),
        fencing,
        expected_orders: report.orders,
    };
    let reply = engine_client::give(gateway, instance, &order).await;
    log_order(gateway, &order, &reply);
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

fn log_order(gateway: &Gateway, order: &Order, reply: &Result<OrderReply, CallFailure>) {
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
    gateway.metrics.order(name);
    let reply = match reply {
        Ok(_) => name.to_owned(),
        Err(failure) => failure.to_string(),
    };
    gateway.event_log.log(&LogEvent::OrderSent {
        upstream: &order.engine,
        model: &order.model,
        weights: order.weights,
        fencing: order.fencing,
        expected_orders: order.expected_orders,
        reply,
    });
}

fn take_reply(gateway: &Gateway, rollouts: &mut HashMap<ModelId, Rollout>, reply: Reply) {
    let now = gateway.now();
    let Some(rollout) = rollouts.get_mut(&reply.model) else {
        return;
    };
    let instance = &reply.instance;
    match reply.outcome {
        Outcome::InPlace(weights) => {
            rollout.done(instance);
            let mut state = gateway.state();
            if let Some(engine) = state.fleet.instance_mut(instance) {
                engine.saw_weights(&reply.model, weights);
            }
            drop(state);
            gateway.heartbeat_due.notify_one();
        }
        Outcome::Ordered => rollout.ordered(instance, now),
        Outcome::Busy => rollout.still_loading(instance, now),
        Outcome::Unreachable => {
            // It comes up again once it can be reached, and holds up no other until then.
            rollout.done(instance);
            if let Some(engine) = gateway.state().fleet.instance_mut(instance) {
                engine.unreachable(now);
            }
        }
        Outcome::Fenced(_) | Outcome::Gone => rollout.done(instance),
    }
}

fn set_rolling(gateway: &Gateway, rollouts: &HashMap<ModelId, Rollout>) {
    let engines_in_rollout: Vec<_> = rollouts
        .values()
        .flat_map(Rollout::rolling)
        .cloned()
        .collect();
    let mut state = gateway.state();
    let is_news = state.engines_in_rollout != engines_in_rollout;
    state.engines_in_rollout = engines_in_rollout;
    drop(state);
    if is_news {
        gateway.heartbeat_due.notify_one();
    }
}

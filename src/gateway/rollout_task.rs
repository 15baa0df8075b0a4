//! Rollout of the operator's target weights to engines, while this VM holds the lease.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::engine_client::{self, CallFailure};
use super::event_log::LogEvent;
use super::model::WeightNumber;
use super::order_window::OrderWindow;
use super::platform_api::{Order, OrderReply};
use super::rollout_schedule::{RolloutAction, RolloutSchedule, RolloutSettings};
use super::rollout_view::{ModelView, model_views, rollout_deadline};
use super::state::Gateway;
use super::upstream_registry::UpstreamInstance;
use crate::clock::Instant;
use crate::ids::{FencingNumber, ModelId};
use crate::steward::HeldTerm;

/// Interval between two passes over the engines while some lack the target weights.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between two passes while all engines have the target weights or no order may be sent.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Calls that update one engine.
struct UpdateCall {
    instance: UpstreamInstance,
    model: ModelId,
    target: WeightNumber,
    /// Timeout of each call.
    timeout: Duration,
    /// Number of the term under which the calls were started.
    fencing: FencingNumber,
    held: watch::Receiver<Option<HeldTerm>>,
}

/// Result of the calls that update one engine.
struct UpdateResult {
    model: ModelId,
    instance: UpstreamInstance,
    outcome: UpdateOutcome,
}

enum UpdateOutcome {
    UpToDate(WeightNumber),
    Ordered,
    Busy,
    Unreachable,
    /// The call may have arrived, but no usable response was received in time.
    LostCall,
    Fenced(FencingNumber),
    Rejected,
}

/// Rolls out the target weights whenever the lease is held, until dropped.
///
/// Names the term in which orders are due through `ordering`, while they are.
pub(super) async fn run_rollouts(
    gateway: Arc<Gateway>,
    mut held: watch::Receiver<Option<HeldTerm>>,
    ordering: Arc<watch::Sender<Option<FencingNumber>>>,
) {
    let mut rollouts: HashMap<ModelId, RolloutSchedule> = HashMap::new();
    let (result_sender, mut result_receiver) = mpsc::unbounded_channel::<UpdateResult>();
    let mut targets = gateway.target_weights_changed.subscribe();
    let mut term = 0;
    let mut highest_fenced_term = 0;
    let mut updated_engines = HashMap::new();
    loop {
        let current = *held.borrow_and_update();
        let now = gateway.now();
        let Some(held_lease) = current.filter(|held| held.valid_until > now) else {
            rollouts.clear();
            publish_engines_in_rollout(&gateway, &rollouts);
            publish_ordering(&ordering, None);
            if held.changed().await.is_err() {
                return;
            }
            continue;
        };
        if held_lease.fencing_number != term {
            term = held_lease.fencing_number;
            rollouts.clear();
        }
        let window = order_window(&gateway);
        let is_fenced = term <= highest_fenced_term;
        let models = match window.can_open(held_lease, now) {
            true if !is_fenced => model_views(&gateway, &mut updated_engines, now),
            _ => Vec::new(),
        };
        let is_behind = models.iter().any(ModelView::is_behind);
        publish_ordering(&ordering, is_behind.then_some(term));
        if window.is_open(held_lease, now) {
            start_calls(
                &gateway,
                &mut rollouts,
                (term, &held),
                &models,
                &result_sender,
            );
        }
        publish_engines_in_rollout(&gateway, &rollouts);
        let interval = if is_behind {
            ROLLOUT_INTERVAL
        } else {
            match window.time_until_open(held_lease, now) {
                Duration::ZERO => IDLE_INTERVAL,
                until_open => until_open.min(IDLE_INTERVAL),
            }
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            // The sender lives as long as the gateway.
            _ = targets.changed() => {}
            changed = held.changed() => if changed.is_err() { return },
            result = result_receiver.recv() => if let Some(result) = result {
                if let UpdateOutcome::Fenced(number) = result.outcome {
                    highest_fenced_term = highest_fenced_term.max(number);
                }
                apply_result(&gateway, &mut rollouts, result);
            },
        }
    }
}

/// Returns the rules for the time of orders.
pub(super) fn order_window(gateway: &Gateway) -> OrderWindow {
    let bounds = &gateway.settings.bounds;
    OrderWindow {
        lease_ttl: bounds.lease_ttl,
        engines_check_fencing: bounds.engines_check_fencing,
    }
}

/// Starts the calls that are due.
fn start_calls(
    gateway: &Arc<Gateway>,
    rollouts: &mut HashMap<ModelId, RolloutSchedule>,
    (fencing, held): (FencingNumber, &watch::Receiver<Option<HeldTerm>>),
    models: &[ModelView],
    result_sender: &mpsc::UnboundedSender<UpdateResult>,
) {
    let now = gateway.now();
    for view in models {
        let target = view.target;
        let rollout = rollouts
            .entry(view.model.clone())
            .or_insert_with(|| RolloutSchedule::new(RolloutSettings::default()));
        let deadline = rollout_deadline(gateway, &view.model, &view.engines, now);
        for step in rollout.next_actions(target, &view.engines, deadline, now) {
            let instance = match step {
                RolloutAction::Order(instance) | RolloutAction::Check(instance) => instance,
            };
            let call = UpdateCall {
                timeout: rollout.call_timeout(&instance),
                instance,
                model: view.model.clone(),
                target,
                fencing,
                held: held.clone(),
            };
            let (gateway, result_sender) = (gateway.clone(), result_sender.clone());
            tokio::spawn(async move {
                let outcome = update_engine(&gateway, &call).await;
                // Sending fails only during shutdown, when the receiver has been dropped.
                let _ = result_sender.send(UpdateResult {
                    model: call.model,
                    instance: call.instance,
                    outcome,
                });
            });
        }
    }
}

/// Reads an engine's report, and orders it to load the target weights if it lacks them and executes
/// no other order.
async fn update_engine(gateway: &Gateway, call: &UpdateCall) -> UpdateOutcome {
    let (instance, target) = (&call.instance, call.target);
    let now = gateway.now();
    let is_held_off = gateway
        .state()
        .upstreams
        .get(&instance.id)
        .is_some_and(|engine| engine.held_off_until(now).is_some());
    if is_held_off {
        return UpdateOutcome::Busy;
    }
    let report = match engine_client::fetch_report(gateway, instance, call.timeout).await {
        Ok(report) => report,
        Err(failure) => {
            let reason = failure.to_string();
            gateway.event_log.log(&LogEvent::OrderNotSent {
                upstream: &instance.id,
                reason,
            });
            return match failure {
                CallFailure::NotSent(_) => UpdateOutcome::Unreachable,
                CallFailure::NoResponse(_) => UpdateOutcome::LostCall,
            };
        }
    };
    let current = report
        .weights
        .iter()
        .find(|(name, _)| *name == call.model)
        .map(|(_, number)| *number);
    if let Some(current) = current.filter(|current| *current >= target) {
        return UpdateOutcome::UpToDate(current);
    }
    if report.is_busy {
        return UpdateOutcome::Busy;
    }
    // The lease may have been released or have expired during the previous call, or while the
    // process was paused.
    let held = *call.held.borrow();
    let held = held.filter(|held| held.fencing_number == call.fencing);
    if !held.is_some_and(|held| order_window(gateway).is_open(held, gateway.now())) {
        return UpdateOutcome::Busy;
    }
    let order = Order {
        engine: instance.id.clone(),
        model: call.model.clone(),
        weights: target,
        holder: gateway.settings.vm.clone(),
        fencing: call.fencing,
        expected_orders: report.orders,
    };
    let reply = engine_client::send_order(gateway, instance, &order, call.timeout).await;
    log_order(gateway, &order, &reply);
    match reply {
        Ok(OrderReply::Accepted) => UpdateOutcome::Ordered,
        Ok(OrderReply::AlreadyLoaded) => UpdateOutcome::UpToDate(target),
        Ok(OrderReply::Busy) => UpdateOutcome::Busy,
        Ok(OrderReply::Fenced) => UpdateOutcome::Fenced(call.fencing),
        Ok(OrderReply::WrongEngine | OrderReply::Invalid) => UpdateOutcome::Rejected,
        Err(CallFailure::NotSent(_)) => UpdateOutcome::Unreachable,
        Err(CallFailure::NoResponse(_)) => UpdateOutcome::Ordered,
    }
}

fn log_order(gateway: &Gateway, order: &Order, reply: &Result<OrderReply, CallFailure>) {
    let name = match reply {
        Ok(OrderReply::Accepted) => "accepted",
        Ok(OrderReply::AlreadyLoaded) => "holds",
        Ok(OrderReply::Busy) => "busy",
        Ok(OrderReply::Fenced) => "fenced",
        Ok(OrderReply::WrongEngine) => "other_engine",
        Ok(OrderReply::Invalid) => "wrong",
        Err(CallFailure::NotSent(_)) => "not_sent",
        Err(CallFailure::NoResponse(_)) => "no_answer",
    };
    gateway.metrics.count_order(name);
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

fn apply_result(
    gateway: &Gateway,
    rollouts: &mut HashMap<ModelId, RolloutSchedule>,
    result: UpdateResult,
) {
    let now = gateway.now();
    let Some(rollout) = rollouts.get_mut(&result.model) else {
        return;
    };
    let instance = &result.instance;
    match result.outcome {
        UpdateOutcome::UpToDate(weights) => {
            rollout.finish(instance);
            let mut state = gateway.state();
            if let Some(engine) = state.upstreams.instance_mut(instance) {
                engine.record_weights(&result.model, weights);
            }
            drop(state);
            gateway.heartbeat_due.notify_one();
        }
        UpdateOutcome::Ordered => rollout.record_order(instance, now),
        UpdateOutcome::Busy => rollout.record_still_loading(instance, now),
        // The engine is considered again once it is reachable, and does not block others until then.
        UpdateOutcome::Unreachable => {
            rollout.finish(instance);
            record_unreachable(gateway, instance, now);
        }
        UpdateOutcome::LostCall => {
            rollout.record_lost_call(instance);
            record_unreachable(gateway, instance, now);
        }
        UpdateOutcome::Fenced(_) | UpdateOutcome::Rejected => rollout.finish(instance),
    }
}

fn record_unreachable(gateway: &Gateway, instance: &UpstreamInstance, now: Instant) {
    if let Some(engine) = gateway.state().upstreams.instance_mut(instance) {
        engine.record_unreachable(now);
    }
}

fn publish_ordering(ordering: &watch::Sender<Option<FencingNumber>>, term: Option<FencingNumber>) {
    ordering.send_if_modified(|published| std::mem::replace(published, term) != term);
}

fn publish_engines_in_rollout(gateway: &Gateway, rollouts: &HashMap<ModelId, RolloutSchedule>) {
    let engines_in_rollout: Vec<_> = rollouts
        .values()
        .flat_map(RolloutSchedule::engines_in_rollout)
        .cloned()
        .collect();
    let mut state = gateway.state();
    let is_changed = state.engines_in_rollout != engines_in_rollout;
    state.engines_in_rollout = engines_in_rollout;
    drop(state);
    if is_changed {
        gateway.heartbeat_due.notify_one();
    }
}

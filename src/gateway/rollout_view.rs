//! State of the engines of each model relative to the operator's target weights.

use std::collections::HashMap;
use std::time::Duration;

use super::event_log::LogEvent;
use super::model::WeightNumber;
use super::rollout_schedule::EngineView;
use super::state::Gateway;
use super::upstream_registry::UpstreamInstance;
use crate::clock::Instant;
use crate::ids::ModelId;

/// Fraction of the time limit for new weights within which all engines should have them; the rest
/// allows for lost orders.
const ROLLOUT_DEADLINE_FRACTION: f64 = 0.85;

/// Target weights of a model, with the engines that serve it.
pub(super) struct ModelView {
    pub(super) model: ModelId,
    pub(super) target: WeightNumber,
    pub(super) engines: Vec<EngineView>,
}

impl ModelView {
    /// Returns whether some engine lacks the target weights.
    pub(super) fn is_behind(&self) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|view| view.weights.is_none_or(|current| current < self.target))
    }
}

/// Returns the state of all models, and logs the engines that have reached their target weights.
pub(super) fn model_views(
    gateway: &Gateway,
    updated_engines: &mut HashMap<UpstreamInstance, WeightNumber>,
    now: Instant,
) -> Vec<ModelView> {
    let targets: Vec<(ModelId, WeightNumber)> = {
        let state = gateway.state();
        state
            .weight_histories
            .iter()
            .map(|(model, history)| (model.clone(), history.newest()))
            .collect()
    };
    let views = targets.into_iter().map(|(model, target)| {
        let engines = engine_views(gateway, &model, now);
        log_updated_engines(gateway, updated_engines, &model, target, &engines, now);
        ModelView {
            model,
            target,
            engines,
        }
    });
    views.collect()
}

/// Returns the time by which all engines should have the target weights.
pub(super) fn rollout_deadline(
    gateway: &Gateway,
    model: &ModelId,
    engine_views: &[EngineView],
    now: Instant,
) -> Instant {
    let state = gateway.state();
    let current = engine_views
        .iter()
        .map(|view| view.weights.unwrap_or_default());
    let first = state
        .weight_histories
        .get(model)
        .and_then(|history| history.earliest_behind_since(current));
    first.unwrap_or(now)
        + gateway
            .settings
            .bounds
            .weights_timeout
            .mul_f64(ROLLOUT_DEADLINE_FRACTION)
}

/// Logs and counts engines that have reached the target weights since the previous pass.
fn log_updated_engines(
    gateway: &Gateway,
    updated_engines: &mut HashMap<UpstreamInstance, WeightNumber>,
    model: &ModelId,
    target: WeightNumber,
    engine_views: &[EngineView],
    now: Instant,
) {
    let target_set_at = gateway
        .state()
        .weight_histories
        .get(model)
        .and_then(|history| history.newest_at());
    let after = target_set_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
    for view in engine_views
        .iter()
        .filter(|view| view.weights == Some(target))
    {
        if updated_engines.insert(view.instance.clone(), target) != Some(target) {
            gateway.metrics.record_weights_in_place(after);
            let event = LogEvent::WeightsInPlace {
                upstream: &view.instance.id,
                model,
                weights: target,
                after_ms: after.as_millis() as u64,
            };
            gateway.event_log.log(&event);
        }
    }
}

fn engine_views(gateway: &Gateway, model: &str, now: Instant) -> Vec<EngineView> {
    let state = gateway.state();
    let engines = state.upstreams.iter().filter(|engine| engine.is_ready());
    let with_model = engines.filter(|engine| engine.weights(model).is_some());
    let engine_views = with_model.map(|engine| EngineView {
        instance: engine.instance.clone(),
        weights: engine.weights(model),
        requests: state.total_load(engine).requests,
        is_unreachable: engine.is_avoided(now),
    });
    engine_views.collect()
}

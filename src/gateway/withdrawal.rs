//! Withdrawal of requests that would begin on replaced weights.
//!
//! A request that waits at its engine may outlast the time limit for new weights: they may be set
//! after it was sent, and the engine may be full or silent.

use std::time::Duration;

use super::attempt_failure::{AttemptFailure, FailureCause};
use super::model::RouteKind;
use super::placement::DispatchedRequest;
use super::request::AdmittedRequest;
use crate::clock::Instant;

/// Fraction of the time limit for new weights after which a request that has not begun is
/// withdrawn; the rest is for the close of its connection to reach the engine.
const WITHDRAWAL_FRACTION: f64 = 0.9;

/// Time in which an event that has arrived is noticed.
const NOTICE_TIME: Duration = Duration::from_millis(20);

impl AdmittedRequest {
    /// Waits for a response, or for the next part of one.
    ///
    /// # Errors
    ///
    /// Returns [`FailureCause::Withdrawn`] if the request has had no event and would begin on
    /// replaced weights. Dropping the response then closes the connection, so that the engine drops
    /// the request.
    pub(super) async fn unless_withdrawn<T>(
        &self,
        dispatched: &DispatchedRequest,
        response: impl Future<Output = T>,
    ) -> Result<T, AttemptFailure> {
        tokio::select! {
            biased;
            response = response => Ok(response),
            () = self.withdrawal_due(dispatched) => {
                let reason = "the request has not begun, and the engine's weights were replaced";
                Err(AttemptFailure::Unknown(FailureCause::Withdrawn, reason.to_owned()))
            }
        }
    }

    /// Allows to send a withdrawn request to the same engine once it has the target weights.
    pub(super) fn allow_again(&mut self, dispatched: &DispatchedRequest) {
        let tried_upstreams = &mut self.placement_request.tried_upstreams;
        tried_upstreams.retain(|id| *id != dispatched.instance.id);
    }

    async fn withdrawal_due(&self, dispatched: &DispatchedRequest) {
        // A buffered response does not tell when its request began.
        if self.route.kind != RouteKind::Streaming || !dispatched.is_awaiting_first_response() {
            return std::future::pending().await;
        }
        let gateway = &self.gateway;
        let mut targets = gateway.target_weights_changed.subscribe();
        let weights_timeout = gateway.settings.bounds.weights_timeout;
        loop {
            let left = self.behind_since(dispatched).map(|since| {
                let withdraw_at = since + weights_timeout.mul_f64(WITHDRAWAL_FRACTION);
                withdraw_at.saturating_sub(gateway.now())
            });
            if left == Some(Duration::ZERO) {
                // After a pause of this process, the first event may have arrived already.
                tokio::time::sleep(NOTICE_TIME).await;
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left.unwrap_or(weights_timeout)) => {}
                // The sender lives as long as the gateway.
                _ = targets.changed() => {}
            }
        }
    }

    /// Returns since when the engine of a request has lacked target weights; `None` if it lacks
    /// none.
    pub(super) fn behind_since(&self, dispatched: &DispatchedRequest) -> Option<Instant> {
        let model = &self.placement_request.prompt.as_ref()?.model;
        let state = self.gateway.state();
        let engine = state.upstreams.get(&dispatched.instance.id);
        let engine = engine.filter(|engine| engine.instance == dispatched.instance);
        let known = engine.and_then(|engine| engine.weights(model));
        let weights = known.max(dispatched.weights).unwrap_or_default();
        state.weight_histories.get(model)?.behind_since(weights)
    }
}

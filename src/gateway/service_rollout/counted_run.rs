//! Counts a request in the log of its service's order, from its sending to its outcome.

use std::sync::Arc;

use http::StatusCode;

use super::counts::route_hash;
use super::request_log::{RequestOutcome, SentRequest, SentTo};
use crate::gateway::attempt_failure::{AttemptFailure, FailureCause};
use crate::gateway::model::ServiceId;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::state::Gateway;

/// Request that is counted; without an outcome it ends as abandoned.
#[derive(Debug)]
pub(in crate::gateway) struct CountedRun {
    gateway: Arc<Gateway>,
    service: ServiceId,
    request: SentRequest,
    is_target: bool,
}

impl CountedRun {
    /// Counts a request that is sent now; `None` if its service has no order.
    pub(in crate::gateway) fn start(
        gateway: &Arc<Gateway>,
        dispatched: &DispatchedRequest,
        route: &str,
    ) -> Option<Self> {
        let now = gateway.now();
        let mut state = gateway.state();
        let service = &dispatched.service;
        let order = &state.rollouts.get(service)?.entry.order;
        let is_target = dispatched.software.as_ref() == Some(&order.target);
        let sent_to = match is_target {
            true => SentTo::Target(&dispatched.instance.id),
            false => SentTo::Old,
        };
        let log = state.rollouts.log_mut(service)?;
        Some(Self {
            request: log.start(route_hash(route), sent_to, now),
            gateway: gateway.clone(),
            service: service.clone(),
            is_target,
        })
    }

    /// Records the first byte of a response that is no failure and no refusal.
    pub(in crate::gateway) fn respond(&self) {
        let now = self.gateway.now();
        if let Some(log) = self.gateway.state().rollouts.log_mut(&self.service) {
            log.respond(self.request, now);
        }
    }

    /// Records the outcome; later ones have no effect.
    pub(in crate::gateway) fn conclude(&self, outcome: RequestOutcome) {
        let now = self.gateway.now();
        if let Some(log) = self.gateway.state().rollouts.log_mut(&self.service) {
            log.conclude(self.request, outcome, now);
        }
        self.gateway
            .metrics
            .count_rollout_request(self.is_target, outcome);
    }
}

impl Drop for CountedRun {
    fn drop(&mut self) {
        let now = self.gateway.now();
        if let Some(log) = self.gateway.state().rollouts.log_mut(&self.service) {
            log.conclude(self.request, RequestOutcome::Abandoned, now);
        }
    }
}

/// Returns the outcome of a request whose response has this status.
pub(in crate::gateway) fn outcome_of_status(status: StatusCode) -> RequestOutcome {
    match status.is_server_error() {
        true => RequestOutcome::Failure,
        false => RequestOutcome::Success,
    }
}

/// Returns the outcome of a request whose attempt failed.
pub(in crate::gateway) fn outcome_of_failure(failure: &AttemptFailure) -> RequestOutcome {
    match failure {
        AttemptFailure::NotSent(_) | AttemptFailure::PermitExpired => RequestOutcome::Abandoned,
        AttemptFailure::NotRun(_) => RequestOutcome::Refusal,
        AttemptFailure::Unknown(cause, _) => match cause {
            FailureCause::Withdrawn | FailureCause::Unanswered => RequestOutcome::Abandoned,
            FailureCause::UnstatedRefusal => RequestOutcome::Refusal,
            _ => RequestOutcome::Failure,
        },
        AttemptFailure::Timeout => RequestOutcome::Failure,
    }
}

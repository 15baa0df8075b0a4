//! Handling of one caller's request: its attempts at upstreams, retries and refusals.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::{HeaderMap, Method, Response, Uri};

use super::admit::admit;
use super::attempt_failure::{AttemptFailure, FailureCause};
use super::attempt_progress::AttemptProgress;
use super::event_log::LogEvent;
use super::model::{Customer, Route, RouteKind};
use super::placement::DispatchedRequest;
use super::placement::{PlacementRequest, ROLLOUT_DRAW_MAX};
use super::platform_api::RequestHead;
use super::queue::{PlacementError, QueuedRequest, RequestCost};
use super::response::{draining_refusal, retryable_refusal};
use super::service_rollout::outcome_of_failure;
use super::state::Gateway;
use super::stream;
use crate::caller_memory::HeldBytes;
use crate::clock::Instant;
use crate::entry::RequestGuard;
use crate::error::{Code, Refusal};
use crate::ids::RequestId;

/// Maximum number of sends of one request, including those that the upstream did not run.
const SENDS_MAX: u32 = 4;
/// Retry delay returned to the caller after upstreams refused or could not be reached.
pub(super) const UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Fraction of the remaining time that a request may spend in the queue; the rest is for its
/// response.
const QUEUE_TIME_FRACTION: f64 = 0.5;
/// Remaining time below which a request is no longer sent to an upstream.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);
/// Weight in the upstream's failure rate of a response that states that the request was not run.
const NOT_RUN_FAILURE_WEIGHT: f64 = 0.3;

/// Request as received from the caller, before admission.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Body,
    /// Whether another VM has passed it on.
    pub(super) is_forwarded: bool,
}

/// Request that passed admission and may be sent to upstreams.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Arc<Route>,
    pub(super) customer: Option<Arc<Customer>>,
    pub(super) id: RequestId,
    pub(super) head: RequestHead,
    pub(super) arrived_at: Instant,
    pub(super) deadline: Instant,
    pub(super) placement_request: PlacementRequest,
    pub(super) progress: AttemptProgress,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: HeldBytes,
    /// Whether another VM has passed it on, so that no further one is asked.
    pub(super) is_forwarded: bool,
    /// Whether the customer is to be charged before an upstream is chosen, as the request was
    /// expected to be handled by another VM.
    pub(super) is_charge_due: bool,
}

/// Admits a request, forwards it and returns the response.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub(super) async fn respond(
    gateway: Arc<Gateway>,
    received: &mut ReceivedRequest,
    head: RequestHead,
    request_guard: RequestGuard,
) -> Result<Response<Body>, Refusal> {
    let admitted = admit(&gateway, received, head).await?;
    let request_guard = Arc::new(request_guard);
    match admitted.route.kind {
        RouteKind::Streaming => stream::respond(admitted, request_guard).await,
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            admitted.respond_buffered(&request_guard).await
        }
    }
}

impl AdmittedRequest {
    /// Chooses the upstream of the next attempt, waiting in the queue if necessary.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further attempt may follow.
    pub(super) async fn next_upstream(&mut self) -> Result<DispatchedRequest, Refusal> {
        self.check_time_before_stop()?;
        self.charge_if_due().await?;
        let now = self.gateway.now();
        let left = self.deadline.saturating_sub(now);
        if left < TIME_LEFT_MIN {
            return Err(self.refuse(
                Code::UpstreamTimeout,
                "too little time is left to send the request",
            ));
        }
        if !self.may_send() {
            return Err(self.refuse(
                Code::UpstreamRefused,
                "the maximum number of attempts failed",
            ));
        }
        self.placement_request.preferred_upstream = match self.progress.sends + 1 {
            SENDS_MAX => self.progress.closed_upstream.clone(),
            _ => None,
        };
        self.try_trial().await;
        let gateway = self.gateway.clone();
        let may_refuse_as_draining = !self.progress.may_have_run;
        let placed = tokio::select! {
            biased;
            placed = self.place(self.progress.runs) => placed,
            () = gateway.drain.wait_until_refusing(), if may_refuse_as_draining => {
                return Err(draining_refusal());
            }
        };
        gateway
            .metrics
            .record_queue_time(gateway.now().saturating_sub(now));
        let mut dispatched = placed.map_err(|error| self.refuse_unplaced(error))?;
        self.check_time_before_stop()?;
        let is_retry = self.progress.sends > 0;
        let service = &self.placement_request.service;
        match self.progress.must_retry {
            true => gateway.force_retry(service),
            false if is_retry && !gateway.take_retry(service) => {
                return Err(self.refuse(
                    Code::RetryBudget,
                    "the retry budget of the service is exhausted",
                ));
            }
            false => {}
        }
        if let Some(reason) = self.progress.last_failure.filter(|_| is_retry) {
            gateway.metrics.count_retry(reason);
        }
        self.record_placed(&mut dispatched, now);
        Ok(dispatched)
    }

    /// Chooses an untried upstream, waiting in the queue if necessary.
    ///
    /// `earlier_runs` is the number of upstreams that may have run the request by the time of the
    /// next attempt.
    ///
    /// # Errors
    ///
    /// Returns why the request was not placed.
    pub(super) async fn place(
        &self,
        earlier_runs: u32,
    ) -> Result<DispatchedRequest, PlacementError> {
        let is_final_run = earlier_runs > 0 && earlier_runs + 1 >= self.route.attempts;
        let placement_request = PlacementRequest {
            is_final_run,
            ..self.placement_request.clone()
        };
        self.check_quarantine(earlier_runs)?;
        let now = self.gateway.now();
        let left = self.deadline.saturating_sub(now);
        let queued_request = QueuedRequest {
            priority: self.priority(),
            // Set when the request enters the queue.
            prefill_tokens: 0,
            place_by: self.arrived_at + self.route.objective,
            deadline: now + left.mul_f64(QUEUE_TIME_FRACTION),
        };
        let prompt = self.placement_request.prompt.as_ref();
        let cost = RequestCost {
            output_tokens: prompt.map_or(0, |prompt| prompt.expected_output_tokens()),
            caller_deadline: self.deadline,
            is_most_urgent: self.placement_request.wait_objective >= self.route.objective,
        };
        let dispatched = loop {
            let gateway = &self.gateway;
            let mut dispatched = gateway
                .place(&self.id, &placement_request, queued_request, cost)
                .await?;
            if gateway.obtain_permit(&dispatched).await
                && gateway
                    .obtain_send_permit(&mut dispatched, self.deadline)
                    .await
            {
                break dispatched;
            }
        };
        // It may have been held while the request waited.
        self.check_quarantine(earlier_runs)?;
        Ok(dispatched)
    }

    /// Records the upstream of the next attempt, which was searched since `searched_since`.
    pub(super) fn record_placed(
        &mut self,
        dispatched: &mut DispatchedRequest,
        searched_since: Instant,
    ) {
        dispatched.attempt = self.progress.sends + 1;
        self.placement_request
            .tried_upstreams
            .push(dispatched.instance.id.clone());
        let gateway = &self.gateway;
        let estimate = dispatched.load_estimate;
        gateway.event_log.log_request(
            &self.id,
            &LogEvent::Placed {
                upstream: &dispatched.instance.id,
                attempt: dispatched.attempt,
                weights: dispatched.weights,
                held_tokens: dispatched.cached_tokens,
                ahead_tokens: dispatched.ahead_tokens,
                behind_ms: dispatched.time_behind.as_millis() as u64,
                waited_ms: gateway.now().saturating_sub(searched_since).as_millis() as u64,
                estimated_requests: estimate.map(|estimate| estimate.requests.round() as u32),
                load_age_ms: estimate
                    .and_then(|estimate| estimate.age)
                    .map(|age| age.as_millis() as u64),
            },
        );
    }

    /// Records a failed attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further attempt may follow.
    pub(super) fn record_failure(
        &mut self,
        dispatched: &DispatchedRequest,
        failure: AttemptFailure,
    ) -> Result<(), Refusal> {
        dispatched.count_outcome(outcome_of_failure(&failure));
        // Another attempt goes to the old version unless the target serves all requests.
        self.placement_request.rollout_draw = ROLLOUT_DRAW_MAX;
        let (outcome, cause, reason) = (failure.outcome(), failure.cause(), failure.to_string());
        self.gateway.metrics.count_attempt_failure(outcome, cause);
        self.gateway.event_log.log_request(
            &self.id,
            &LogEvent::AttemptFailed {
                upstream: &dispatched.instance.id,
                attempt: dispatched.attempt,
                outcome,
                cause,
                reason: &reason,
                after_ms: self
                    .gateway
                    .now()
                    .saturating_sub(dispatched.placed_at)
                    .as_millis() as u64,
                parts: self
                    .placement_request
                    .prompt
                    .as_ref()
                    .map(|_| self.shared_part_ids().collect::<Vec<_>>().join(",")),
                fingerprint: self.fingerprint(),
                stopping_ms: self.gateway.stopping_ms(),
            },
        );
        if cause == FailureCause::Connection {
            self.check_crash(dispatched);
            self.progress.is_suspected |= self.is_suspected(dispatched);
        }
        self.progress.last_failure = Some(outcome);
        match failure {
            AttemptFailure::NotSent(_) => {
                self.progress.record_trial(false);
                self.progress.unreachable_upstreams += 1;
                dispatched.record_unreachable();
                return Ok(());
            }
            AttemptFailure::PermitExpired => {
                self.progress.record_trial(false);
                self.progress.unreachable_upstreams += 1;
                self.allow_again(dispatched);
                return Ok(());
            }
            AttemptFailure::NotRun(_) => {
                self.progress.record_trial(false);
                dispatched.record_failure(NOT_RUN_FAILURE_WEIGHT);
                dispatched.record_rejection();
                return Ok(());
            }
            AttemptFailure::Unknown(FailureCause::Withdrawn, _) => self.allow_again(dispatched),
            // The time was too short to tell anything about the upstream.
            AttemptFailure::Unknown(FailureCause::Unanswered, _) => {}
            AttemptFailure::Unknown(..) | AttemptFailure::Timeout => {
                dispatched.record_failure(1.0);
                self.gateway.pool.close_idle(&dispatched.instance);
            }
        }
        self.progress.runs += 1;
        self.progress.may_have_run = true;
        let is_timeout = matches!(failure, AttemptFailure::Timeout);
        match self.may_retry() && !is_timeout {
            true => Ok(()),
            false if is_timeout => Err(self.refuse(Code::UpstreamTimeout, &reason)),
            false => Err(self.refuse(Code::UpstreamUnknown, &reason)),
        }
    }

    /// Returns whether the number of attempts allows another one.
    pub(super) fn may_send(&self) -> bool {
        self.progress.sends < SENDS_MAX && self.progress.unreachable_upstreams < SENDS_MAX
    }

    /// Returns whether requests of this kind may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        self.route.is_repeatable()
    }

    /// Returns whether the request may be run once more.
    pub(super) fn may_retry(&self) -> bool {
        self.is_repeatable()
            && !self.progress.is_suspected
            && self.progress.runs < self.route.attempts
    }

    /// Returns the refusal of a request that gets no further attempt.
    ///
    /// If an upstream may have run the request, the code of the refusal does not state that it did
    /// not run.
    pub(super) fn refuse(&self, code: Code, reason: &str) -> Refusal {
        match (self.progress.may_have_run, code) {
            (true, Code::UpstreamTimeout) => Refusal::new(code, reason),
            (true, _) => Refusal::new(Code::UpstreamUnknown, reason),
            (false, Code::UpstreamTimeout) => {
                retryable_refusal(Code::DeadlineExceeded, reason, UPSTREAM_RETRY_AFTER)
            }
            (false, code) => retryable_refusal(code, reason, UPSTREAM_RETRY_AFTER),
        }
    }

    pub(super) fn is_bound(&self) -> bool {
        self.placement_request.origin.is_some()
    }

    pub(super) fn priority(&self) -> u8 {
        let customer = self
            .customer
            .as_ref()
            .and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority)
    }
}

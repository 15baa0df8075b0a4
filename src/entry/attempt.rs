//! Attempts to run one completion request on the engines of its model.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::task::JoinHandle;

use super::app::App;
use super::auth::CallerKey;
use super::completion_request::CompletionRequest;
use super::engine_run::EngineRun;
use super::explain::RoutingExplanation;
use super::headers::{
    CACHE_SALT, CACHED_TOKENS, DEADLINE_MS, ENGINE_INCARNATION, EXPECTED_WEIGHT_VERSION, PRIORITY,
    REQUEST_ID, RESUME_POSITION, WEIGHT_VERSION,
};
use super::refusal;
use crate::clock::Instant;
use crate::document::{KeyDigest, Snapshot, Upstream};
use crate::error::{ExecutionStatus, Refusal};
use crate::fair::QueuedRequest;
use crate::idempotency::{Claim, IdempotencyKey, fingerprint};
use crate::ids::{CustomerId, RequestId, Tokens, UpstreamId, WeightVersion};
use crate::outcome::{AttemptFailure, AttemptHistory, NextStep, StopReason};
use crate::retry::backoff;
use crate::route::{EngineFailure, InFlight, ResponseHead, RoutingRequest};
use crate::telemetry::RetryReason;
use crate::upstream::{ConnectionReuse, UpstreamResponse};

/// Maximum number of attempts; the count restarts whenever a part of a response is forwarded.
const ENGINE_ATTEMPTS_MAX: usize = 4;

/// One completion request together with the state of its attempts.
#[derive(Debug)]
pub(super) struct EngineCall {
    pub(super) app: Arc<App>,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) customer_id: CustomerId,
    pub(super) key_digest: KeyDigest,
    pub(super) completion: CompletionRequest,
    pub(super) request_id: RequestId,
    pub(super) weight_version: WeightVersion,
    pub(super) cache_salt: String,
    pub(super) priority: HeaderValue,
    pub(super) deadline: Instant,
    pub(super) tried_upstreams: Vec<UpstreamId>,
    pub(super) retry_state: RetryState,
    pub(super) routing_request: RoutingRequest,
    pub(super) queued_request: QueuedRequest,
    pub(super) explanation: RoutingExplanation,
}

/// Results of the attempts so far, as far as later attempts depend on them.
#[derive(Debug, Default)]
pub(super) struct RetryState {
    history: AttemptHistory,
    pending_retry: Option<(RetryReason, UpstreamId)>,
    fresh_connection_retry: Option<UpstreamId>,
    is_stream_open: bool,
    pending_cancellations: Vec<(UpstreamId, JoinHandle<()>)>,
}

/// Engine response whose status and headers passed [`EngineCall::check_response`].
#[derive(Debug)]
pub(super) struct AcceptedResponse {
    pub(super) response: Response<Incoming>,
    pub(super) run: EngineRun,
}

impl EngineCall {
    /// Sends the request until an engine responds, starting at token `position`.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller when no further attempt is allowed.
    pub(super) async fn open(&mut self, position: Tokens) -> Result<AcceptedResponse, Refusal> {
        loop {
            let in_flight = self.next_engine().await?;
            let id = in_flight.upstream().clone();
            self.tried_upstreams.push(id.clone());
            let snapshot = self.snapshot.clone();
            let Some(upstream) = snapshot.upstream(&id) else {
                continue;
            };
            if !self.retry_state.history.allows_attempt(upstream.repeatable) {
                continue;
            }
            self.charge_retry_budget()?;
            self.wait_before_retry(&id).await;
            self.retry_state.history.start_attempt();
            let (app, request_id) = (self.app.clone(), self.request_id.clone());
            let run = EngineRun::new(app, snapshot.clone(), request_id, in_flight);
            let failure = match self.send_attempt(upstream, position).await {
                Ok(response) => {
                    run.in_flight().record_response(
                        &self.routing_request,
                        &self.parse_response_head(response.headers()),
                    );
                    return Ok(AcceptedResponse { response, run });
                }
                Err(failure) => failure,
            };
            self.record_failure(failure, run)?;
        }
    }

    /// Resumes a stream at token `position` after the caller has received the response head.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller when no further attempt is allowed.
    pub(super) async fn resume(&mut self, position: Tokens) -> Result<AcceptedResponse, Refusal> {
        self.retry_state.is_stream_open = true;
        self.open(position).await
    }

    /// Claims the idempotency key unless every engine of the model accepts repeated requests.
    pub(super) async fn claim_key(
        &self,
        key: Option<IdempotencyKey>,
    ) -> Result<Option<Claim>, Refusal> {
        let are_all_repeatable = self
            .snapshot
            .engines_for(&self.completion.model)
            .all(|(_, upstream)| upstream.repeatable);
        let Some(key) = key.filter(|_| !are_all_repeatable) else {
            return Ok(None);
        };
        let path = self.completion.endpoint.path();
        let fingerprint = fingerprint(&Method::POST, path, &self.completion.body);
        let claim = self
            .app
            .claims
            .claim(&key, fingerprint, self.request_id.clone());
        claim.await.map(Some)
    }

    /// Records that a part of the response was forwarded to the caller.
    pub(super) fn record_delivery(&mut self) {
        self.retry_state.history.record_delivery();
        // Engines that failed earlier may be tried again; the last entry is the sending engine.
        let earlier = self.tried_upstreams.len().saturating_sub(1);
        self.tried_upstreams.drain(..earlier);
    }

    /// Records a failed attempt and cancels its run unless the engine certainly did not start it.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller when no further attempt is allowed.
    pub(super) fn record_failure(
        &mut self,
        failure: AttemptFailure,
        run: EngineRun,
    ) -> Result<(), Refusal> {
        report_failure_to_router(failure, run.in_flight());
        let id = run.upstream().clone();
        let upstream = self.snapshot.upstream(&id);
        let is_repeatable = upstream.is_some_and(|upstream| upstream.repeatable);
        if let Some(upstream) = upstream.filter(|_| failure.may_be_connection_fault()) {
            self.app.client.mark_suspect(&upstream.address.to_string());
            self.retry_state.fresh_connection_retry = Some(id.clone());
        }
        match failure.ran() {
            ExecutionStatus::NotRun => run.finish(),
            ExecutionStatus::Ran | ExecutionStatus::Unknown => {
                let cancellation = run.cancel().map(|task| (id.clone(), task));
                self.retry_state.pending_cancellations.extend(cancellation);
            }
        }
        self.retry_state.pending_retry = Some((failure.retry_reason(), id));
        match self
            .retry_state
            .history
            .record_failure(failure, is_repeatable)
        {
            NextStep::Retry => Ok(()),
            NextStep::Finish(outcome) => Err(refusal::from_outcome(outcome, failure.to_string())),
        }
    }

    /// Returns the refusal for the caller when the attempts end for the reason `stop`.
    pub(super) fn refusal_for_stop(&self, stop: StopReason) -> Refusal {
        let message = match stop {
            StopReason::NoUpstream => {
                format!("no usable engine left for model {}", self.completion.model)
            }
            stop => stop.to_string(),
        };
        refusal::from_outcome(self.retry_state.history.outcome_at_stop(stop), message)
    }

    async fn next_engine(&mut self) -> Result<InFlight, Refusal> {
        if self.retry_state.history.attempt_count() >= ENGINE_ATTEMPTS_MAX {
            return Err(self.refusal_for_stop(StopReason::AttemptsUsed));
        }
        if self.app.clock.now() >= self.deadline {
            return Err(self.refusal_for_stop(StopReason::DeadlinePassed));
        }
        if let Some(in_flight) = self.choose_engine().await? {
            return Ok(in_flight);
        }
        // Every engine was tried: one whose connection failed gets another attempt on a fresh one.
        if let Some(id) = self.retry_state.fresh_connection_retry.take() {
            self.tried_upstreams.retain(|tried| *tried != id);
        }
        let in_flight = self.choose_engine().await?;
        in_flight.ok_or_else(|| self.refusal_for_stop(StopReason::NoUpstream))
    }

    /// Charges the retry budget; an open stream is resumed even if the budget is empty.
    fn charge_retry_budget(&mut self) -> Result<(), Refusal> {
        let retry_budget = &self.app.retry_budget;
        let is_admitted = match &self.retry_state.pending_retry {
            None => {
                retry_budget.record_request();
                true
            }
            Some(_) if self.retry_state.is_stream_open => {
                retry_budget.force_take();
                true
            }
            Some(_) => retry_budget.try_take(),
        };
        if !is_admitted {
            return Err(self.refusal_for_stop(StopReason::BudgetEmpty));
        }
        if let Some((reason, id)) = self.retry_state.pending_retry.take() {
            self.app.metrics.record_retry(reason, &id);
        }
        Ok(())
    }

    /// Waits for cancellations of earlier runs on the same engine, then for the retry backoff.
    async fn wait_before_retry(&mut self, id: &UpstreamId) {
        let pending_cancellations = std::mem::take(&mut self.retry_state.pending_cancellations);
        let (same_engine, other_engines): (Vec<_>, Vec<_>) = pending_cancellations
            .into_iter()
            .partition(|(at, _)| at == id);
        self.retry_state.pending_cancellations = other_engines;
        for (_, task) in same_engine {
            let _ = task.await;
        }
        let retries = self.retry_state.history.attempt_count();
        if retries > 0 {
            let wait = backoff(retries, &mut rand::rng());
            tokio::time::sleep(wait).await;
        }
    }

    /// Returns the API key that the request was authenticated with.
    pub(super) fn caller_key(&self) -> CallerKey {
        CallerKey {
            digest: self.key_digest,
            customer_id: self.customer_id.clone(),
            checked_version: self.snapshot.version,
        }
    }

    async fn choose_engine(&mut self) -> Result<Option<InFlight>, Refusal> {
        self.routing_request.tried.clone_from(&self.tried_upstreams);
        let queued_request = self.queued_request.clone();
        let chosen = self
            .app
            .router
            .choose(&mut self.routing_request, queued_request)
            .await;
        let chosen = chosen.map_err(|refusal| self.refusal_from_queue(refusal))?;
        if let Some(in_flight) = &chosen {
            self.explanation.set(in_flight.choice());
        }
        Ok(chosen)
    }

    /// Returns the queue's refusal, unless an earlier attempt may have run the request.
    fn refusal_from_queue(&self, refusal: Refusal) -> Refusal {
        let outcome = self
            .retry_state
            .history
            .outcome_at_stop(StopReason::NoUpstream);
        match outcome.ran {
            ExecutionStatus::NotRun => refusal,
            ExecutionStatus::Ran | ExecutionStatus::Unknown => {
                refusal::from_outcome(outcome, refusal.message)
            }
        }
    }

    fn parse_response_head(&self, headers: &HeaderMap) -> ResponseHead {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        ResponseHead {
            incarnation: text(&ENGINE_INCARNATION).and_then(|text| text.parse().ok()),
            weight_version: text(&WEIGHT_VERSION).map(str::to_owned),
            cached_tokens: text(&CACHED_TOKENS).and_then(|text| text.parse().ok()),
            is_first_token: self.completion.is_streamed,
        }
    }

    async fn send_attempt(
        &self,
        upstream: &Upstream,
        position: Tokens,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        let time_left = self.deadline.saturating_sub(self.app.clock.now());
        let timeout = time_left.min(self.app.settings.upstream.first_byte_timeout);
        let reuse = match upstream.repeatable {
            true => ConnectionReuse::Pooled,
            false => ConnectionReuse::Fresh,
        };
        let request = self.build_request(upstream, position, time_left)?;
        let upstream_response = self.app.client.send(request, reuse, timeout).await?;
        match self.check_response(&upstream_response) {
            Ok(()) => Ok(upstream_response.response),
            Err(failure) => {
                upstream_response.close_connection();
                Err(failure)
            }
        }
    }

    fn build_request(
        &self,
        upstream: &Upstream,
        position: Tokens,
        time_left: Duration,
    ) -> Result<Request<Full<Bytes>>, AttemptFailure> {
        let path = self.completion.endpoint.path();
        let mut request = Request::post(format!("http://{}{path}", upstream.address))
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, &self.request_id)
            .header(CACHE_SALT, &self.cache_salt)
            .header(EXPECTED_WEIGHT_VERSION, &self.weight_version)
            .header(PRIORITY, &self.priority)
            .header(DEADLINE_MS, time_left.as_millis() as u64);
        if position > 0 {
            request = request.header(RESUME_POSITION, position);
        }
        if let Some(credential) = &upstream.credential {
            request = request.header(AUTHORIZATION, format!("Bearer {credential}"));
        }
        request
            .body(Full::new(self.completion.body.clone()))
            .map_err(|_| AttemptFailure::NotBuilt)
    }

    fn check_response(&self, upstream_response: &UpstreamResponse) -> Result<(), AttemptFailure> {
        let headers = upstream_response.response.headers();
        match upstream_response.response.status() {
            StatusCode::OK if !has_single_value(headers, &REQUEST_ID, &self.request_id) => {
                Err(AttemptFailure::WrongRequestId)
            }
            StatusCode::OK if !has_single_value(headers, &WEIGHT_VERSION, &self.weight_version) => {
                Err(AttemptFailure::WrongWeightVersion)
            }
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => Err(AttemptFailure::WeightVersionRefused),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(AttemptFailure::Refused)
            }
            status if is_rejection(status) => Err(AttemptFailure::Rejected),
            _ => Err(AttemptFailure::ErrorStatus),
        }
    }
}

/// Reports a failed attempt to the router, which tracks the health of engines.
fn report_failure_to_router(failure: AttemptFailure, in_flight: &InFlight) {
    match failure {
        AttemptFailure::ConnectFailed => in_flight.record_failure(Some(EngineFailure::Connect)),
        AttemptFailure::Refused => in_flight.record_failure(Some(EngineFailure::NotServing)),
        AttemptFailure::WeightVersionRefused | AttemptFailure::WrongWeightVersion => {
            in_flight.record_weight_refusal()
        }
        failure if failure.may_be_connection_fault() => {
            in_flight.record_failure(Some(EngineFailure::NoResponse))
        }
        _ => in_flight.record_failure(None),
    }
}

/// Returns whether a status means that the engine rejected the request before running it.
fn is_rejection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::UNAUTHORIZED
            | StatusCode::FORBIDDEN
            | StatusCode::NOT_FOUND
            | StatusCode::METHOD_NOT_ALLOWED
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::UNSUPPORTED_MEDIA_TYPE
            | StatusCode::UNPROCESSABLE_ENTITY
    )
}

fn has_single_value(headers: &HeaderMap, name: &HeaderName, expected: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    let is_first_expected = values
        .next()
        .is_some_and(|value| value.as_bytes() == expected.as_bytes());
    is_first_expected && values.next().is_none()
}

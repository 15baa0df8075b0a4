//! Forwards requests to plain services, which are chosen by path prefix.

use std::sync::Arc;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;

use super::app::App;
use super::buffered_completion::read_to_end;
use super::headers::{REQUEST_ID, service_request_headers, strip_hop_by_hop};
use super::refusal;
use super::responses;
use crate::clock::Instant;
use crate::document::{Route, Snapshot, Upstream};
use crate::error::{Code, ExecutionStatus, Refusal};
use crate::idempotency::{Claim, Fingerprint, IDEMPOTENCY_KEY, IdempotencyKey, fingerprint};
use crate::ids::{RequestId, UpstreamId};
use crate::outcome::{AttemptFailure, AttemptHistory, NextStep, StopReason};
use crate::retry::backoff;
use crate::route::ServiceInFlight;
use crate::telemetry::RetryReason;
use crate::upstream::{ConnectionReuse, UpstreamResponse};

/// Maximum number of attempts for one request.
const SERVICE_ATTEMPTS_MAX: usize = 3;

/// One request for a plain service.
#[derive(Debug)]
pub(super) struct ServiceCall {
    pub(super) app: Arc<App>,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) request_id: RequestId,
    pub(super) deadline: Instant,
    pub(super) is_single_service: bool,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Results of the attempts so far, as far as later attempts depend on them.
#[derive(Debug, Default)]
struct RetryState {
    history: AttemptHistory,
    tried_upstreams: Vec<UpstreamId>,
    pending_retry: Option<(RetryReason, UpstreamId)>,
    may_retry_on_fresh_connection: bool,
}

impl ServiceCall {
    /// Forwards the request and returns the service's response.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller when no further attempt is allowed.
    pub(super) async fn respond(self, route: &Route) -> Result<Response<Body>, Refusal> {
        let claim = self.claim_key(route).await?;
        let result = self.run_attempts(route).await;
        settle_claim(claim, ran_from_result(&result)).await;
        result
    }

    /// Returns the refusal for a request that failed to reserve its cost.
    ///
    /// If the customer's share of its rate is unavailable, the state of an earlier request with the
    /// same idempotency key takes precedence: `not_run` would seem to apply to that request too.
    pub(super) async fn refusal_after_claim_check(&self, refusal: Refusal) -> Refusal {
        let key = self
            .key
            .as_ref()
            .filter(|_| refusal.code == Code::ShareUnavailable);
        let earlier = match key {
            Some(key) => {
                self.app
                    .claims
                    .find_conflict(key, &self.fingerprint())
                    .await
            }
            None => None,
        };
        earlier.unwrap_or(refusal)
    }

    /// Claims the request's idempotency key, unless every service of the route accepts repeats.
    async fn claim_key(&self, route: &Route) -> Result<Option<Claim>, Refusal> {
        let are_all_repeatable = self
            .snapshot
            .services_for(route)
            .all(|(_, upstream)| self.may_repeat(upstream));
        let Some(key) = self.key.as_ref().filter(|_| !are_all_repeatable) else {
            return Ok(None);
        };
        let claim = self
            .app
            .claims
            .claim(key, self.fingerprint(), self.request_id.clone());
        claim.await.map(Some)
    }

    fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.method, self.target(), &self.body)
    }

    fn target(&self) -> &str {
        let target = self.uri.path_and_query();
        target.map_or("/", |target| target.as_str())
    }

    async fn run_attempts(&self, route: &Route) -> Result<Response<Body>, Refusal> {
        let mut retry_state = RetryState::default();
        loop {
            let in_flight = self.next_service(route, &mut retry_state)?;
            let id = in_flight.upstream().clone();
            retry_state.tried_upstreams.push(id.clone());
            let Some(upstream) = self.snapshot.upstream(&id) else {
                continue;
            };
            if !retry_state
                .history
                .allows_attempt(self.may_repeat(upstream))
            {
                continue;
            }
            self.charge_retry_budget(&mut retry_state)?;
            wait_before_retry(&retry_state.history).await;
            retry_state.history.start_attempt();
            let failure = match self.send_attempt(upstream).await {
                Ok(response) => {
                    self.app.unreachable.record_response(&id);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            if failure == AttemptFailure::ConnectFailed {
                self.app.unreachable.record_connect_failure(&id);
            }
            retry_state.pending_retry = Some((failure.retry_reason(), id));
            retry_state.may_retry_on_fresh_connection |= failure.may_be_connection_fault();
            let is_repeatable = self.may_repeat(upstream);
            if let NextStep::Finish(outcome) =
                retry_state.history.record_failure(failure, is_repeatable)
            {
                return Err(refusal::from_outcome(outcome, failure.to_string()));
            }
        }
    }

    fn next_service(
        &self,
        route: &Route,
        retry_state: &mut RetryState,
    ) -> Result<ServiceInFlight, Refusal> {
        let stop = match () {
            () if retry_state.history.attempt_count() >= SERVICE_ATTEMPTS_MAX => {
                StopReason::AttemptsUsed
            }
            () if self.app.clock.now() >= self.deadline => StopReason::DeadlinePassed,
            () => StopReason::NoUpstream,
        };
        let in_flight = match stop {
            StopReason::NoUpstream => self.choose_service(route, retry_state),
            _ => None,
        };
        in_flight.ok_or_else(|| {
            let message = format!("route {}: {stop}", route.path_prefix);
            refusal::from_outcome(retry_state.history.outcome_at_stop(stop), message)
        })
    }

    fn choose_service(
        &self,
        route: &Route,
        retry_state: &mut RetryState,
    ) -> Option<ServiceInFlight> {
        if let Some(in_flight) = self.choose_untried_service(route, &retry_state.tried_upstreams) {
            return Some(in_flight);
        }
        // Every service was tried: all get another attempt if a connection may have been at fault.
        if std::mem::take(&mut retry_state.may_retry_on_fresh_connection) {
            retry_state.tried_upstreams.clear();
        }
        self.choose_untried_service(route, &retry_state.tried_upstreams)
    }

    /// Chooses the least loaded untried service, preferring those not marked as unreachable.
    fn choose_untried_service(
        &self,
        route: &Route,
        tried: &[UpstreamId],
    ) -> Option<ServiceInFlight> {
        let services = self.snapshot.services_for(route).map(|(id, _)| id);
        let untried: Vec<_> = services.filter(|id| !tried.contains(id)).collect();
        let is_reachable = |id: &&UpstreamId| !self.app.unreachable.is_avoided(id);
        let reachable = untried.iter().copied().filter(is_reachable);
        let loads = &self.app.loads;
        loads
            .start_at_least_loaded(reachable)
            .or_else(|| loads.start_at_least_loaded(untried))
    }

    fn charge_retry_budget(&self, retry_state: &mut RetryState) -> Result<(), Refusal> {
        let Some((reason, id)) = retry_state.pending_retry.take() else {
            self.app.retry_budget.record_request();
            return Ok(());
        };
        if !self.app.retry_budget.try_take() {
            let outcome = retry_state.history.outcome_at_stop(StopReason::BudgetEmpty);
            return Err(refusal::from_outcome(
                outcome,
                StopReason::BudgetEmpty.to_string(),
            ));
        }
        self.app.metrics.record_retry(reason, &id);
        Ok(())
    }

    fn may_repeat(&self, upstream: &Upstream) -> bool {
        upstream.repeatable || self.method.is_safe() || self.is_deduplicated(upstream)
    }

    /// Returns whether the service itself runs repeats of the request only once.
    ///
    /// This requires that the service is the only one of its route, as another service would not
    /// know the idempotency key.
    fn is_deduplicated(&self, upstream: &Upstream) -> bool {
        self.key.is_some() && upstream.honours_idempotency_key && self.is_single_service
    }

    async fn send_attempt(&self, upstream: &Upstream) -> Result<Response<Body>, AttemptFailure> {
        let settings = &self.app.settings.upstream;
        let reuse = match self.may_repeat(upstream) {
            true => ConnectionReuse::Pooled,
            false => ConnectionReuse::Fresh,
        };
        let time_left = self.deadline.saturating_sub(self.app.clock.now());
        let timeout = time_left.min(settings.first_byte_timeout);
        let request = self.build_request(upstream)?;
        let upstream_response = self.app.client.send(request, reuse, timeout).await?;
        if let Err(failure) = self.check_response(&upstream_response, upstream) {
            upstream_response.close_connection();
            return Err(failure);
        }
        let (mut parts, body) = upstream_response.response.into_parts();
        let body = read_to_end(body, settings.idle_timeout).await?;
        strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(REQUEST_ID);
        Ok(Response::from_parts(parts, responses::full_body(body)))
    }

    fn build_request(&self, upstream: &Upstream) -> Result<Request<Full<Bytes>>, AttemptFailure> {
        let target = self.target();
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{}{target}", upstream.address))
            .body(Full::new(self.body.clone()))
            .map_err(|_| AttemptFailure::NotBuilt)?;
        let headers = request.headers_mut();
        *headers = service_request_headers(&self.headers);
        headers.insert(REQUEST_ID, parse_header_value(&self.request_id)?);
        if let Some(key) = self
            .key
            .as_ref()
            .filter(|_| upstream.honours_idempotency_key)
        {
            let key = key.upstream_key(&self.fingerprint());
            headers.insert(IDEMPOTENCY_KEY, parse_header_value(&key)?);
        }
        if let Some(credential) = &upstream.credential {
            let credential = parse_header_value(&format!("Bearer {credential}"))?;
            headers.insert(AUTHORIZATION, credential);
        }
        Ok(request)
    }

    /// Checks the head of a response.
    ///
    /// A 503 from a service that does not accept repeats is forwarded to the caller, since nothing
    /// guarantees that the service sent it before running the request.
    fn check_response(
        &self,
        upstream_response: &UpstreamResponse,
        upstream: &Upstream,
    ) -> Result<(), AttemptFailure> {
        let mut ids = upstream_response
            .response
            .headers()
            .get_all(REQUEST_ID)
            .iter();
        let is_own = |id: &HeaderValue| id.as_bytes() == self.request_id.as_bytes();
        match upstream_response.response.status() {
            _ if !ids.all(is_own) => Err(AttemptFailure::WrongRequestId),
            StatusCode::SERVICE_UNAVAILABLE if self.may_repeat(upstream) => {
                Err(AttemptFailure::ErrorStatus)
            }
            _ => Ok(()),
        }
    }
}

/// Marks a claim as run, or deletes it if the request was not run.
///
/// Leaves the claim unchanged if it is unknown whether the request ran.
pub(super) async fn settle_claim(claim: Option<Claim>, ran: ExecutionStatus) {
    match (claim, ran) {
        (Some(claim), ExecutionStatus::Ran) => claim.mark_ran(),
        (Some(claim), ExecutionStatus::NotRun) => claim.release().await,
        (Some(_), ExecutionStatus::Unknown) | (None, _) => {}
    }
}

/// Returns whether a request ran, judging by its response or refusal.
pub(super) fn ran_from_result<T>(result: &Result<T, Refusal>) -> ExecutionStatus {
    result
        .as_ref()
        .map_or_else(|refusal| refusal.ran, |_| ExecutionStatus::Ran)
}

async fn wait_before_retry(history: &AttemptHistory) {
    if history.attempt_count() > 0 {
        let wait = backoff(history.attempt_count(), &mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}

fn parse_header_value(text: &str) -> Result<HeaderValue, AttemptFailure> {
    HeaderValue::from_str(text).map_err(|_| AttemptFailure::NotBuilt)
}

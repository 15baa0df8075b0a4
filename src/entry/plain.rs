//! Calls to plain services by path prefix.

use std::sync::Arc;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;

use super::app::App;
use super::headers::{REQUEST_ID, for_service, strip_hop_by_hop};
use super::refusal;
use super::reply;
use super::whole::read_whole;
use crate::clock::Instant;
use crate::document::{Route, Snapshot, Upstream};
use crate::error::{Code, Ran, Refusal};
use crate::idempotency::{Claim, Fingerprint, IDEMPOTENCY_KEY, IdempotencyKey, fingerprint};
use crate::ids::{RequestId, UpstreamId};
use crate::outcome::{Failure, Ledger, Next, Stop};
use crate::retry::backoff;
use crate::route::ServiceInFlight;
use crate::telemetry::RetryReason;
use crate::upstream::{Answer, Reuse};

/// Services asked for one request.
const ATTEMPTS_MAX: usize = 3;

/// Request for a plain service.
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

/// What the attempts so far have shown.
#[derive(Debug, Default)]
struct Progress {
    ledger: Ledger,
    tried: Vec<UpstreamId>,
    retry: Option<(RetryReason, UpstreamId)>,
    has_second_chance: bool,
}

impl ServiceCall {
    /// Passes the request on and returns the service's answer.
    pub(super) async fn answer(self, route: &Route) -> Result<Response<Body>, Refusal> {
        let claim = self.claim(route).await?;
        let answered = self.attempts(route).await;
        settle(claim, ran_of(&answered)).await;
        answered
    }

    /// Returns what a caller is told whose rate cannot be reached at present: what is known of an
    /// earlier request under its key goes first, as `not_run` would speak of that as well.
    pub(super) async fn refused(&self, refusal: Refusal) -> Refusal {
        let key = self
            .key
            .as_ref()
            .filter(|_| refusal.code == Code::ShareUnavailable);
        let earlier = match key {
            Some(key) => self.app.claims.earlier(key, &self.fingerprint()).await,
            None => None,
        };
        earlier.unwrap_or(refusal)
    }

    /// Claims the idempotency key, where the request carries one and the claim decides anything.
    async fn claim(&self, route: &Route) -> Result<Option<Claim>, Refusal> {
        let may_all_repeat = self
            .snapshot
            .services_for(route)
            .all(|(_, upstream)| self.may_repeat(upstream));
        let Some(key) = self.key.as_ref().filter(|_| !may_all_repeat) else {
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

    async fn attempts(&self, route: &Route) -> Result<Response<Body>, Refusal> {
        let mut progress = Progress::default();
        loop {
            let in_flight = self.next_service(route, &mut progress)?;
            let id = in_flight.upstream().clone();
            progress.tried.push(id.clone());
            let Some(upstream) = self.snapshot.upstream(&id) else {
                continue;
            };
            if !progress.ledger.allows(self.may_repeat(upstream)) {
                continue;
            }
            self.admit_retry(&mut progress)?;
            wait_before_retry(&progress.ledger).await;
            progress.ledger.attempt();
            let failure = match self.attempt(upstream).await {
                Ok(response) => {
                    self.app.reach.answered(&id);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            if failure == Failure::ConnectFailed {
                self.app.reach.failed(&id);
            }
            progress.retry = Some((failure.reason(), id));
            progress.has_second_chance |= failure.is_of_connection();
            let is_repeatable = self.may_repeat(upstream);
            if let Next::Tell(told) = progress.ledger.fail(failure, is_repeatable) {
                return Err(refusal::from_told(told, failure.to_string()));
            }
        }
    }

    fn next_service(
        &self,
        route: &Route,
        progress: &mut Progress,
    ) -> Result<ServiceInFlight, Refusal> {
        let stop = match () {
            () if progress.ledger.attempts() >= ATTEMPTS_MAX => Stop::AttemptsUsed,
            () if self.app.clock.now() >= self.deadline => Stop::DeadlinePassed,
            () => Stop::NoUpstream,
        };
        let chosen = match stop {
            Stop::NoUpstream => self.choose(route, progress),
            _ => None,
        };
        chosen.ok_or_else(|| {
            let message = format!("route {}: {stop}", route.path_prefix);
            refusal::from_told(progress.ledger.stop(stop), message)
        })
    }

    fn choose(&self, route: &Route, progress: &mut Progress) -> Option<ServiceInFlight> {
        if let Some(in_flight) = self.choose_untried(route, &progress.tried) {
            return Some(in_flight);
        }
        // Every service was tried: one whose connection failed may answer on a fresh one.
        if std::mem::take(&mut progress.has_second_chance) {
            progress.tried.clear();
        }
        self.choose_untried(route, &progress.tried)
    }

    /// Chooses the least loaded service, one that could not be reached only where no other is left.
    fn choose_untried(&self, route: &Route, tried: &[UpstreamId]) -> Option<ServiceInFlight> {
        let services = self.snapshot.services_for(route).map(|(id, _)| id);
        let untried: Vec<_> = services.filter(|id| !tried.contains(id)).collect();
        let is_reachable = |id: &&UpstreamId| !self.app.reach.is_avoided(id);
        let reachable = untried.iter().copied().filter(is_reachable);
        let loads = &self.app.loads;
        loads
            .start_at_least_loaded(reachable)
            .or_else(|| loads.start_at_least_loaded(untried))
    }

    fn admit_retry(&self, progress: &mut Progress) -> Result<(), Refusal> {
        let Some((reason, id)) = progress.retry.take() else {
            self.app.budget.record_request();
            return Ok(());
        };
        if !self.app.budget.try_take() {
            let told = progress.ledger.stop(Stop::BudgetEmpty);
            return Err(refusal::from_told(told, Stop::BudgetEmpty.to_string()));
        }
        self.app.metrics.retry(reason, &id);
        Ok(())
    }

    fn may_repeat(&self, upstream: &Upstream) -> bool {
        upstream.repeatable || self.method.is_safe() || self.is_deduplicated(upstream)
    }

    /// Returns whether the service itself runs the request once, however often it is sent.
    ///
    /// Only its own route's single service can: another one would not know the key.
    fn is_deduplicated(&self, upstream: &Upstream) -> bool {
        self.key.is_some() && upstream.honours_idempotency_key && self.is_single_service
    }

    async fn attempt(&self, upstream: &Upstream) -> Result<Response<Body>, Failure> {
        let settings = &self.app.settings.upstream;
        let reuse = match self.may_repeat(upstream) {
            true => Reuse::Pooled,
            false => Reuse::Fresh,
        };
        let left = self.deadline.saturating_sub(self.app.clock.now());
        let timeout = left.min(settings.first_byte_timeout);
        let request = self.request(upstream)?;
        let answer = self.app.client.send(request, reuse, timeout).await?;
        if let Err(failure) = self.check(&answer, upstream) {
            answer.discard();
            return Err(failure);
        }
        let (mut parts, body) = answer.response.into_parts();
        let body = read_whole(body, settings.idle_timeout).await?;
        strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(REQUEST_ID);
        Ok(Response::from_parts(parts, reply::full(body)))
    }

    fn request(&self, upstream: &Upstream) -> Result<Request<Full<Bytes>>, Failure> {
        let target = self.target();
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{}{target}", upstream.address))
            .body(Full::new(self.body.clone()))
            .map_err(|_| Failure::NotBuilt)?;
        let headers = request.headers_mut();
        *headers = for_service(&self.headers);
        headers.insert(REQUEST_ID, header_value(&self.request_id)?);
        if let Some(key) = self
            .key
            .as_ref()
            .filter(|_| upstream.honours_idempotency_key)
        {
            let key = key.upstream_key(&self.fingerprint());
            headers.insert(IDEMPOTENCY_KEY, header_value(&key)?);
        }
        if let Some(credential) = &upstream.credential {
            let credential = header_value(&format!("Bearer {credential}"))?;
            headers.insert(AUTHORIZATION, credential);
        }
        Ok(request)
    }

    /// Checks the head of an answer.
    ///
    /// A 503 of a service whose calls may not be repeated is passed on as its own answer, since
    /// nothing promises that it was sent before the request ran.
    fn check(&self, answer: &Answer, upstream: &Upstream) -> Result<(), Failure> {
        let mut ids = answer.response.headers().get_all(REQUEST_ID).iter();
        let is_own = |id: &HeaderValue| id.as_bytes() == self.request_id.as_bytes();
        match answer.response.status() {
            _ if !ids.all(is_own) => Err(Failure::WrongRequestId),
            StatusCode::SERVICE_UNAVAILABLE if self.may_repeat(upstream) => {
                Err(Failure::ErrorStatus)
            }
            _ => Ok(()),
        }
    }
}

/// Notes on the claim what became of its request.
pub(super) async fn settle(claim: Option<Claim>, ran: Ran) {
    match (claim, ran) {
        (Some(claim), Ran::Ran) => claim.ran(),
        (Some(claim), Ran::NotRun) => claim.release().await,
        (Some(_), Ran::Unknown) | (None, _) => {}
    }
}

/// Returns what an answer says of its request's run.
pub(super) fn ran_of<T>(answered: &Result<T, Refusal>) -> Ran {
    answered
        .as_ref()
        .map_or_else(|refusal| refusal.ran, |_| Ran::Ran)
}

async fn wait_before_retry(ledger: &Ledger) {
    if ledger.attempts() > 0 {
        let wait = backoff(ledger.attempts(), &mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}

fn header_value(text: &str) -> Result<HeaderValue, Failure> {
    HeaderValue::from_str(text).map_err(|_| Failure::NotBuilt)
}

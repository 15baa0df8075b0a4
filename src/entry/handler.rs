//! Dispatches each request to the handler of its path.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri};
use hyper::body::Body as _;

use super::app::App;
use super::attempt::EngineCall;
use super::auth::{Caller, authenticate, bearer_key};
use super::body::{check_framing, discard_body, read_body};
use super::completion_request::{CompletionRequest, Endpoint};
use super::drain::RequestGuard;
use super::explain::RoutingExplanation;
use super::headers::{DEADLINE_MS, PRIORITY, REQUEST_ID, check_key_placement};
use super::plain_service::ServiceCall;
use super::{buffered_completion, models, plain_service, responses, streamed_completion};
use crate::clock::Instant;
use crate::document::{Route, RouteAccess, Snapshot};
use crate::error::{Code, ExecutionStatus, Refusal};
use crate::fair::{Priority, QueuedRequest};
use crate::idempotency::{IdempotencyKey, KeyScope};
use crate::ids::{CustomerId, RequestId};
use crate::limit::Reservation;
use crate::route::{PrefixSeed, RoutingRequest};

const MODELS_PATH: &str = "/v1/models";
const INTERACTIVE: &str = "interactive";
const BATCH: &str = "batch";
/// `Retry-After` of requests refused because the limit on concurrent requests is reached.
const REQUESTS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request as received from the caller.
struct ReceivedRequest {
    app: Arc<App>,
    id: RequestId,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
}

/// Handles one request and returns its response; failures and panics become error responses.
pub(super) async fn handle(app: Arc<App>, state: &mut State) -> Response<Body> {
    let id = app.next_request_id();
    let received = ReceivedRequest {
        app: app.clone(),
        id: id.clone(),
        method: Method::take_from(state),
        uri: Uri::take_from(state),
        headers: HeaderMap::take_from(state),
        body: Body::take_from(state),
    };
    let result = AssertUnwindSafe(received.respond()).catch_unwind().await;
    let mut response = result.unwrap_or_else(|_| {
        app.metrics.record_handler_panic();
        responses::refusal_response(&Refusal::new(
            Code::Internal,
            "the request handler panicked",
        ))
    });
    if let Ok(id) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    if app.drain.is_started() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl ReceivedRequest {
    async fn respond(self) -> Response<Body> {
        let app = self.app.clone();
        let mut customer = None;
        match self.dispatch(&mut customer).await {
            Ok(response) => response,
            Err(refusal) => {
                app.metrics
                    .record_refusal(refusal.code, customer.as_deref());
                responses::refusal_response(&refusal)
            }
        }
    }

    async fn dispatch(self, customer: &mut Option<CustomerId>) -> Result<Response<Body>, Refusal> {
        check_framing(&self.headers)?;
        let limit = self.app.settings.limits.requests_max;
        let request_guard = self.app.drain.count_request(limit).ok_or_else(|| {
            Refusal::new(
                Code::Overloaded,
                format!("the limit of {limit} concurrent requests is reached"),
            )
            .with_retry_after(REQUESTS_RETRY_AFTER)
        })?;
        let snapshot = self.app.snapshot()?;
        let path = self.uri.path().to_owned();
        match Endpoint::from_path(&path) {
            Some(endpoint) => {
                self.check_method(&Method::POST)?;
                self.handle_completion(snapshot, endpoint, request_guard, customer)
                    .await
            }
            None if path == MODELS_PATH => {
                self.check_method(&Method::GET)?;
                self.handle_models(&snapshot, customer)
            }
            None => self.handle_service(snapshot, &path, customer).await,
        }
    }

    fn check_method(&self, expected: &Method) -> Result<(), Refusal> {
        if self.method == *expected {
            return Ok(());
        }
        let message = format!(
            "{}: expected {expected}, found {}",
            self.uri.path(),
            self.method
        );
        Err(Refusal::new(Code::MethodNotAllowed, message))
    }

    fn handle_models(
        self,
        snapshot: &Snapshot,
        customer_label: &mut Option<CustomerId>,
    ) -> Result<Response<Body>, Refusal> {
        let caller = self.authenticate(snapshot, customer_label)?;
        Ok(responses::json_response(
            StatusCode::OK,
            models::list(caller.customer),
        ))
    }

    async fn handle_completion(
        mut self,
        snapshot: Arc<Snapshot>,
        endpoint: Endpoint,
        request_guard: RequestGuard,
        customer_label: &mut Option<CustomerId>,
    ) -> Result<Response<Body>, Refusal> {
        let caller = self.authenticate(&snapshot, customer_label)?;
        let body = self.read_body().await?;
        self.check_key_placement(&body)?;
        let mut completion = CompletionRequest::parse(endpoint, body)?;
        let model = snapshot
            .model_for(caller.customer, &completion.model)
            .ok_or_else(|| {
                Refusal::new(
                    Code::ModelUnknown,
                    "model: unknown or not available to this customer",
                )
            })?;
        let cost = completion.cost_max_tokens(model)?;
        let deadline = self.parse_deadline()?;
        let priority = self.parse_priority()?;
        let key = IdempotencyKey::from_headers(&self.headers, caller.scope())?;
        let reservation = self.app.reserve(caller.id, caller.customer, cost).await?;
        self.app
            .metrics
            .record_request(caller.id, &completion.model);
        let is_streamed = completion.is_streamed;
        let cache_salt = cache_salt(&caller);
        let prefix = std::mem::take(&mut completion.prompt).prefix(PrefixSeed {
            cache_salt: &cache_salt,
            model: &completion.model,
            weight_version: &model.weight_version,
            adapter: model.adapter.as_deref(),
        });
        let explanation = RoutingExplanation::from_headers(&self.headers);
        let call = EngineCall {
            routing_request: RoutingRequest::new(
                completion.model.clone(),
                model.weight_version.clone(),
                prefix,
            ),
            queued_request: QueuedRequest {
                customer: caller.id.clone(),
                weight: caller.customer.weight,
                cost,
                priority: match priority == BATCH {
                    true => Priority::Batch,
                    false => Priority::Interactive,
                },
                deadline,
            },
            explanation: explanation.clone(),
            app: self.app,
            customer_id: caller.id.clone(),
            key_digest: caller.digest,
            request_id: self.id,
            weight_version: model.weight_version.clone(),
            cache_salt,
            priority,
            deadline,
            tried_upstreams: Vec::new(),
            retry_state: Default::default(),
            completion,
            snapshot: snapshot.clone(),
        };
        let claim = call.claim_key(key).await?;
        let mut result = match is_streamed {
            true => streamed_completion::respond(call, reservation, request_guard).await,
            false => buffered_completion::respond(call, reservation).await,
        };
        // An opened stream leaves its claim unchanged, as its end is not known here.
        let ran = match plain_service::ran_from_result(&result) {
            ExecutionStatus::Ran if is_streamed => ExecutionStatus::Unknown,
            ran => ran,
        };
        plain_service::settle_claim(claim, ran).await;
        if let Ok(response) = &mut result {
            explanation.insert_into(response.headers_mut());
        }
        result
    }

    async fn handle_service(
        mut self,
        snapshot: Arc<Snapshot>,
        path: &str,
        customer_label: &mut Option<CustomerId>,
    ) -> Result<Response<Body>, Refusal> {
        let route = snapshot
            .route_for(path)
            .ok_or_else(|| Refusal::new(Code::RouteUnknown, "path: no route matches"))?;
        let caller = match route.access {
            RouteAccess::Open => None,
            RouteAccess::Key => Some(self.authenticate(&snapshot, customer_label)?),
        };
        let body = self.read_body().await?;
        self.check_key_placement(&body)?;
        let deadline = self.parse_deadline()?;
        let scope = caller.as_ref().map_or(KeyScope::Open, Caller::scope);
        let key = IdempotencyKey::from_headers(&self.headers, scope)?;
        let app = self.app.clone();
        let call = ServiceCall {
            app: self.app,
            snapshot: snapshot.clone(),
            request_id: self.id,
            deadline,
            is_single_service: route.upstreams.len() == 1,
            key,
            method: self.method,
            uri: self.uri,
            headers: self.headers,
            body,
        };
        let mut reservation = match &caller {
            Some(caller) => match reserve_service_cost(&app, caller, route).await {
                Ok(reservation) => Some(reservation),
                Err(refusal) => return Err(call.refusal_after_claim_check(refusal).await),
            },
            None => None,
        };
        let result = call.respond(route).await;
        match &mut reservation {
            Some(reservation)
                if plain_service::ran_from_result(&result) == ExecutionStatus::NotRun =>
            {
                reservation.cancel_consume_at_end()
            }
            _ => {}
        }
        result
    }

    fn authenticate<'a>(
        &self,
        snapshot: &'a Snapshot,
        customer_label: &mut Option<CustomerId>,
    ) -> Result<Caller<'a>, Refusal> {
        let key = bearer_key(&self.headers)?;
        self.app.check_isolation()?;
        let caller = authenticate(snapshot, key)?;
        *customer_label = Some(caller.id.clone());
        Ok(caller)
    }

    async fn read_body(&mut self) -> Result<Bytes, Refusal> {
        let app = &self.app;
        let read = read_body(
            &self.headers,
            &mut self.body,
            &app.settings.limits,
            &app.memory,
        );
        let result = read.await;
        if result.is_err() && !self.body.is_end_stream() {
            tokio::spawn(discard_body(std::mem::take(&mut self.body), None));
        }
        result
    }

    fn check_key_placement(&self, body: &[u8]) -> Result<(), Refusal> {
        match bearer_key(&self.headers) {
            Ok(key) => check_key_placement(key, &self.uri, &self.headers, body),
            Err(_) => Ok(()),
        }
    }

    fn parse_deadline(&self) -> Result<Instant, Refusal> {
        let deadline_max = self.app.settings.limits.deadline_max;
        let requested = match self.headers.get(DEADLINE_MS) {
            None => deadline_max,
            Some(value) => value
                .to_str()
                .ok()
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis)
                .ok_or_else(|| {
                    let message = "header x-deadline-ms: expected a number of milliseconds";
                    Refusal::new(Code::HeaderInvalid, message)
                })?,
        };
        Ok(self.app.clock.now() + requested.min(deadline_max))
    }

    fn parse_priority(&self) -> Result<HeaderValue, Refusal> {
        match self.headers.get(PRIORITY).map(HeaderValue::as_bytes) {
            None => Ok(HeaderValue::from_static(INTERACTIVE)),
            Some(b"interactive") => Ok(HeaderValue::from_static(INTERACTIVE)),
            Some(b"batch") => Ok(HeaderValue::from_static(BATCH)),
            Some(_) => {
                let message = "header x-priority: expected interactive or batch";
                Err(Refusal::new(Code::HeaderInvalid, message))
            }
        }
    }
}

/// Reserves the fixed cost of a route, to be consumed when the reservation ends.
async fn reserve_service_cost(
    app: &App,
    caller: &Caller<'_>,
    route: &Route,
) -> Result<Reservation, Refusal> {
    let cost = route.cost_tokens;
    let mut reservation = app.reserve(caller.id, caller.customer, cost).await?;
    reservation.consume_at_end(cost);
    Ok(reservation)
}

/// Returns the salt that separates a customer's cached prefixes from those of other customers.
///
/// Customers of one `shared_group` have the same salt, so that they share cached prefixes.
fn cache_salt(caller: &Caller<'_>) -> String {
    let (domain, name) = match &caller.customer.shared_group {
        Some(group) => ("group", group),
        None => ("customer", caller.id),
    };
    blake3::hash(format!("{domain}\0{name}").as_bytes()).to_hex()[..32].to_owned()
}

//! Exchange of a request with an upstream, up to the head of the response.

use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;

use super::attempt_failure::{AttemptFailure, FailureCause};
use super::brittle_upstream::SendOutcome;
use super::cache_group::CacheGroup;
use super::peer_forward::PathState;
use super::placement::DispatchedRequest;
use super::platform_api::{ResponseHead, UpstreamHeaders};
use super::pool::{Connection, SendFailure, connect};
use super::request::AdmittedRequest;
use crate::caller_memory::OutgoingBody;

/// Response of an upstream whose head has arrived and whose body has not been read.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    pub(super) response: http::Response<Incoming>,
    pub(super) head: ResponseHead,
    pub(super) connection: Connection,
}

impl AdmittedRequest {
    /// Sends the request to an upstream and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns whether the request was sent, and whether it may have run.
    pub(super) async fn send(
        &mut self,
        dispatched: &DispatchedRequest,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let connection = self.connect(dispatched).await?;
        self.progress.sends += 1;
        self.progress.record_trial(true);
        let result = self.exchange(connection, dispatched, last_event_id).await;
        let is_unsent = matches!(
            result,
            Err(AttemptFailure::NotSent(_) | AttemptFailure::PermitExpired)
        );
        if is_unsent {
            self.progress.sends -= 1;
        }
        result
    }

    /// Returns a connection to an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptFailure::NotSent`] if the upstream could not be reached.
    pub(super) async fn connect(
        &self,
        dispatched: &DispatchedRequest,
    ) -> Result<Connection, AttemptFailure> {
        let (gateway, service) = (&self.gateway, &dispatched.service);
        let pool = &gateway.pool;
        if let Some(connection) = pool.take_idle(&dispatched.instance) {
            return Ok(connection);
        }
        if gateway.path_state(service) != PathState::Open && self.may_ask_for_help() {
            let reason = "new connections to the service fail";
            return Err(AttemptFailure::NotSent(reason.into()));
        }
        let left = self.deadline.saturating_sub(gateway.now());
        match tokio::time::timeout(left, connect(dispatched.address)).await {
            Ok(Ok(connection)) => {
                gateway.record_connected(service);
                Ok(connection)
            }
            Ok(Err(failure)) => {
                gateway.record_connect_failed(service, &dispatched.instance.id);
                Err(AttemptFailure::NotSent(failure.to_string()))
            }
            Err(_) => Err(AttemptFailure::Timeout),
        }
    }

    /// Sends the request over a connection and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns whether the request was sent, and whether it may have run.
    pub(super) async fn exchange(
        &self,
        connection: Connection,
        dispatched: &DispatchedRequest,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let exchange = self.exchange_heads(connection, dispatched, last_event_id);
        let Some(permit) = &dispatched.send_permit else {
            return exchange.await;
        };
        if !permit.is_valid() {
            return Err(AttemptFailure::PermitExpired);
        }
        let result = permit.exchange(exchange).await;
        if let Some(outcome) = send_outcome(&result) {
            permit.record(outcome);
        }
        result
    }

    async fn exchange_heads(
        &self,
        connection: Connection,
        dispatched: &DispatchedRequest,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        let left = self.deadline.saturating_sub(self.gateway.now());
        let request = self.upstream_request(dispatched, left, last_event_id);
        let request = request.map_err(|error| AttemptFailure::NotSent(error.to_string()))?;
        dispatched.count_run(&self.route.name);
        let (instance, address) = (&dispatched.instance, dispatched.address);
        let send = self
            .gateway
            .pool
            .send(connection, instance, address, request);
        let sent = tokio::time::timeout(left, send);
        let sent = self.unless_withdrawn(dispatched, sent).await?;
        let (response, connection) = match sent {
            Ok(Ok(received)) => received,
            Ok(Err(SendFailure::NotSent(reason))) => return Err(AttemptFailure::NotSent(reason)),
            Ok(Err(SendFailure::Broken(reason))) => {
                return Err(AttemptFailure::Unknown(FailureCause::Connection, reason));
            }
            Err(_) => return Err(AttemptFailure::Timeout),
        };
        let head = self
            .gateway
            .platform
            .dialect
            .read_response_head(response.headers());
        let status = response.status();
        // An upstream may reject a request before it has read the request id. On a connection that
        // was used before, the rejection may be a late copy of one for an earlier request.
        let is_rejection = head.is_not_run || status == StatusCode::MISDIRECTED_REQUEST;
        let is_same_request = match &head.request_id {
            Some(id) => *id == self.id,
            None => is_rejection && !connection.is_reused(),
        };
        if !is_same_request {
            return Err(AttemptFailure::unusable(
                "the response does not carry the id of the request",
            ));
        }
        dispatched.record_announcements(status, &head);
        match status {
            _ if head.is_not_run => Err(AttemptFailure::NotRun(status.as_u16())),
            StatusCode::MISDIRECTED_REQUEST => Err(AttemptFailure::NotRun(status.as_u16())),
            _ if !head.is_sealed => Err(AttemptFailure::unusable(
                "the response carries no seal of the upstream",
            )),
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT => {
                let cause = match status {
                    StatusCode::SERVICE_UNAVAILABLE => FailureCause::UnusableResponse,
                    _ => FailureCause::UnstatedRefusal,
                };
                let reason = format!("status {status} without a statement whether the request ran");
                Err(AttemptFailure::Unknown(cause, reason))
            }
            _ => Ok(UpstreamResponse {
                response,
                head,
                connection,
            }),
        }
    }

    /// Returns the text under which an engine caches the prompt; `None` for other upstreams.
    ///
    /// A prompt whose description cannot be read is shared with no other request: its model, and so
    /// the weights, are not known.
    fn cache_salt(&self, dispatched: &DispatchedRequest) -> Option<String> {
        let weights = dispatched.weights.unwrap_or_default();
        let request = &self.placement_request;
        match &request.prompt {
            Some(_) => Some(request.cache_group.salt(weights)),
            None => {
                let table = self.gateway.table()?;
                let service = table.service(&dispatched.service)?;
                let is_engine = service.engine.is_some();
                is_engine.then(|| CacheGroup::Single(self.id.clone()).salt(weights))
            }
        }
    }

    fn upstream_request(
        &self,
        dispatched: &DispatchedRequest,
        left: Duration,
        last_event_id: Option<u64>,
    ) -> Result<Request<OutgoingBody>, http::Error> {
        let mut headers = self.headers.clone();
        let salt = self.cache_salt(dispatched);
        let upstream_headers = UpstreamHeaders {
            time_left: left,
            upstream: &dispatched.instance.id,
            customer: self.customer.as_ref().map(|customer| customer.id.as_str()),
            cache_salt: salt.as_deref(),
            fetch_from: dispatched.fetch_from,
            save_to: dispatched.save_to,
            priority: self
                .placement_request
                .prompt
                .as_ref()
                .map(|_| self.priority()),
            last_event_id,
            weights: dispatched.weights,
        };
        self.gateway
            .platform
            .dialect
            .set_upstream_headers(&mut headers, &upstream_headers);
        let target = self
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let mut request = Request::builder().method(self.method.clone()).uri(target);
        if let Some(current) = request.headers_mut() {
            *current = headers;
        }
        request.body(self.body.clone().into())
    }
}

/// Returns what the result says about the room of the upstream; `None` if it says nothing before the
/// request has ended.
fn send_outcome(result: &Result<UpstreamResponse, AttemptFailure>) -> Option<SendOutcome> {
    match result {
        Ok(_) => Some(SendOutcome::Accepted),
        Err(AttemptFailure::NotSent(_) | AttemptFailure::PermitExpired) => {
            Some(SendOutcome::Unsent)
        }
        // Sent by whatever listens at the address instead of the upstream, or for other weights.
        Err(AttemptFailure::NotRun(status)) if *status == StatusCode::MISDIRECTED_REQUEST => None,
        Err(AttemptFailure::NotRun(_)) => Some(SendOutcome::Rejected),
        Err(AttemptFailure::Unknown(FailureCause::Connection, _)) => Some(SendOutcome::Broken),
        Err(AttemptFailure::Unknown(..) | AttemptFailure::Timeout) => None,
    }
}

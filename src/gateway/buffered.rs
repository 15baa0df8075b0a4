//! Forwarding of requests whose response is read completely before it is returned.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::attempt_failure::AttemptFailure;
use super::connection_headers::{closes_connection, ends_with_connection, keep_alive_timeout};
use super::model::RouteKind;
use super::placement::{DispatchedRequest, ROLLOUT_DRAW_MAX};
use super::request::AdmittedRequest;
use super::service_rollout::outcome_of_status;
use crate::caller_memory::{Receiving, SendingBody};
use crate::entry::{RequestGuard, strip_hop_by_hop};
use crate::error::Refusal;

/// Maximum size of a response body.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Weight of a 5xx response in the upstream's failure rate; below 1 because the application may
/// return such statuses in normal operation.
const SERVER_ERROR_FAILURE_WEIGHT: f64 = 0.3;

impl AdmittedRequest {
    /// Forwards the request and returns the complete response of the upstream.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no upstream returned a response.
    pub(super) async fn respond_buffered(
        mut self,
        request_guard: &Arc<RequestGuard>,
    ) -> Result<Response<Body>, Refusal> {
        let mut error_response = None;
        loop {
            if let Some(result) = self.forward_if_cut(request_guard).await {
                return result;
            }
            let mut dispatched = match self.next_upstream().await {
                Ok(dispatched) => dispatched,
                Err(refusal) => return error_response.ok_or(refusal),
            };
            let failure = match self.attempt(&dispatched).await {
                Ok(response) => {
                    let status = response.status();
                    dispatched.count_outcome(outcome_of_status(status));
                    dispatched.record_first_response();
                    if status.is_server_error() {
                        dispatched.record_failure(SERVER_ERROR_FAILURE_WEIGHT);
                    }
                    self.progress.runs += 1;
                    let may_retry = self.route.kind == RouteKind::Idempotent
                        && self.progress.runs < self.route.attempts;
                    if status.is_server_error() && may_retry {
                        self.progress.last_failure = Some("own_error");
                        self.placement_request.rollout_draw = ROLLOUT_DRAW_MAX;
                        error_response = Some(response);
                        continue;
                    }
                    self.record_response(&dispatched, status);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            if let Err(refusal) = self.record_failure(&dispatched, failure) {
                return error_response.ok_or(refusal);
            }
        }
    }

    async fn attempt(
        &mut self,
        dispatched: &DispatchedRequest,
    ) -> Result<Response<Body>, AttemptFailure> {
        let received = self.send(dispatched, None).await?;
        if !received.response.status().is_server_error() {
            dispatched.count_response();
        }
        let gateway = self.gateway.clone();
        let left = self.deadline.saturating_sub(gateway.now());
        let (mut parts, body) = received.response.into_parts();
        let receiving = gateway.memory.receive_response();
        let body = tokio::time::timeout(left, read_body(body, receiving))
            .await
            .map_err(|_| AttemptFailure::Timeout)??;
        if ends_with_connection(&parts.headers) {
            self.check_end_by_close(dispatched).await?;
        }
        let keep_alive = keep_alive_timeout(&parts.headers);
        if !closes_connection(&parts.headers) {
            let instance = dispatched.instance.clone();
            let connection = received.connection;
            tokio::spawn(async move {
                gateway
                    .pool
                    .return_connection(&instance, connection, keep_alive)
                    .await
            });
        }
        strip_hop_by_hop(&mut parts.headers);
        parts.extensions.insert(body.handle());
        Ok(Response::from_parts(parts, body.boxed_unsync()))
    }
}

/// Reads a body to its end into the memory of the VM.
async fn read_body(
    body: Incoming,
    mut receiving: Receiving,
) -> Result<SendingBody, AttemptFailure> {
    let mut body = body;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            AttemptFailure::connection(format!("reading the response body failed: {error}"))
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if receiving.len() + data.len() > RESPONSE_MAX_BYTES {
            let reason = "the response body exceeds the size limit";
            return Err(AttemptFailure::unusable(reason));
        }
        let pushed = receiving.push(&data);
        pushed.map_err(|error| AttemptFailure::unusable(error.to_string()))?;
    }
    let finished = receiving.finish_response();
    finished.map_err(|error| AttemptFailure::unusable(error.to_string()))
}

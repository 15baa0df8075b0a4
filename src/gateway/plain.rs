//! Requests that are answered in one piece.

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::Response;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::call::{AttemptFailure, Call, idle_timeout, is_closing};
use super::dispatch::DispatchedRequest;
use super::model::RouteKind;
use crate::entry::strip_hop_by_hop;
use crate::error::Refusal;

/// Largest answer that is read whole.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Weight of an upstream's own error in its failure rate, as such errors are part of its service.
const OWN_ERROR_WEIGHT: f64 = 0.3;

impl Call {
    /// Passes the request on and returns the upstream's whole answer.
    pub(super) async fn plain(mut self) -> Result<Response<Body>, Refusal> {
        let mut own_error = None;
        loop {
            let mut dispatched = match self.next_upstream().await {
                Ok(dispatched) => dispatched,
                Err(refusal) => return own_error.ok_or(refusal),
            };
            let failure = match self.attempt_whole(&dispatched).await {
                Ok(response) => {
                    let status = response.status();
                    dispatched.record_first_response();
                    if status.is_server_error() {
                        dispatched.record_failure(OWN_ERROR_WEIGHT);
                    }
                    self.progress.runs += 1;
                    let may_repeat = self.route.kind == RouteKind::Idempotent
                        && self.progress.runs < self.route.attempts;
                    if status.is_server_error() && may_repeat {
                        self.progress.last_failure = Some("own_error");
                        own_error = Some(response);
                        continue;
                    }
                    self.answered(&dispatched, status);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            if let Err(refusal) = self.failed(&dispatched, failure) {
                return own_error.ok_or(refusal);
            }
        }
    }

    async fn attempt_whole(
        &mut self,
        dispatched: &DispatchedRequest,
    ) -> Result<Response<Body>, AttemptFailure> {
        let opened = self.open(dispatched, None).await?;
        let hub = self.hub.clone();
        let left = self.deadline.saturating_sub(hub.now());
        let (mut parts, body) = opened.response.into_parts();
        let whole = tokio::time::timeout(left, read_whole(body))
            .await
            .map_err(|_| AttemptFailure::Timeout)?
            .map_err(AttemptFailure::Unknown)?;
        let idle = idle_timeout(&parts.headers);
        if !is_closing(&parts.headers) {
            let instance = dispatched.instance.clone();
            let connection = opened.connection;
            tokio::spawn(async move { hub.pool.give_back(&instance, connection, idle).await });
        }
        strip_hop_by_hop(&mut parts.headers);
        let body = Full::new(whole)
            .map_err(|never| match never {})
            .boxed_unsync();
        Ok(Response::from_parts(parts, body))
    }
}

async fn read_whole(mut body: Incoming) -> Result<Bytes, String> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("body: {error}"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > ANSWER_MAX_BYTES {
            return Err("body: too large".into());
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

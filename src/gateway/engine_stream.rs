//! Stream of events from one engine.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::attempt_failure::AttemptFailure;
use super::connection_headers::{closes_connection, ends_with_connection, keep_alive_timeout};
use super::event_splitter::{EventSplitter, SplitEvents};
use super::exchange::UpstreamResponse;
use super::placement::DispatchedRequest;
use super::pool::Connection;
use super::request::AdmittedRequest;
use super::service_rollout::outcome_of_status;
use crate::caller_memory::Reservation;

/// Time after the deadline in which a stream may end with what arrives without a wait.
const PROMPT_END_TIME: Duration = Duration::from_millis(200);

/// Body of an engine's response, with the connection and the load that the run takes.
pub(super) struct EngineStream {
    body: Incoming,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    is_reusable: bool,
    /// Whether the end of the stream is that of the connection.
    ends_with_connection: bool,
    /// Memory of the event that has not arrived completely.
    share: Reservation,
    pub(super) dispatched: DispatchedRequest,
}

/// Result of reading from an engine's response.
pub(super) enum ReadOutcome {
    /// Complete events, at least one of which has a field.
    Events(SplitEvents),
    /// Comments and empty lines, which are no progress.
    Filler(SplitEvents),
    End,
}

/// Separates the head of a response from its stream.
pub(super) fn split_response(
    received: UpstreamResponse,
    dispatched: DispatchedRequest,
    admitted: &AdmittedRequest,
) -> (http::response::Parts, EngineStream) {
    let (parts, body) = received.response.into_parts();
    let mut dispatched = dispatched;
    if parts.status.is_server_error() {
        dispatched.count_outcome(outcome_of_status(parts.status));
    }
    let model = admitted
        .placement_request
        .prompt
        .as_ref()
        .map(|prompt| prompt.model.as_str());
    if let (Some(weights), Some(model)) = (received.head.weights, model) {
        dispatched.record_weights(weights, model);
    }
    let engine = EngineStream {
        body,
        is_reusable: !closes_connection(&parts.headers),
        ends_with_connection: ends_with_connection(&parts.headers),
        share: admitted.gateway.memory.reserve_response(),
        keep_alive: keep_alive_timeout(&parts.headers),
        connection: Some(received.connection),
        dispatched,
    };
    (parts, engine)
}

/// Reads until at least one complete event, or a comment, has arrived or the stream ends.
///
/// What arrives at once is read for a short time after the deadline.
pub(super) async fn read_events(
    admitted: &AdmittedRequest,
    engine: &mut EngineStream,
    splitter: &mut EventSplitter,
) -> Result<ReadOutcome, AttemptFailure> {
    loop {
        let now = admitted.gateway.now();
        if now >= admitted.deadline + PROMPT_END_TIME {
            return Err(AttemptFailure::Timeout);
        }
        let left = admitted.deadline.saturating_sub(now);
        let frame = tokio::time::timeout(left, engine.body.frame());
        let frame = match splitter.is_inside_event() {
            true => frame.await,
            false => admitted.unless_withdrawn(&engine.dispatched, frame).await?,
        };
        let frame = match frame {
            Ok(frame) => frame,
            Err(_) => return Err(AttemptFailure::Timeout),
        };
        let data = match frame {
            None if splitter.is_inside_event() => {
                return Err(AttemptFailure::connection(
                    "the stream ended inside an event",
                ));
            }
            None if engine.ends_with_connection => {
                admitted.check_end_by_close(&engine.dispatched).await?;
                return Ok(ReadOutcome::End);
            }
            None => return Ok(ReadOutcome::End),
            Some(Err(error)) => {
                return Err(AttemptFailure::connection(format!("stream: {error}")));
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let events = splitter
            .push(&data)
            .map_err(|error| AttemptFailure::unusable(error.to_string()))?;
        engine
            .share
            .resize(splitter.buffered_bytes())
            .map_err(|error| AttemptFailure::unusable(error.to_string()))?;
        if !events.has_event {
            match events.bytes.is_empty() {
                true => continue,
                false => return Ok(ReadOutcome::Filler(events)),
            }
        }
        if !events.bytes.is_empty() {
            if engine.dispatched.record_first_response() {
                engine.dispatched.count_response();
                admitted.record_first_event(&engine.dispatched);
            }
            return Ok(ReadOutcome::Events(events));
        }
    }
}

/// Closes the connection to an engine, which makes the engine abort the request.
pub(super) fn close_stream(engine: EngineStream) -> DispatchedRequest {
    let EngineStream {
        body,
        connection,
        dispatched,
        ..
    } = engine;
    drop(connection);
    drop(body);
    dispatched
}

/// Records a response that has ended and returns its connection to the pool.
pub(super) fn finish_stream(
    admitted: &AdmittedRequest,
    mut engine: EngineStream,
    status: http::StatusCode,
) {
    engine.dispatched.count_outcome(outcome_of_status(status));
    admitted.record_response(&engine.dispatched, status);
    let connection = engine.connection.take().filter(|_| engine.is_reusable);
    if let Some(connection) = connection {
        let gateway = admitted.gateway.clone();
        let instance = engine.dispatched.instance.clone();
        let keep_alive = engine.keep_alive;
        tokio::spawn(async move {
            gateway
                .pool
                .return_connection(&instance, connection, keep_alive)
                .await
        });
    }
}

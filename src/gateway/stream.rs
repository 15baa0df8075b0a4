//! Forwarding of event streams, which are resumed at another engine if one fails.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::attempt_failure::{AttemptFailure, FailureCause};
use super::connection_headers::{closes_connection, keep_alive_timeout};
use super::dispatch::DispatchedRequest;
use super::event_log::{AbortStage, LogEvent};
use super::event_splitter::EventSplitter;
use super::pool::Connection;
use super::request::{AdmittedRequest, UpstreamResponse};
use crate::entry::{RequestGuard, strip_hop_by_hop};
use crate::error::{Code, Refusal};

/// Time without an event after which a stream is resumed at another engine; less than the two
/// seconds after which the first callers close the connection.
const EVENT_STALL_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Event stream that is being forwarded to a caller.
struct EventStream {
    admitted: AdmittedRequest,
    source: StreamSource,
    splitter: EventSplitter,
    first_events: Option<Bytes>,
    status: http::StatusCode,
    request_guard: RequestGuard,
}

/// Source of the events that have not been forwarded yet.
enum StreamSource {
    Engine(Box<EngineStream>),
    Ended,
}

struct EngineStream {
    body: Incoming,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    is_reusable: bool,
    dispatched: DispatchedRequest,
}

/// Result of reading from an engine's response.
enum ReadOutcome {
    Events(Bytes),
    End,
}

/// Opens a stream at an engine and returns the response that forwards it.
///
/// # Errors
///
/// Returns the refusal for the caller if no engine sent a first event.
pub(super) async fn respond(
    mut admitted: AdmittedRequest,
    request_guard: RequestGuard,
) -> Result<Response<Body>, Refusal> {
    loop {
        let dispatched = admitted.next_upstream().await?;
        let last_event_id = admitted.head.last_event_id;
        let received = match admitted.send(&dispatched, last_event_id).await {
            Ok(received) => received,
            Err(failure) => {
                admitted.record_failure(&dispatched, failure)?;
                continue;
            }
        };
        let (mut parts, mut engine) = split_response(received, dispatched, &admitted);
        let mut splitter = EventSplitter::after(last_event_id);
        // The head is withheld until the first event, so that the request can still be sent to
        // another engine.
        let first_events = read_events(&admitted, &mut engine, &mut splitter, None).await;
        let first_events = match first_events {
            Ok(ReadOutcome::Events(events)) => Some(events),
            Ok(ReadOutcome::End) => None,
            Err(failure) => {
                let dispatched = close_stream(engine);
                admitted.record_failure(&dispatched, failure)?;
                continue;
            }
        };
        admitted
            .gateway
            .metrics
            .record_first_event(admitted.gateway.now().saturating_sub(admitted.arrived_at));
        strip_hop_by_hop(&mut parts.headers);
        let source = match first_events {
            Some(_) => StreamSource::Engine(Box::new(engine)),
            None => {
                finish_stream(&admitted, engine, parts.status);
                StreamSource::Ended
            }
        };
        let event_stream = EventStream {
            status: parts.status,
            admitted,
            source,
            splitter,
            first_events,
            request_guard,
        };
        let frames = stream::unfold(Some(event_stream), |event_stream| async move {
            let mut event_stream = event_stream?;
            match event_stream.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(event_stream))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        return Ok(Response::from_parts(
            parts,
            StreamBody::new(frames).boxed_unsync(),
        ));
    }
}

fn split_response(
    received: UpstreamResponse,
    dispatched: DispatchedRequest,
    admitted: &AdmittedRequest,
) -> (http::response::Parts, EngineStream) {
    let (parts, body) = received.response.into_parts();
    let mut dispatched = dispatched;
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
        keep_alive: keep_alive_timeout(&parts.headers),
        connection: Some(received.connection),
        dispatched,
    };
    (parts, engine)
}

/// Reads until at least one complete event has arrived or the stream ends.
async fn read_events(
    admitted: &AdmittedRequest,
    engine: &mut EngineStream,
    splitter: &mut EventSplitter,
    stall_timeout: Option<Duration>,
) -> Result<ReadOutcome, AttemptFailure> {
    loop {
        let left = admitted.deadline.saturating_sub(admitted.gateway.now());
        let wait = stall_timeout.map_or(left, |stall_timeout| stall_timeout.min(left));
        let frame = tokio::time::timeout(wait, engine.body.frame());
        let frame = match splitter.is_inside_event() {
            true => frame.await,
            false => admitted.unless_withdrawn(&engine.dispatched, frame).await?,
        };
        let frame = match frame {
            Ok(frame) => frame,
            Err(_) if wait == left => return Err(AttemptFailure::Timeout),
            Err(_) => {
                let reason = "no event in time".to_owned();
                return Err(AttemptFailure::Unknown(FailureCause::Stalled, reason));
            }
        };
        let data = match frame {
            None if splitter.is_inside_event() => {
                return Err(AttemptFailure::connection(
                    "the stream ended inside an event",
                ));
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
        if !events.is_empty() {
            if engine.dispatched.record_first_response() {
                admitted.record_first_event(&engine.dispatched);
            }
            return Ok(ReadOutcome::Events(events));
        }
    }
}

/// Closes the connection to an engine, which makes the engine abort the request.
fn close_stream(engine: EngineStream) -> DispatchedRequest {
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

fn finish_stream(admitted: &AdmittedRequest, mut engine: EngineStream, status: http::StatusCode) {
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

impl EventStream {
    /// Returns the next complete events, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream broke and cannot be resumed.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(first_events) = self.first_events.take() {
            return Ok(Some(first_events));
        }
        loop {
            let StreamSource::Engine(engine) = &mut self.source else {
                return Ok(None);
            };
            let stall_timeout = self.admitted.may_retry().then_some(EVENT_STALL_TIMEOUT);
            let read = tokio::select! {
                biased;
                read = read_events(&self.admitted, engine, &mut self.splitter, stall_timeout) => read,
                () = self.request_guard.wait_for_abort() => {
                    let refusal = Refusal::new(Code::StreamBroken, "the VM is shutting down");
                    self.source = StreamSource::Ended;
                    self.admitted.gateway.record_abort(&self.admitted.id, AbortStage::Streaming);
                    self.log_broken(&refusal, self.splitter.last_id());
                    return Err(io::Error::other(refusal));
                }
            };
            let failure = match read {
                Ok(ReadOutcome::Events(events)) => return Ok(Some(events)),
                Ok(ReadOutcome::End) => {
                    if let StreamSource::Engine(engine) =
                        std::mem::replace(&mut self.source, StreamSource::Ended)
                    {
                        finish_stream(&self.admitted, *engine, self.status);
                    }
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            self.resume(failure).await.map_err(io::Error::other)?;
        }
    }

    /// Resumes the stream at another engine after the last complete event.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the stream cannot be resumed.
    async fn resume(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        let StreamSource::Engine(engine) = std::mem::replace(&mut self.source, StreamSource::Ended)
        else {
            return Err(Refusal::new(
                Code::StreamBroken,
                "the stream has already ended",
            ));
        };
        let dispatched = close_stream(*engine);
        let after_event = self.splitter.last_id();
        let mut failure_result = self.admitted.record_failure(&dispatched, failure);
        loop {
            if let Err(refusal) = failure_result {
                self.log_broken(&refusal, after_event);
                return Err(refusal);
            }
            let next = self.admitted.next_upstream().await;
            let next = next.inspect_err(|refusal| self.log_broken(refusal, after_event))?;
            match self.admitted.send(&next, after_event).await {
                Ok(received) if received.response.status() == self.status => {
                    let upstream = &next.instance.id;
                    let event = LogEvent::Resumed {
                        upstream,
                        after_event,
                    };
                    self.admitted
                        .gateway
                        .event_log
                        .log_request(&self.admitted.id, &event);
                    let (_, engine) = split_response(received, next, &self.admitted);
                    self.splitter = EventSplitter::after(after_event);
                    self.source = StreamSource::Engine(Box::new(engine));
                    return Ok(());
                }
                Ok(_) => {
                    let reason =
                        "the engine answered the resumed stream with another status".to_owned();
                    failure_result = self
                        .admitted
                        .record_failure(&next, AttemptFailure::unusable(reason));
                }
                Err(failure) => failure_result = self.admitted.record_failure(&next, failure),
            }
        }
    }

    fn log_broken(&self, refusal: &Refusal, after_event: Option<u64>) {
        let event = LogEvent::StreamBroken {
            reason: &refusal.message,
            after_event,
            runs: self.admitted.progress.runs,
            stopping_ms: self.admitted.gateway.stopping_ms(),
        };
        self.admitted
            .gateway
            .event_log
            .log_request(&self.admitted.id, &event);
        self.admitted
            .gateway
            .metrics
            .count_refusal(Code::StreamBroken);
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        if let StreamSource::Engine(engine) = &self.source {
            let admitted = &self.admitted;
            let event = LogEvent::CallerLeft {
                upstream: &engine.dispatched.instance.id,
                after_ms: admitted
                    .gateway
                    .now()
                    .saturating_sub(admitted.arrived_at)
                    .as_millis() as u64,
            };
            admitted.gateway.event_log.log_request(&admitted.id, &event);
        }
    }
}

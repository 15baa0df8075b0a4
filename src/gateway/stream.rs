//! Forwarding of event streams, which are resumed at another engine if one fails.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::attempt_failure::AttemptFailure;
use super::engine_stream::{
    EngineStream, ReadOutcome, close_stream, finish_stream, read_events, split_response,
};
use super::event_log::{AbortStage, LogEvent};
use super::event_splitter::{EventSplitter, SplitEvents};
use super::exchange::UpstreamResponse;
use super::placement::DispatchedRequest;
use super::request::AdmittedRequest;
use super::takeover::{self, Silence};
use crate::entry::{RequestGuard, strip_hop_by_hop};
use crate::error::{Code, Refusal};

/// Event stream that is being forwarded to a caller.
pub(super) struct EventStream {
    pub(super) admitted: AdmittedRequest,
    pub(super) source: StreamSource,
    pub(super) splitter: EventSplitter,
    /// Events that have been read and not been forwarded.
    pub(super) pending_events: Option<SplitEvents>,
    /// Id of the last event that was forwarded, after which another engine goes on.
    pub(super) forwarded_id: Option<u64>,
    pub(super) status: http::StatusCode,
    /// Media type of the first engine's response.
    media_type: Option<String>,
    /// Wait for the next event that comments have interrupted.
    silence: Option<Silence>,
    _request_guard: Arc<RequestGuard>,
}

/// Source of the events that have not been forwarded yet.
pub(super) enum StreamSource {
    Engine(Box<EngineStream>),
    Ended,
}

/// Opens a stream at an engine and returns the response that forwards it.
///
/// # Errors
///
/// Returns the refusal for the caller if no engine sent a first event.
pub(super) async fn respond(
    mut admitted: AdmittedRequest,
    request_guard: Arc<RequestGuard>,
) -> Result<Response<Body>, Refusal> {
    if let Some(result) = admitted.forward_if_cut(&request_guard).await {
        return result;
    }
    admitted.bind_taken_up().await?;
    loop {
        if let Some(result) = admitted.forward_if_cut(&request_guard).await {
            return result;
        }
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
        let has_ids = admitted.route.is_resumable && parts.status.is_success();
        let mut splitter = EventSplitter::new(last_event_id, has_ids);
        // The head is withheld until the first event, so that the request can still be sent to
        // another engine.
        let first_events = read_first_events(&admitted, &mut engine, &mut splitter).await;
        let first_events = match first_events {
            Ok(events) => events,
            Err(failure) => {
                let dispatched = close_stream(engine);
                admitted.record_failure(&dispatched, failure)?;
                continue;
            }
        };
        if first_events.is_some() {
            admitted.bind_begun(&engine.dispatched).await;
        }
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
            media_type: media_type(&parts.headers),
            admitted,
            source,
            splitter,
            pending_events: first_events,
            forwarded_id: last_event_id,
            silence: None,
            _request_guard: request_guard,
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

/// Reads until the first event has arrived, and returns it with the comments before it; `None` if
/// the stream ends before.
///
/// # Errors
///
/// Returns the failure of the attempt.
async fn read_first_events(
    admitted: &AdmittedRequest,
    engine: &mut EngineStream,
    splitter: &mut EventSplitter,
) -> Result<Option<SplitEvents>, AttemptFailure> {
    // Bounded by the splitter.
    let mut first = SplitEvents::default();
    loop {
        match read_events(admitted, engine, splitter).await? {
            ReadOutcome::Filler(filler) => first.append(filler),
            ReadOutcome::Events(events) => {
                first.append(events);
                return Ok(Some(first));
            }
            ReadOutcome::End => return Ok((!first.bytes.is_empty()).then_some(first)),
        }
    }
}

impl EventStream {
    /// Returns the next complete events, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream broke and cannot be resumed, or the shutdown ends it.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let gateway = self.admitted.gateway.clone();
        tokio::select! {
            biased;
            next = self.next_events() => next.map_err(io::Error::other),
            () = gateway.drain.wait_for_abort() => {
                let refusal = Refusal::new(Code::StreamBroken, "the VM is shutting down");
                self.source = StreamSource::Ended;
                gateway.record_abort(&self.admitted.id, AbortStage::Streaming);
                self.log_broken(&refusal);
                Err(io::Error::other(refusal))
            }
        }
    }

    async fn next_events(&mut self) -> Result<Option<Bytes>, Refusal> {
        let now = self.admitted.gateway.now();
        let mut silence = self.silence.take().unwrap_or(Silence::since(now));
        loop {
            if let Some(events) = self.pending_events.take() {
                return Ok(Some(self.forward(events)));
            }
            let StreamSource::Engine(engine) = &mut self.source else {
                return Ok(None);
            };
            let read = tokio::select! {
                biased;
                read = read_events(&self.admitted, engine, &mut self.splitter) => read,
                reserved = takeover::reserve_engine(&self.admitted, &mut silence) => {
                    self.take_over(reserved).await?;
                    silence.record_search(self.admitted.gateway.now());
                    continue;
                }
            };
            match read {
                Ok(ReadOutcome::Events(events)) => return Ok(Some(self.forward(events))),
                Ok(ReadOutcome::Filler(filler)) => {
                    self.silence = Some(silence);
                    return Ok(Some(self.forward(filler)));
                }
                Ok(ReadOutcome::End) => {
                    if let Some(engine) = self.take_engine() {
                        finish_stream(&self.admitted, *engine, self.status);
                    }
                }
                Err(failure) => {
                    if let Some(engine) = self.take_engine() {
                        let dispatched = close_stream(*engine);
                        let result = self.admitted.record_failure(&dispatched, failure);
                        drop(dispatched);
                        self.resume(result).await?;
                    }
                }
            }
        }
    }

    /// Returns the bytes of events that leave for the caller now, and records the position.
    fn forward(&mut self, events: SplitEvents) -> Bytes {
        self.forwarded_id = events.last_id.or(self.forwarded_id);
        events.bytes
    }

    /// Returns the engine's stream, which is not a source of events from now on.
    pub(super) fn take_engine(&mut self) -> Option<Box<EngineStream>> {
        match std::mem::replace(&mut self.source, StreamSource::Ended) {
            StreamSource::Engine(engine) => Some(engine),
            StreamSource::Ended => None,
        }
    }

    /// Resumes the stream at another engine after the last event that was forwarded, if the result
    /// of the failed attempt permits.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the stream cannot be resumed.
    pub(super) async fn resume(
        &mut self,
        failure_result: Result<(), Refusal>,
    ) -> Result<(), Refusal> {
        let mut failure_result = failure_result;
        loop {
            if let Err(refusal) = failure_result {
                self.log_broken(&refusal);
                return Err(refusal);
            }
            let next = self.admitted.next_upstream().await;
            let next = next.inspect_err(|refusal| self.log_broken(refusal))?;
            let sent = self.admitted.send(&next, self.forwarded_id).await;
            match self.check_resumed(sent) {
                Ok(received) => {
                    self.continue_with(received, next);
                    return Ok(());
                }
                Err(failure) => failure_result = self.admitted.record_failure(&next, failure),
            }
        }
    }

    /// Checks that the response of another engine can continue the stream: it has the same status
    /// and media type.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt.
    pub(super) fn check_resumed(
        &self,
        sent: Result<UpstreamResponse, AttemptFailure>,
    ) -> Result<UpstreamResponse, AttemptFailure> {
        match sent {
            Ok(received) if received.response.status() != self.status => {
                let reason = "the engine answered the resumed stream with another status";
                Err(AttemptFailure::unusable(reason))
            }
            Ok(received) if media_type(received.response.headers()) != self.media_type => {
                let reason = "the engine answered the resumed stream with another media type";
                Err(AttemptFailure::unusable(reason))
            }
            sent => sent,
        }
    }

    /// Continues the stream after the last event that was forwarded with the response of another
    /// engine.
    pub(super) fn continue_with(
        &mut self,
        received: UpstreamResponse,
        dispatched: DispatchedRequest,
    ) {
        let event = LogEvent::Resumed {
            upstream: &dispatched.instance.id,
            after_event: self.forwarded_id,
        };
        self.admitted
            .gateway
            .event_log
            .log_request(&self.admitted.id, &event);
        let (_, engine) = split_response(received, dispatched, &self.admitted);
        self.admitted.progress.must_retry = false;
        self.admitted.progress.closed_upstream = None;
        self.splitter = EventSplitter::new(self.forwarded_id, self.admitted.route.is_resumable);
        self.source = StreamSource::Engine(Box::new(engine));
    }

    fn log_broken(&self, refusal: &Refusal) {
        let event = LogEvent::StreamBroken {
            reason: &refusal.message,
            after_event: self.forwarded_id,
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

/// Returns the media type of a response without its parameters, in lower case.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let essence = value.split(';').next().unwrap_or_default();
    Some(essence.trim().to_ascii_lowercase())
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

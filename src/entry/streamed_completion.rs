//! Streams completions to callers and resumes them on another engine when one fails.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::json;

use super::attempt::{AcceptedResponse, EngineCall};
use super::completion_request::{CompletionRequest, Endpoint};
use super::drain::RequestGuard;
use super::engine_run::EngineRun;
use super::headers::CACHED_TOKENS;
use super::responses;
use super::sse::{EVENT_DELIMITER, EventParser, ParsedEvents};
use crate::error::Refusal;
use crate::ids::Tokens;
use crate::limit::Reservation;
use crate::outcome::{AttemptFailure, StopReason};
use crate::telemetry::{CustomerMetrics, Event};

/// Maximum wait for the end of a response body whose last event has arrived.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(50);

/// Relay of one stream from engines to the caller, polled as the caller reads.
struct StreamRelay {
    call: EngineCall,
    reservation: Reservation,
    metrics: CustomerMetrics,
    source: RelaySource,
    parser: EventParser,
    pending_failure: Option<AttemptFailure>,
    request_guard: RequestGuard,
}

/// Source of a relay's events.
enum RelaySource {
    /// Response of an engine.
    Engine { body: Incoming, run: EngineRun },
    /// Response body whose last event has arrived.
    DoneBody(Incoming),
    /// No further events.
    Ended,
}

/// Opens a stream on an engine and returns the response that relays it to the caller.
///
/// # Errors
///
/// Returns the refusal for the caller if no engine responds.
pub(super) async fn respond(
    mut call: EngineCall,
    mut reservation: Reservation,
    request_guard: RequestGuard,
) -> Result<Response<Body>, Refusal> {
    let AcceptedResponse { response, run } = call.open(0).await?;
    reservation.consume(call.completion.prompt_tokens);
    let cached_tokens = response.headers().get(CACHED_TOKENS).cloned();
    let relay = StreamRelay {
        metrics: call.app.metrics.customer(&call.customer_id),
        call,
        reservation,
        source: RelaySource::Engine {
            body: response.into_body(),
            run,
        },
        parser: EventParser::new(0),
        pending_failure: None,
        request_guard,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next_chunk().await?;
        Some((Ok::<_, io::Error>(Frame::data(bytes)), relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    if let Some(cached_tokens) = cached_tokens {
        headers.insert(CACHED_TOKENS, cached_tokens);
    }
    Ok(response)
}

impl StreamRelay {
    async fn next_chunk(&mut self) -> Option<Bytes> {
        match &mut self.source {
            RelaySource::Engine { .. } => Some(self.next_events().await),
            RelaySource::DoneBody(body) => {
                // The connection can be reused only if the body was read to its end.
                let _ = tokio::time::timeout(BODY_END_TIMEOUT, body.frame()).await;
                None
            }
            RelaySource::Ended => None,
        }
    }

    async fn next_events(&mut self) -> Bytes {
        let (app, key) = (self.call.app.clone(), self.call.caller_key());
        tokio::select! {
            biased;
            () = app.wait_for_key_withdrawal(&key) => {
                app.metrics.record_event(Event::KeyWithdrawn);
                let refusal = self.call.refusal_for_stop(StopReason::KeyWithdrawn);
                self.end_with_error(&refusal)
            }
            events = self.read_events() => events,
        }
    }

    async fn read_events(&mut self) -> Bytes {
        loop {
            match self.read_or_resume().await {
                Ok(events) if events.is_empty() => continue,
                Ok(events) => return events,
                Err(refusal) => return self.end_with_error(&refusal),
            }
        }
    }

    async fn read_or_resume(&mut self) -> Result<Bytes, Refusal> {
        if self.request_guard.is_aborted() {
            return Err(self.call.refusal_for_stop(StopReason::Draining));
        }
        if let Some(failure) = self.pending_failure.take() {
            self.resume_stream(failure).await?;
        }
        let idle_timeout = self.call.app.settings.upstream.idle_timeout;
        let parsed = tokio::select! {
            biased;
            parsed = read_frame(&mut self.source, &mut self.parser, idle_timeout) => parsed,
            () = self.request_guard.wait_for_abort() =>
                return Err(self.call.refusal_for_stop(StopReason::Draining)),
        };
        Ok(match parsed {
            Ok(parsed) => self.account_for(parsed),
            Err(failure) => {
                self.pending_failure = Some(failure);
                Bytes::new()
            }
        })
    }

    /// Charges the tokens of parsed events, records how the stream continues, and returns the bytes
    /// to forward.
    fn account_for(&mut self, parsed: ParsedEvents) -> Bytes {
        if parsed.tokens > 0 {
            self.call.record_delivery();
            self.reservation.consume(parsed.tokens);
            self.metrics.record_tokens(parsed.tokens);
        }
        match parsed.error {
            _ if parsed.is_done => {
                self.finish_run();
                return self.insert_usage(parsed.events);
            }
            Some(_) => self.pending_failure = Some(AttemptFailure::StreamMalformed),
            None => {}
        }
        parsed.events
    }

    /// Inserts the usage chunk before the last event if the caller asked for it.
    fn insert_usage(&self, events: Bytes) -> Bytes {
        let completion = &self.call.completion;
        match completion.wants_usage {
            true => insert_before_last_event(
                &events,
                &usage_event(completion, self.parser.next_position()),
            ),
            false => events,
        }
    }

    fn finish_run(&mut self) {
        match std::mem::replace(&mut self.source, RelaySource::Ended) {
            RelaySource::Engine { body, run } => {
                run.finish();
                self.source = RelaySource::DoneBody(body);
            }
            source => self.source = source,
        }
    }

    /// Ends the stream and returns its error event.
    fn end_with_error(&mut self, refusal: &Refusal) -> Bytes {
        self.source = RelaySource::Ended;
        let customer = Some(self.call.customer_id.as_str());
        self.call.app.metrics.record_refusal(refusal.code, customer);
        responses::error_event(refusal)
    }

    /// Records a failed attempt and resumes the stream at the next position, usually on another
    /// engine.
    async fn resume_stream(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        if let RelaySource::Engine { body, run } =
            std::mem::replace(&mut self.source, RelaySource::Ended)
        {
            drop(body);
            self.call.record_failure(failure, run)?;
        }
        let position = self.parser.next_position();
        let AcceptedResponse { response, run } = self.call.resume(position).await?;
        let body = response.into_body();
        self.source = RelaySource::Engine { body, run };
        self.parser = EventParser::new(position);
        Ok(())
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if matches!(self.source, RelaySource::Engine { .. }) {
            self.call.app.metrics.record_event(Event::CallerLeft);
        }
    }
}

/// Returns the event with the token usage, as charged to the customer.
fn usage_event(completion: &CompletionRequest, output_tokens: Tokens) -> Vec<u8> {
    let object = match completion.endpoint {
        Endpoint::Chat => "chat.completion.chunk",
        Endpoint::Text => "text_completion",
    };
    let chunk = json!({
        "object": object,
        "model": completion.model,
        "choices": [],
        "usage": {
            "prompt_tokens": completion.prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": completion.prompt_tokens.saturating_add(output_tokens),
        },
    });
    format!("data: {chunk}\n\n").into_bytes()
}

/// Inserts an event before the last of `events`, which must be complete.
fn insert_before_last_event(events: &[u8], event: &[u8]) -> Bytes {
    let without_last_delimiter = &events[..events.len().saturating_sub(EVENT_DELIMITER.len())];
    let last = memchr::memmem::rfind(without_last_delimiter, EVENT_DELIMITER);
    let (before, last) = events.split_at(last.map_or(0, |found| found + EVENT_DELIMITER.len()));
    [before, event, last].concat().into()
}

async fn read_frame(
    source: &mut RelaySource,
    parser: &mut EventParser,
    idle_timeout: Duration,
) -> Result<ParsedEvents, AttemptFailure> {
    let RelaySource::Engine { body, .. } = source else {
        return Err(AttemptFailure::StreamEnded);
    };
    let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
        Ok(Some(Ok(frame))) => frame,
        Ok(Some(Err(_))) => return Err(AttemptFailure::StreamBroken),
        Ok(None) => return Err(AttemptFailure::StreamEnded),
        Err(_) => return Err(AttemptFailure::StreamIdle),
    };
    let data = frame.into_data().unwrap_or_default();
    Ok(parser.push(&data))
}

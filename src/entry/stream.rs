//! Completions streamed to the caller, resumed on another engine when one fails.

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

use super::attempt::{EngineCall, Opened};
use super::completion::{Completion, Endpoint};
use super::drain::UnderWay;
use super::headers::CACHED_TOKENS;
use super::reply;
use super::run::Run;
use super::sse::{EVENT_END, EventParser, Parsed};
use crate::error::Refusal;
use crate::ids::Tokens;
use crate::limit::Reservation;
use crate::outcome::{Failure, Stop};
use crate::telemetry::{CustomerMetrics, Event};

/// Bound on the wait for the end of a body whose last event has come.
const TAIL_TIMEOUT: Duration = Duration::from_millis(50);

/// Relay of one stream, driven by the caller's reading.
struct Relay {
    call: EngineCall,
    reservation: Reservation,
    metrics: CustomerMetrics,
    source: Source,
    parser: EventParser,
    failure: Option<Failure>,
    under_way: UnderWay,
}

/// Where the relay's events come from.
enum Source {
    /// An engine's answer.
    Engine { body: Incoming, run: Run },
    /// The rest of an answer whose last event has come.
    Tail(Incoming),
    /// Nothing more comes.
    Ended,
}

/// Opens a stream and returns the answer that relays it.
pub(super) async fn answer(
    mut call: EngineCall,
    mut reservation: Reservation,
    under_way: UnderWay,
) -> Result<Response<Body>, Refusal> {
    let Opened { response, run } = call.open(0).await?;
    reservation.consume(call.completion.prompt_tokens);
    let cached = response.headers().get(CACHED_TOKENS).cloned();
    let relay = Relay {
        metrics: call.app.metrics.customer(&call.customer_id),
        call,
        reservation,
        source: Source::Engine {
            body: response.into_body(),
            run,
        },
        parser: EventParser::new(0),
        failure: None,
        under_way,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Some((Ok::<_, io::Error>(Frame::data(bytes)), relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    if let Some(cached) = cached {
        headers.insert(CACHED_TOKENS, cached);
    }
    Ok(response)
}

impl Relay {
    async fn next(&mut self) -> Option<Bytes> {
        match &mut self.source {
            Source::Engine { .. } => Some(self.next_events().await),
            Source::Tail(body) => {
                // A body read to its end leaves its connection fit for reuse.
                let _ = tokio::time::timeout(TAIL_TIMEOUT, body.frame()).await;
                None
            }
            Source::Ended => None,
        }
    }

    async fn next_events(&mut self) -> Bytes {
        let (app, key) = (self.call.app.clone(), self.call.key());
        tokio::select! {
            biased;
            () = app.key_withdrawn(&key) => {
                app.metrics.event(Event::KeyWithdrawn);
                let refusal = self.call.stopped(Stop::KeyWithdrawn);
                self.end(&refusal)
            }
            events = self.received_events() => events,
        }
    }

    async fn received_events(&mut self) -> Bytes {
        loop {
            match self.step().await {
                Ok(events) if events.is_empty() => continue,
                Ok(events) => return events,
                Err(refusal) => return self.end(&refusal),
            }
        }
    }

    async fn step(&mut self) -> Result<Bytes, Refusal> {
        if self.under_way.is_cut() {
            return Err(self.call.stopped(Stop::Draining));
        }
        if let Some(failure) = self.failure.take() {
            self.resume(failure).await?;
        }
        let idle = self.call.app.settings.upstream.idle_timeout;
        let parsed = tokio::select! {
            biased;
            parsed = read(&mut self.source, &mut self.parser, idle) => parsed,
            () = self.under_way.cut() => return Err(self.call.stopped(Stop::Draining)),
        };
        Ok(match parsed {
            Ok(parsed) => self.take(parsed),
            Err(failure) => {
                self.failure = Some(failure);
                Bytes::new()
            }
        })
    }

    /// Accounts for events and notes what comes after them.
    fn take(&mut self, parsed: Parsed) -> Bytes {
        if parsed.tokens > 0 {
            self.call.delivered();
            self.reservation.consume(parsed.tokens);
            self.metrics.tokens(parsed.tokens);
        }
        match parsed.error {
            _ if parsed.is_done => {
                self.finish();
                return self.with_usage(parsed.events);
            }
            Some(_) => self.failure = Some(Failure::StreamMalformed),
            None => {}
        }
        parsed.events
    }

    /// Puts the tokens used before the last event, where the caller asked for them.
    fn with_usage(&self, events: Bytes) -> Bytes {
        let completion = &self.call.completion;
        match completion.wants_usage {
            true => before_last(
                &events,
                &usage_event(completion, self.parser.next_position()),
            ),
            false => events,
        }
    }

    fn finish(&mut self) {
        match std::mem::replace(&mut self.source, Source::Ended) {
            Source::Engine { body, run } => {
                run.finish();
                self.source = Source::Tail(body);
            }
            source => self.source = source,
        }
    }

    /// Ends the stream with an error event.
    fn end(&mut self, refusal: &Refusal) -> Bytes {
        self.source = Source::Ended;
        let customer = Some(self.call.customer_id.as_str());
        self.call.app.metrics.refusal(refusal.code, customer);
        reply::error_event(refusal)
    }

    /// Opens the stream on another engine from the next position on.
    async fn resume(&mut self, failure: Failure) -> Result<(), Refusal> {
        if let Source::Engine { body, run } = std::mem::replace(&mut self.source, Source::Ended) {
            drop(body);
            self.call.fail(failure, run)?;
        }
        let position = self.parser.next_position();
        let Opened { response, run } = self.call.resume(position).await?;
        let body = response.into_body();
        self.source = Source::Engine { body, run };
        self.parser = EventParser::new(position);
        Ok(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if matches!(self.source, Source::Engine { .. }) {
            self.call.app.metrics.event(Event::CallerLeft);
        }
    }
}

/// Returns the event that tells the tokens used, as they were charged.
fn usage_event(completion: &Completion, output_tokens: Tokens) -> Vec<u8> {
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

/// Returns whole events with one more before the last of them.
fn before_last(events: &[u8], event: &[u8]) -> Bytes {
    let all_but_end = &events[..events.len().saturating_sub(EVENT_END.len())];
    let last = memchr::memmem::rfind(all_but_end, EVENT_END);
    let (before, last) = events.split_at(last.map_or(0, |found| found + EVENT_END.len()));
    [before, event, last].concat().into()
}

async fn read(
    source: &mut Source,
    parser: &mut EventParser,
    idle: Duration,
) -> Result<Parsed, Failure> {
    let Source::Engine { body, .. } = source else {
        return Err(Failure::StreamEnded);
    };
    let frame = match tokio::time::timeout(idle, body.frame()).await {
        Ok(Some(Ok(frame))) => frame,
        Ok(Some(Err(_))) => return Err(Failure::StreamBroken),
        Ok(None) => return Err(Failure::StreamEnded),
        Err(_) => return Err(Failure::StreamIdle),
    };
    let data = frame.into_data().unwrap_or_default();
    Ok(parser.push(&data))
}

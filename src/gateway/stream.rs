//! Streams of events, passed on as they arrive and resumed at another engine where one fails.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::call::{AttemptFailure, Call, Opened, idle_timeout, is_closing};
use super::dispatch::DispatchedRequest;
use super::events::EventSplitter;
use super::journal::Event;
use super::pool::Connection;
use crate::entry::{UnderWay, strip_hop_by_hop};
use crate::error::{Code, Refusal};

/// Silence between two events after which a stream is resumed elsewhere. Callers leave after two
/// seconds or more.
const STALL: Duration = Duration::from_millis(1_300);

/// Stream under way.
struct Relay {
    call: Call,
    source: Source,
    splitter: EventSplitter,
    first: Option<Bytes>,
    status: http::StatusCode,
    under_way: UnderWay,
}

/// Engine that the events come from.
enum Source {
    Engine(Box<Engine>),
    Ended,
}

struct Engine {
    body: Incoming,
    connection: Option<Connection>,
    idle: Option<Duration>,
    is_kept: bool,
    dispatched: DispatchedRequest,
}

/// What a read of the engine's answer gave.
enum Read {
    Events(Bytes),
    End,
}

/// Opens a stream and returns the answer that relays it.
pub(super) async fn answer(mut call: Call, under_way: UnderWay) -> Result<Response<Body>, Refusal> {
    loop {
        let dispatched = call.next_upstream().await?;
        let position = call.head.last_event;
        let opened = match call.open(&dispatched, position).await {
            Ok(opened) => opened,
            Err(failure) => {
                call.failed(&dispatched, failure)?;
                continue;
            }
        };
        let (mut parts, mut engine) = split(opened, dispatched, &call);
        let mut splitter = EventSplitter::after(position);
        // The head is held back until the first event, so that another engine may still answer.
        let first = read(&call, &mut engine, &mut splitter, None).await;
        let first = match first {
            Ok(Read::Events(events)) => Some(events),
            Ok(Read::End) => None,
            Err(failure) => {
                let dispatched = close(engine);
                call.failed(&dispatched, failure)?;
                continue;
            }
        };
        call.hub
            .meters
            .first_event(call.hub.now().saturating_sub(call.arrived));
        strip_hop_by_hop(&mut parts.headers);
        let source = match first {
            Some(_) => Source::Engine(Box::new(engine)),
            None => {
                finish(&call, engine, parts.status);
                Source::Ended
            }
        };
        let relay = Relay {
            status: parts.status,
            call,
            source,
            splitter,
            first,
            under_way,
        };
        let frames = stream::unfold(Some(relay), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
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

fn split(
    opened: Opened,
    dispatched: DispatchedRequest,
    call: &Call,
) -> (http::response::Parts, Engine) {
    let (parts, body) = opened.response.into_parts();
    let mut dispatched = dispatched;
    let model = call.ask.prompt.as_ref().map(|prompt| prompt.model.as_str());
    if let (Some(weights), Some(model)) = (opened.head.weights, model) {
        dispatched.record_weights(weights, model);
    }
    let engine = Engine {
        body,
        is_kept: !is_closing(&parts.headers),
        idle: idle_timeout(&parts.headers),
        connection: Some(opened.connection),
        dispatched,
    };
    (parts, engine)
}

/// Reads until whole events have arrived.
async fn read(
    call: &Call,
    engine: &mut Engine,
    splitter: &mut EventSplitter,
    stall: Option<Duration>,
) -> Result<Read, AttemptFailure> {
    loop {
        let left = call.deadline.saturating_sub(call.hub.now());
        let wait = stall.map_or(left, |stall| stall.min(left));
        let frame = match tokio::time::timeout(wait, engine.body.frame()).await {
            Ok(frame) => frame,
            Err(_) if wait == left => return Err(AttemptFailure::Timeout),
            Err(_) => return Err(AttemptFailure::Unknown("no event for too long".into())),
        };
        let data = match frame {
            None if splitter.is_inside_event() => {
                return Err(AttemptFailure::Unknown("ended inside an event".into()));
            }
            None => return Ok(Read::End),
            Some(Err(error)) => return Err(AttemptFailure::Unknown(format!("stream: {error}"))),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let events = splitter
            .push(&data)
            .map_err(|error| AttemptFailure::Unknown(error.to_string()))?;
        if !events.is_empty() {
            engine.dispatched.record_first_response();
            return Ok(Read::Events(events));
        }
    }
}

/// Closes an engine's connection, so that it stops work.
fn close(engine: Engine) -> DispatchedRequest {
    let Engine {
        body,
        connection,
        dispatched,
        ..
    } = engine;
    drop(connection);
    drop(body);
    dispatched
}

fn finish(call: &Call, mut engine: Engine, status: http::StatusCode) {
    call.answered(&engine.dispatched, status);
    let connection = engine.connection.take().filter(|_| engine.is_kept);
    if let Some(connection) = connection {
        let hub = call.hub.clone();
        let instance = engine.dispatched.instance.clone();
        let idle = engine.idle;
        tokio::spawn(async move { hub.pool.give_back(&instance, connection, idle).await });
    }
}

impl Relay {
    /// Returns the next events; nothing at the end.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        loop {
            let Source::Engine(engine) = &mut self.source else {
                return Ok(None);
            };
            let stall = self.call.may_repeat().then_some(STALL);
            let read = tokio::select! {
                biased;
                read = read(&self.call, engine, &mut self.splitter, stall) => read,
                () = self.under_way.cut() => {
                    let refusal = Refusal::new(Code::StreamBroken, "the VM shuts down");
                    self.source = Source::Ended;
                    self.broken(&refusal, self.splitter.last_id());
                    return Err(io::Error::other(refusal));
                }
            };
            let failure = match read {
                Ok(Read::Events(events)) => return Ok(Some(events)),
                Ok(Read::End) => {
                    if let Source::Engine(engine) =
                        std::mem::replace(&mut self.source, Source::Ended)
                    {
                        finish(&self.call, *engine, self.status);
                    }
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            self.resume(failure).await.map_err(io::Error::other)?;
        }
    }

    /// Goes on at another engine after the last whole event.
    async fn resume(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        let Source::Engine(engine) = std::mem::replace(&mut self.source, Source::Ended) else {
            return Err(Refusal::new(Code::StreamBroken, "the stream has ended"));
        };
        let dispatched = close(*engine);
        let after_event = self.splitter.last_id();
        let mut failed = self.call.failed(&dispatched, failure);
        loop {
            if let Err(refusal) = failed {
                self.broken(&refusal, after_event);
                return Err(refusal);
            }
            let next = self.call.next_upstream().await;
            let next = next.inspect_err(|refusal| self.broken(refusal, after_event))?;
            match self.call.open(&next, after_event).await {
                Ok(opened) if opened.response.status() == self.status => {
                    let upstream = &next.instance.id;
                    let event = Event::Resumed {
                        upstream,
                        after_event,
                    };
                    self.call.hub.journal.request(&self.call.id, &event);
                    let (_, engine) = split(opened, next, &self.call);
                    self.splitter = EventSplitter::after(after_event);
                    self.source = Source::Engine(Box::new(engine));
                    return Ok(());
                }
                Ok(_) => {
                    let reason = "the engine did not resume the stream".to_owned();
                    failed = self.call.failed(&next, AttemptFailure::Unknown(reason));
                }
                Err(failure) => failed = self.call.failed(&next, failure),
            }
        }
    }

    fn broken(&self, refusal: &Refusal, after_event: Option<u64>) {
        let event = Event::StreamBroken {
            reason: &refusal.message,
            after_event,
        };
        self.call.hub.journal.request(&self.call.id, &event);
        self.call.hub.meters.refusal(Code::StreamBroken);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Source::Engine(engine) = &self.source {
            let call = &self.call;
            let event = Event::CallerLeft {
                upstream: &engine.dispatched.instance.id,
                after_ms: call.hub.now().saturating_sub(call.arrived).as_millis() as u64,
            };
            call.hub.journal.request(&call.id, &event);
        }
    }
}

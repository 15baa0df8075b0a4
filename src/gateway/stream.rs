//! Streams of events, passed on as they arrive and resumed at another engine where one fails.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::dispatch::Dispatched;
use super::event_log::LogEvent;
use super::event_splitter::EventSplitter;
use super::pool::Connection;
use super::request::{AdmittedRequest, AttemptFailure, Opened, idle_timeout, is_closing};
use crate::entry::{UnderWay, strip_hop_by_hop};
use crate::error::{Code, Refusal};

/// Silence between two events after which a stream is resumed elsewhere. Callers leave after two
/// seconds or more.
const STALL: Duration = Duration::from_millis(1_300);

/// Stream under way.
struct Relay {
    admitted: AdmittedRequest,
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
    dispatched: Dispatched,
}

/// What a read of the engine's answer gave.
enum Read {
    Events(Bytes),
    End,
}

/// Opens a stream and returns the answer that relays it.
pub(super) async fn answer(
    mut admitted: AdmittedRequest,
    under_way: UnderWay,
) -> Result<Response<Body>, Refusal> {
    loop {
        let dispatched = admitted.next_upstream().await?;
        let position = admitted.head.last_event;
        let opened = match admitted.open(&dispatched, position).await {
            Ok(opened) => opened,
            Err(failure) => {
                admitted.failed(&dispatched, failure)?;
                continue;
            }
        };
        let (mut parts, mut engine) = split(opened, dispatched, &admitted);
        let mut splitter = EventSplitter::after(position);
        // The head is held back until the first event, so that another engine may still answer.
        let first = read(&admitted, &mut engine, &mut splitter, None).await;
        let first = match first {
            Ok(Read::Events(events)) => Some(events),
            Ok(Read::End) => None,
            Err(failure) => {
                let dispatched = close(engine);
                admitted.failed(&dispatched, failure)?;
                continue;
            }
        };
        admitted
            .gateway
            .metrics
            .first_event(admitted.gateway.now().saturating_sub(admitted.arrived));
        strip_hop_by_hop(&mut parts.headers);
        let source = match first {
            Some(_) => Source::Engine(Box::new(engine)),
            None => {
                finish(&admitted, engine, parts.status);
                Source::Ended
            }
        };
        let relay = Relay {
            status: parts.status,
            admitted,
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
    dispatched: Dispatched,
    admitted: &AdmittedRequest,
) -> (http::response::Parts, Engine) {
    let (parts, body) = opened.response.into_parts();
    let mut dispatched = dispatched;
    let model = admitted
        .placement_request
        .prompt
        .as_ref()
        .map(|prompt| prompt.model.as_str());
    if let (Some(weights), Some(model)) = (opened.head.weights, model) {
        dispatched.saw_weights(weights, model);
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
    admitted: &AdmittedRequest,
    engine: &mut Engine,
    splitter: &mut EventSplitter,
    stall: Option<Duration>,
) -> Result<Read, AttemptFailure> {
    loop {
        let left = admitted.deadline.saturating_sub(admitted.gateway.now());
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
            engine.dispatched.started();
            return Ok(Read::Events(events));
        }
    }
}

/// Closes an engine's connection, so that it stops work.
fn close(engine: Engine) -> Dispatched {
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

fn finish(admitted: &AdmittedRequest, mut engine: Engine, status: http::StatusCode) {
    admitted.answered(&engine.dispatched, status);
    let connection = engine.connection.take().filter(|_| engine.is_kept);
    if let Some(connection) = connection {
        let gateway = admitted.gateway.clone();
        let instance = engine.dispatched.instance.clone();
        let idle = engine.idle;
        tokio::spawn(async move { gateway.pool.give_back(&instance, connection, idle).await });
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
            let stall = self.admitted.may_repeat().then_some(STALL);
            let read = tokio::select! {
                biased;
                read = read(&self.admitted, engine, &mut self.splitter, stall) => read,
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
                        finish(&self.admitted, *engine, self.status);
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
        let mut failed = self.admitted.failed(&dispatched, failure);
        loop {
            if let Err(refusal) = failed {
                self.broken(&refusal, after_event);
                return Err(refusal);
            }
            let next = self.admitted.next_upstream().await;
            let next = next.inspect_err(|refusal| self.broken(refusal, after_event))?;
            match self.admitted.open(&next, after_event).await {
                Ok(opened) if opened.response.status() == self.status => {
                    let upstream = &next.instance.id;
                    let event = LogEvent::Resumed {
                        upstream,
                        after_event,
                    };
                    self.admitted
                        .gateway
                        .event_log
                        .log_request(&self.admitted.id, &event);
                    let (_, engine) = split(opened, next, &self.admitted);
                    self.splitter = EventSplitter::after(after_event);
                    self.source = Source::Engine(Box::new(engine));
                    return Ok(());
                }
                Ok(_) => {
                    let reason = "the engine did not resume the stream".to_owned();
                    failed = self.admitted.failed(&next, AttemptFailure::Unknown(reason));
                }
                Err(failure) => failed = self.admitted.failed(&next, failure),
            }
        }
    }

    fn broken(&self, refusal: &Refusal, after_event: Option<u64>) {
        let event = LogEvent::StreamBroken {
            reason: &refusal.message,
            after_event,
        };
        self.admitted
            .gateway
            .event_log
            .log_request(&self.admitted.id, &event);
        self.admitted.gateway.metrics.refusal(Code::StreamBroken);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Source::Engine(engine) = &self.source {
            let admitted = &self.admitted;
            let event = LogEvent::CallerLeft {
                upstream: &engine.dispatched.instance.id,
                after_ms: admitted
                    .gateway
                    .now()
                    .saturating_sub(admitted.arrived)
                    .as_millis() as u64,
            };
            admitted.gateway.event_log.log_request(&admitted.id, &event);
        }
    }
}

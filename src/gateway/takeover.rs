//! Moves a stream whose engine sends no events to another engine.
//!
//! The silent engine is read until another one has the request, so that its silence alone never
//! ends a stream.

use std::pin::pin;

use super::attempt_failure::{AttemptFailure, FailureCause};
use super::engine_stream::{EngineStream, ReadOutcome, close_stream, finish_stream, read_events};
use super::event_splitter::{EventSplitter, SplitEvents};
use super::exchange::UpstreamResponse;
use super::pending_call::was_paused_since;
use super::placement::DispatchedRequest;
use super::pool::Connection;
use super::request::AdmittedRequest;
use super::stall::{SilentStream, StallSettings};
use super::stream::{EventStream, StreamSource};
use crate::clock::Instant;
use crate::error::Refusal;

type ExchangeResult = Result<UpstreamResponse, AttemptFailure>;

/// Wait for the next event of a stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Silence {
    since: Instant,
    searched_at: Option<Instant>,
}

impl Silence {
    pub(super) fn since(since: Instant) -> Self {
        Self {
            since,
            searched_at: None,
        }
    }

    /// Records the end of a search for another engine.
    pub(super) fn record_search(&mut self, now: Instant) {
        self.searched_at = Some(now);
    }
}

/// Engine on which a place is reserved for the request.
#[derive(Debug)]
pub(super) struct ReservedEngine {
    dispatched: DispatchedRequest,
    /// Connection to the engine, or why there is none.
    connection: Result<Connection, AttemptFailure>,
    searched_since: Instant,
}

/// Waits until the silent engine of a stream may be replaced and a place at another one is
/// reserved.
///
/// Dropping the future gives up the place or the wait for one. A retry is deducted from the budget
/// only if the result holds a connection.
pub(super) async fn reserve_engine(
    admitted: &AdmittedRequest,
    silence: &mut Silence,
) -> ReservedEngine {
    let (gateway, service) = (&admitted.gateway, &admitted.placement_request.service);
    loop {
        let search_at = silent_stream(admitted, *silence).next_search_at(&StallSettings::default());
        let Some(search_at) = search_at.filter(|_| admitted.may_send()) else {
            return std::future::pending().await;
        };
        tokio::time::sleep(search_at.saturating_sub(gateway.now())).await;
        let searched_since = gateway.now();
        if was_paused_since(search_at, searched_since) {
            // Events may have arrived meanwhile.
            *silence = Silence::since(searched_since);
            continue;
        }
        let placed = match gateway.has_retry(service) {
            true => admitted.place(admitted.progress.runs + 1).await.ok(),
            false => None,
        };
        if let Some(dispatched) = placed {
            let connection = admitted.connect(&dispatched).await;
            let is_usable = match &connection {
                Ok(_) => gateway.take_retry(service),
                Err(failure) => matches!(failure, AttemptFailure::NotSent(_)),
            };
            if is_usable {
                return ReservedEngine {
                    dispatched,
                    connection,
                    searched_since,
                };
            }
        }
        silence.record_search(gateway.now());
    }
}

fn silent_stream(admitted: &AdmittedRequest, silence: Silence) -> SilentStream {
    SilentStream {
        since: silence.since,
        searched_at: silence.searched_at,
        is_resumable: admitted.route.is_resumable,
        earlier_runs: admitted.progress.runs,
        runs_max: admitted.route.attempts,
        deadline: admitted.deadline,
    }
}

impl EventStream {
    /// Sends the request to a reserved engine, which continues the stream unless it rejects the
    /// request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if neither engine continues the stream and no other one can.
    pub(super) async fn take_over(&mut self, reserved: ReservedEngine) -> Result<(), Refusal> {
        let ReservedEngine {
            mut dispatched,
            connection,
            searched_since,
        } = reserved;
        self.admitted.record_placed(&mut dispatched, searched_since);
        let connection = match connection {
            Ok(connection) => connection,
            Err(failure) => {
                // The stream goes on at its engine, whether or not another attempt may follow.
                let _ = self.admitted.record_failure(&dispatched, failure);
                return Ok(());
            }
        };
        let Some(stream) = self.take_engine() else {
            return Ok(());
        };
        let metrics = &self.admitted.gateway.metrics;
        metrics.count_retry(FailureCause::Stalled.name());
        self.admitted.progress.sends += 1;
        let after_event = self.forwarded_id;
        let mut silent = SilentEngine::new(stream);
        let sent = silent
            .read_during(
                self.admitted.exchange(connection, &dispatched, after_event),
                &self.admitted,
                &mut self.splitter,
            )
            .await;
        let sent = match sent {
            OverlapEnd::Answered(sent) => *sent,
            OverlapEnd::Completed => {
                self.admitted.progress.runs += 1;
                self.pending_events = take_withheld(silent.withheld);
                if let Some(stream) = silent.stream {
                    finish_stream(&self.admitted, *stream, self.status);
                }
                return Ok(());
            }
            OverlapEnd::GivenUp => {
                // The exchange was dropped, which closes its connection.
                let _ = self
                    .admitted
                    .record_failure(&dispatched, AttemptFailure::unanswered());
                self.source = silent
                    .stream
                    .map_or(StreamSource::Ended, StreamSource::Engine);
                self.pending_events = take_withheld(silent.withheld);
                return Ok(());
            }
        };
        match (self.check_resumed(sent), silent.stream) {
            (Ok(received), stream) => {
                let closed =
                    stream.map(|stream| (close_stream(*stream), AttemptFailure::stalled()));
                self.record_replaced(closed.or(silent.closed));
                self.continue_with(received, dispatched);
                Ok(())
            }
            (Err(failure), Some(stream)) => {
                self.source = StreamSource::Engine(stream);
                self.pending_events = take_withheld(silent.withheld);
                let _ = self.admitted.record_failure(&dispatched, failure);
                Ok(())
            }
            (Err(failure), None) => {
                let closed = silent.closed.as_ref();
                let was_alive =
                    closed.filter(|(_, failure)| failure.cause() == FailureCause::Stalled);
                if let Some((dispatched, _)) = was_alive {
                    // Closed only because two engines may not have the request for longer.
                    let progress = &mut self.admitted.progress;
                    progress.must_retry = true;
                    progress.closed_upstream = Some(dispatched.instance.id.clone());
                    self.admitted.allow_again(dispatched);
                }
                self.record_replaced(silent.closed);
                let result = self.admitted.record_failure(&dispatched, failure);
                drop(dispatched);
                self.resume(result).await
            }
        }
    }

    /// Records the attempt at an engine that another one replaces, whether or not a further
    /// attempt may follow.
    fn record_replaced(&mut self, closed: Option<(DispatchedRequest, AttemptFailure)>) {
        if let Some((dispatched, failure)) = closed {
            let _ = self.admitted.record_failure(&dispatched, failure);
        }
    }
}

/// Silent engine of a stream while another one has the request too.
struct SilentEngine {
    /// Response of the engine until it is closed.
    stream: Option<Box<EngineStream>>,
    closed: Option<(DispatchedRequest, AttemptFailure)>,
    /// Comments of the silent engine, and events with which it has gone on.
    withheld: SplitEvents,
}

/// End of the time in which two engines have the request.
enum OverlapEnd {
    /// The other engine has answered.
    Answered(Box<ExchangeResult>),
    /// The silent engine has completed the stream before.
    Completed,
    /// The silent engine has gone on before the other one has answered.
    GivenUp,
}

impl SilentEngine {
    fn new(stream: Box<EngineStream>) -> Self {
        Self {
            stream: Some(stream),
            closed: None,
            withheld: SplitEvents::default(),
        }
    }

    /// Reads the engine until it goes on or the exchange with the other one ends, and closes it after
    /// the maximum overlap.
    async fn read_during(
        &mut self,
        exchange: impl Future<Output = ExchangeResult>,
        admitted: &AdmittedRequest,
        splitter: &mut EventSplitter,
    ) -> OverlapEnd {
        let mut exchange = pin!(exchange);
        let mut overlap_end = pin!(tokio::time::sleep(StallSettings::default().overlap_max));
        loop {
            let Some(stream) = &mut self.stream else {
                return OverlapEnd::Answered(Box::new(exchange.await));
            };
            let failure = tokio::select! {
                biased;
                sent = &mut exchange => return OverlapEnd::Answered(Box::new(sent)),
                read = read_events(admitted, stream, splitter) => match read {
                    Ok(ReadOutcome::Events(events)) => {
                        self.withheld.append(events);
                        return OverlapEnd::GivenUp;
                    }
                    Ok(ReadOutcome::Filler(filler)) => {
                        self.withheld.append(filler);
                        continue;
                    }
                    Ok(ReadOutcome::End) => return OverlapEnd::Completed,
                    Err(failure) => failure,
                },
                () = &mut overlap_end => AttemptFailure::stalled(),
            };
            let stream = self.stream.take();
            self.closed = stream.map(|stream| (close_stream(*stream), failure));
        }
    }
}

/// Returns what the caller has not received, if there is any.
fn take_withheld(withheld: SplitEvents) -> Option<SplitEvents> {
    (!withheld.bytes.is_empty()).then_some(withheld)
}

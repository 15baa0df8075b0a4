//! Waiting of requests for room at the upstreams of their service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::dispatch::Dispatched;
use super::event_log::LogEvent;
use super::placement::{Place, time_at_engine};
use super::state::{Gateway, GatewayState, PlacementRequest};
use super::waiting::{Queue, QueueSettings, Ticket, Waiting};
use crate::clock::Instant;
use crate::ids::Tokens;

/// Waiting requests looked at in one pass, which bounds the time under the lock.
const PASS_MAX: usize = 32;

#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    queue: Queue,
    waiters: HashMap<Ticket, Waiter>,
}

#[derive(Debug)]
struct Waiter {
    request: PlacementRequest,
    sender: oneshot::Sender<Placed>,
}

/// Outcome of waiting.
type Placed = Result<Dispatched, NotPlaced>;

/// What waits already when a request begins to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Queued {
    requests: usize,
    tokens: Tokens,
}

/// Why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotPlaced {
    /// No upstream of the service is left to try.
    NoUpstream,
    /// It would not start in time.
    Full(Duration),
    /// It waited and did not start in time.
    TooLate,
}

impl Gateway {
    /// Chooses an upstream, waiting where none has room, but not beyond a deadline.
    ///
    /// # Errors
    ///
    /// Returns why the request was not placed; it is turned away at once where it would not start
    /// in time.
    pub(super) async fn place(
        self: &Arc<Self>,
        request_id: &str,
        request: &PlacementRequest,
        waiting: Waiting,
    ) -> Result<Dispatched, NotPlaced> {
        let (ticket, receiver, queued) = {
            let now = self.now();
            let mut state = self.state();
            let has_queue = state
                .queues
                .get(&request.service)
                .is_some_and(|queue| !queue.queue.is_empty());
            let must_queue = has_queue && waiting.rank > 0;
            if !must_queue {
                match state.try_place(self, request, now) {
                    Ok(dispatched) => return Ok(dispatched),
                    Err(Place::Nowhere) => return Err(NotPlaced::NoUpstream),
                    Err(_) => {}
                }
            }
            state.wait(request, waiting, now)?
        };
        let _place = QueuePlace {
            gateway: self,
            service: &request.service,
            ticket,
        };
        let left = waiting.deadline.saturating_sub(self.now());
        let event = LogEvent::Queued {
            service: &request.service,
            requests: queued.requests,
            tokens: queued.tokens,
            left_ms: left.as_millis() as u64,
        };
        self.event_log.log_request(request_id, &event);
        match tokio::time::timeout(left, receiver).await {
            Ok(Ok(placed)) => placed,
            Ok(Err(_)) => Err(NotPlaced::NoUpstream),
            Err(_) => Err(NotPlaced::TooLate),
        }
    }

    /// Places waiting requests while there is room for them.
    pub(super) fn pump(self: &Arc<Self>) {
        // What is placed is sent without the lock: a receiver that has gone gives it back at once.
        let placed = self.state().place_waiting(self);
        for (sender, outcome) in placed {
            drop(sender.send(outcome));
        }
    }
}

impl GatewayState {
    fn wait(
        &mut self,
        request: &PlacementRequest,
        waiting: Waiting,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<Placed>, Queued), NotPlaced> {
        let tokens = self.unread_tokens(request, now);
        let at_engine = match request.prompt {
            Some(_) => time_at_engine(&self.placement, request.wait_objective, tokens),
            None => Duration::ZERO,
        };
        let waiting = Waiting {
            tokens,
            objective_at: waiting.objective_at.saturating_sub(at_engine),
            ..waiting
        };
        let tokens_per_s = self.tokens_per_s(&request.service);
        let service = self
            .queues
            .entry(request.service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: Queue::new(QueueSettings::default()),
                waiters: HashMap::new(),
            });
        let queued = Queued {
            requests: service.queue.len(),
            tokens: service.queue.tokens(),
        };
        let ticket = service
            .queue
            .push(waiting, tokens_per_s, now)
            .map_err(NotPlaced::Full)?;
        let (sender, receiver) = oneshot::channel();
        let request = request.clone();
        service.waiters.insert(ticket, Waiter { request, sender });
        Ok((ticket, receiver, queued))
    }

    /// Returns the tokens that this VM's part of a service's engines reads in a second.
    fn tokens_per_s(&self, service: &str) -> f64 {
        let engines = self.fleet.ready(service).count() as f64;
        engines * self.placement.read_tokens_per_ms * 1_000.0 / self.fleet_size() as f64
    }

    fn place_waiting(&mut self, gateway: &Arc<Gateway>) -> Vec<(oneshot::Sender<Placed>, Placed)> {
        let now = gateway.now();
        let mut placed = Vec::new();
        let mut queues = std::mem::take(&mut self.queues);
        for (id, service) in &mut queues {
            for ticket in service.queue.order(now).into_iter().take(PASS_MAX) {
                let Some(waiter) = service.waiters.get(&ticket) else {
                    service.queue.remove(ticket);
                    continue;
                };
                match self.try_place(gateway, &waiter.request, now) {
                    Ok(dispatched) => {
                        service.queue.placed(ticket, now);
                        let waiter = service.waiters.remove(&ticket);
                        placed.extend(waiter.map(|waiter| (waiter.sender, Ok(dispatched))));
                    }
                    Err(Place::Nowhere) => {
                        service.queue.remove(ticket);
                        service.waiters.remove(&ticket);
                    }
                    Err(_) => {}
                }
            }
            for (ticket, room_in) in service.queue.give_up(self.tokens_per_s(id), now) {
                let waiter = service.waiters.remove(&ticket);
                let refused = Err(NotPlaced::Full(room_in));
                placed.extend(waiter.map(|waiter| (waiter.sender, refused)));
            }
        }
        self.queues = queues;
        placed
    }
}

/// Place in a queue, given up on drop.
struct QueuePlace<'a> {
    gateway: &'a Gateway,
    service: &'a str,
    ticket: Ticket,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        let waiter = state.queues.get_mut(self.service).and_then(|service| {
            service.queue.remove(self.ticket);
            service.waiters.remove(&self.ticket)
        });
        drop(state);
        drop(waiter);
    }
}

//! Places requests on upstreams and queues those for which no upstream has room.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::request_queue::{QueueSettings, QueuedRequest, RequestQueue, Ticket};
use crate::clock::Instant;
use crate::gateway::announcements::spread_return;
use crate::gateway::crash_guard::Suspect;
use crate::gateway::event_log::LogEvent;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::placement::PlacementRequest;
use crate::gateway::placement::{Placement, first_event_time_max};
use crate::gateway::state::{Gateway, GatewayState};
use crate::ids::Tokens;

/// Queued requests considered in one pass, which limits the time that the lock is held.
const REQUESTS_PER_PASS_MAX: usize = 32;
/// Minimum time between two passes that follow heartbeats: in a large fleet heartbeats arrive more
/// often than the load of engines changes noticeably.
const HEARTBEAT_PASS_INTERVAL_MIN: Duration = Duration::from_millis(25);

#[derive(Debug, Default)]
pub(in crate::gateway) struct ServiceQueue {
    queue: RequestQueue,
    waiters: HashMap<Ticket, Waiter>,
}

#[derive(Debug)]
struct Waiter {
    request: PlacementRequest,
    sender: oneshot::Sender<PlacementResult>,
}

/// Result that a queued request receives.
type PlacementResult = Result<DispatchedRequest, PlacementError>;

/// Length of a queue before a request is added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct QueueLength {
    requests: usize,
    prefill_tokens: Tokens,
}

/// Reason why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum PlacementError {
    /// No untried upstream of the service is left.
    NoUpstream,
    /// The request would not start before its deadline; holds the time after which to retry.
    WouldMissDeadline(Duration),
    /// The request was queued and did not start before its deadline.
    DeadlinePassed,
    /// This crashes engines.
    Quarantined(Suspect),
}

impl Gateway {
    /// Chooses an upstream; if none has room, waits in the queue until the request's deadline.
    ///
    /// The argument's `place_by` is the time at which the first event is due, and its
    /// `prefill_tokens` is ignored; both are recalculated when the request is queued.
    ///
    /// A request of priority 0 is placed immediately if possible; others join a non-empty queue.
    ///
    /// # Errors
    ///
    /// Returns why the request was not placed. A request that would not start before its deadline
    /// is rejected immediately.
    pub(in crate::gateway) async fn place(
        self: &Arc<Self>,
        request_id: &str,
        request: &PlacementRequest,
        queued_request: QueuedRequest,
    ) -> Result<DispatchedRequest, PlacementError> {
        let (ticket, receiver, queue_length) = {
            let now = self.now();
            let mut state = self.state();
            let has_queue = state
                .queues
                .get(&request.service)
                .is_some_and(|queue| !queue.queue.is_empty());
            let must_queue = has_queue && queued_request.priority > 0;
            if !must_queue {
                match state.try_place(self, request, now) {
                    Ok(dispatched) => return Ok(dispatched),
                    Err(Placement::NoCandidate) => return Err(PlacementError::NoUpstream),
                    Err(_) => {}
                }
            }
            state.enqueue(request, queued_request, now)?
        };
        let _guard = QueueGuard {
            gateway: self,
            service: &request.service,
            ticket,
        };
        let left = queued_request.deadline.saturating_sub(self.now());
        let event = LogEvent::Queued {
            service: &request.service,
            requests: queue_length.requests,
            tokens: queue_length.prefill_tokens,
            left_ms: left.as_millis() as u64,
        };
        self.event_log.log_request(request_id, &event);
        match tokio::time::timeout(left, receiver).await {
            Ok(Ok(placed)) => placed,
            Ok(Err(_)) => Err(PlacementError::NoUpstream),
            Err(_) => Err(PlacementError::DeadlinePassed),
        }
    }

    /// Places queued requests after a heartbeat, unless a pass took place shortly before.
    pub(in crate::gateway) fn place_queued_after_heartbeat(self: &Arc<Self>) {
        let now = self.now();
        let is_due = |at: Instant| now.saturating_sub(at) >= HEARTBEAT_PASS_INTERVAL_MIN;
        if is_due(self.state().last_queue_pass_at) {
            self.place_queued();
        }
    }

    /// Places queued requests for which upstreams have room.
    pub(in crate::gateway) fn place_queued(self: &Arc<Self>) {
        // Sent without holding the lock: if the receiver is gone, dropping the dispatched request
        // locks it again.
        let placed = self.state().collect_placements(self);
        for (sender, outcome) in placed {
            drop(sender.send(outcome));
        }
    }
}

impl GatewayState {
    fn enqueue(
        &mut self,
        request: &PlacementRequest,
        queued_request: QueuedRequest,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<PlacementResult>, QueueLength), PlacementError> {
        let prefill_tokens = self.prefill_tokens(request, now);
        let engine_time_max = match request.prompt {
            Some(_) => first_event_time_max(
                &self.placement_settings,
                request.wait_objective,
                prefill_tokens,
            ),
            None => Duration::ZERO,
        };
        let queued_request = QueuedRequest {
            prefill_tokens,
            place_by: queued_request.place_by.saturating_sub(engine_time_max),
            ..queued_request
        };
        let tokens_per_s = self.tokens_per_s(&request.service, now);
        let requests_ahead = self
            .queues
            .get(&request.service)
            .map_or(0, |queue| queue.queue.len());
        if let Some(at) = self.late_start(request, &queued_request, requests_ahead, now) {
            return Err(PlacementError::WouldMissDeadline(spread_return(at, now)));
        }
        let service = self
            .queues
            .entry(request.service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: RequestQueue::new(QueueSettings::default()),
                waiters: HashMap::new(),
            });
        let queue_length = QueueLength {
            requests: service.queue.len(),
            prefill_tokens: service.queue.prefill_tokens(),
        };
        let ticket = service
            .queue
            .push(queued_request, tokens_per_s, now)
            .map_err(PlacementError::WouldMissDeadline)?;
        let (sender, receiver) = oneshot::channel();
        let request = request.clone();
        service.waiters.insert(ticket, Waiter { request, sender });
        Ok((ticket, receiver, queue_length))
    }

    /// Returns the earliest time at which a request starts after some others, if its upstreams hold
    /// requests off or name limits.
    fn expected_start(
        &self,
        request: &PlacementRequest,
        requests_ahead: usize,
        now: Instant,
    ) -> Option<Instant> {
        let first_at = self.earliest_return(request, now);
        self.permit_expected_at(&request.service, requests_ahead, first_at, now)
            .max(first_at)
    }

    /// Returns the expected start of a request after some others if it is too late to wait for it.
    fn late_start(
        &self,
        request: &PlacementRequest,
        queued_request: &QueuedRequest,
        requests_ahead: usize,
        now: Instant,
    ) -> Option<Instant> {
        let first_at = self.earliest_return(request, now);
        let permit_at = self.permit_expected_at(&request.service, requests_ahead, first_at, now);
        // Later requests that can still be on time would get the permits before one that cannot.
        let permit_by = match requests_ahead {
            0 => queued_request.deadline,
            _ => queued_request.deadline.min(queued_request.place_by),
        };
        let late_permit_at = permit_at.filter(|at| *at > permit_by);
        late_permit_at.max(first_at.filter(|at| *at > queued_request.deadline))
    }

    /// Returns whether requests wait in a queue.
    pub(in crate::gateway) fn has_queued(&self) -> bool {
        self.queues.values().any(|queue| !queue.queue.is_empty())
    }

    /// Returns the nominal prompt speed, in tokens per second, of this VM's part of a service's
    /// engines.
    fn tokens_per_s(&self, service: &str, now: Instant) -> f64 {
        let engines = self.serving(service, now).count() as f64;
        engines * self.placement_settings.prefill_tokens_per_ms * 1_000.0 / self.fleet_size() as f64
    }

    fn collect_placements(
        &mut self,
        gateway: &Arc<Gateway>,
    ) -> Vec<(oneshot::Sender<PlacementResult>, PlacementResult)> {
        let now = gateway.now();
        self.last_queue_pass_at = now;
        let mut placed = Vec::new();
        let mut queues = std::mem::take(&mut self.queues);
        for (id, service) in &mut queues {
            let mut requests_ahead = 0;
            for ticket in service
                .queue
                .placement_order(now)
                .into_iter()
                .take(REQUESTS_PER_PASS_MAX)
            {
                let Some(waiter) = service.waiters.get(&ticket) else {
                    service.queue.remove(ticket);
                    continue;
                };
                match self.try_place(gateway, &waiter.request, now) {
                    Ok(dispatched) => {
                        service.queue.remove_placed(ticket, now);
                        let waiter = service.waiters.remove(&ticket);
                        placed.extend(waiter.map(|waiter| (waiter.sender, Ok(dispatched))));
                    }
                    Err(Placement::NoCandidate) => {
                        service.queue.remove(ticket);
                        service.waiters.remove(&ticket);
                    }
                    Err(_) => {
                        let starts_at = self.expected_start(&waiter.request, requests_ahead, now);
                        let deadline = service.queue.deadline(ticket);
                        match starts_at.filter(|at| Some(*at) > deadline) {
                            Some(at) => {
                                service.queue.remove(ticket);
                                let waiter = service.waiters.remove(&ticket);
                                let refused =
                                    Err(PlacementError::WouldMissDeadline(spread_return(at, now)));
                                placed.extend(waiter.map(|waiter| (waiter.sender, refused)));
                            }
                            None => requests_ahead += 1,
                        }
                    }
                }
            }
            if requests_ahead > 0 {
                self.record_held_back(id, now);
            }
            for (ticket, retry_after) in service
                .queue
                .remove_unservable(self.tokens_per_s(id, now), now)
            {
                let waiter = service.waiters.remove(&ticket);
                let refused = Err(PlacementError::WouldMissDeadline(retry_after));
                placed.extend(waiter.map(|waiter| (waiter.sender, refused)));
            }
        }
        self.queues = queues;
        placed
    }
}

/// Guard that removes a request from its queue on drop.
struct QueueGuard<'a> {
    gateway: &'a Gateway,
    service: &'a str,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
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

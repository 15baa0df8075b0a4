//! Places requests on upstreams and queues those for which no upstream has room.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::request_queue::{QueuedRequest, RequestQueue, Ticket};
use super::shedding::{RequestCost, Shed};
use crate::clock::Instant;
use crate::gateway::announcements::spread_return;
use crate::gateway::crash_guard::Suspect;
use crate::gateway::event_log::LogEvent;
use crate::gateway::placement::DispatchedRequest;
use crate::gateway::placement::Placement;
use crate::gateway::placement::PlacementRequest;
use crate::gateway::state::{Gateway, GatewayState};

/// Queued requests considered in one pass, which limits the time that the lock is held.
const REQUESTS_PER_PASS_MAX: usize = 32;
/// Minimum time between two passes that follow heartbeats: in a large fleet heartbeats arrive more
/// often than the load of engines changes noticeably.
const HEARTBEAT_PASS_INTERVAL_MIN: Duration = Duration::from_millis(25);

#[derive(Debug, Default)]
pub(in crate::gateway) struct ServiceQueue {
    pub(super) queue: RequestQueue,
    pub(super) waiters: HashMap<Ticket, Waiter>,
}

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) request: PlacementRequest,
    /// [`PlacementRequest::wait_objective`] while the request may use all the room there is.
    pub(super) wait_objective: Duration,
    pub(super) sender: oneshot::Sender<PlacementResult>,
}

/// Result that a queued request receives.
pub(super) type PlacementResult = Result<DispatchedRequest, PlacementError>;

/// Reason why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum PlacementError {
    /// No untried upstream of the service is left.
    NoUpstream,
    /// The request would not start before its deadline; holds the time after which to retry.
    WouldMissDeadline(Duration),
    /// The queue refuses the request by its priority and work.
    Shed(Shed),
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
    /// Where the queue sheds by cost, a request is placed immediately if it goes before all that
    /// wait.
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
        cost: RequestCost,
    ) -> Result<DispatchedRequest, PlacementError> {
        let entry = {
            let now = self.now();
            let mut state = self.state();
            let has_queue = state
                .queues
                .get(&request.service)
                .is_some_and(|queue| !queue.queue.is_empty());
            let sheds_by_cost = self.settings.sheds_by_cost();
            let must_queue = has_queue && (queued_request.priority > 0 || sheds_by_cost);
            if !must_queue {
                let room_fraction = if sheds_by_cost {
                    cost.room_fraction()
                } else {
                    1.0
                };
                match state.try_place(self, &request.with_room(room_fraction), now) {
                    Ok(dispatched) => return Ok(dispatched),
                    Err(Placement::NoCandidate) => return Err(PlacementError::NoUpstream),
                    Err(_) => {}
                }
            }
            let entry = state.enqueue(request, queued_request, cost, sheds_by_cost, now)?;
            if must_queue && entry.is_first {
                let room_fraction = state.room_fraction(&request.service, entry.ticket, now);
                // Otherwise the next pass finds out why.
                if let Ok(dispatched) =
                    state.try_place(self, &request.with_room(room_fraction), now)
                {
                    state.remove_placed(&request.service, entry.ticket, now);
                    return Ok(dispatched);
                }
            }
            entry
        };
        let _guard = QueueGuard {
            gateway: self,
            service: &request.service,
            ticket: entry.ticket,
        };
        let queue_length = entry.length_before;
        let left = queued_request.deadline.saturating_sub(self.now());
        let event = LogEvent::Queued {
            service: &request.service,
            requests: queue_length.requests,
            tokens: queue_length.prefill_tokens,
            left_ms: left.as_millis() as u64,
        };
        self.event_log.log_request(request_id, &event);
        match tokio::time::timeout(left, entry.receiver).await {
            Ok(Ok(placed)) => placed,
            Ok(Err(_)) => Err(PlacementError::NoUpstream),
            Err(_) => {
                let error = self.state().deadline_passed(self, request, entry.ticket);
                Err(error)
            }
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
    pub(super) fn late_start(
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
    pub(super) fn tokens_per_s(&self, service: &str, now: Instant) -> f64 {
        let tokens_per_ms = match self.is_load_aware(service) {
            true => self.engine_speed_sum(service, now).1,
            false => {
                let engines = self.serving(service, now).count() as f64;
                engines * self.placement_settings.prefill_tokens_per_ms
            }
        };
        tokens_per_ms * 1_000.0 / self.fleet_size() as f64
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
                let Some(waiter) = service.waiters.get_mut(&ticket) else {
                    service.queue.remove(ticket);
                    continue;
                };
                let room_fraction = service.queue.room_fraction(ticket, now);
                waiter.request.wait_objective = waiter.wait_objective.mul_f64(room_fraction);
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
            let tokens_per_s = self.tokens_per_s(id, now);
            let refused: Vec<_> = match gateway.settings.sheds_by_cost() {
                true => {
                    let late = service.queue.shed_late(tokens_per_s, now, &mut rand::rng());
                    let late = late.into_iter();
                    late.map(|(ticket, shed)| (ticket, PlacementError::Shed(shed)))
                        .collect()
                }
                false => {
                    let late = service.queue.remove_unservable(tokens_per_s, now);
                    let late = late.into_iter();
                    late.map(|(ticket, wait)| (ticket, PlacementError::WouldMissDeadline(wait)))
                        .collect()
                }
            };
            for (ticket, error) in refused {
                let waiter = service.waiters.remove(&ticket);
                placed.extend(waiter.map(|waiter| (waiter.sender, Err(error))));
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

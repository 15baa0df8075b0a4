//! Entry of requests into the queue of their service.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::oneshot;

use super::offering::Offered;
use super::placing::{PlacementError, PlacementResult, ServiceQueue, Waiter};
use super::request_queue::{QueueSettings, QueuedRequest, RequestQueue, Ticket};
use super::shedding::RequestCost;
use crate::clock::Instant;
use crate::gateway::announcements::spread_return;
use crate::gateway::placement::{PlacementRequest, first_event_time_max};
use crate::gateway::state::{Gateway, GatewayState};
use crate::ids::Tokens;

/// Request that waits in a queue.
#[derive(Debug)]
pub(super) struct QueueEntry {
    pub(super) ticket: Ticket,
    pub(super) receiver: oneshot::Receiver<PlacementResult>,
    /// Whether the request may be placed before those that wait.
    pub(super) is_first: bool,
    pub(super) length_before: QueueLength,
}

/// Length of a queue before a request is added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QueueLength {
    pub(super) requests: usize,
    pub(super) prefill_tokens: Tokens,
}

impl GatewayState {
    /// Adds a request to the queue of its service.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request would not start in time.
    pub(super) fn enqueue(
        &mut self,
        request: &PlacementRequest,
        queued_request: QueuedRequest,
        cost: RequestCost,
        sheds_by_cost: bool,
        now: Instant,
    ) -> Result<QueueEntry, PlacementError> {
        let prefill_tokens = self.prefill_tokens(request, now);
        let engine_time_max = match request.prompt {
            Some(_) => first_event_time_max(
                &self.service_placement_settings(&request.service, now),
                request.wait_objective,
                prefill_tokens,
            ),
            None => Duration::ZERO,
        };
        let latest_start = match sheds_by_cost {
            true => cost.latest_start(engine_time_max, now),
            false => queued_request.deadline,
        };
        let queued_request = QueuedRequest {
            prefill_tokens,
            place_by: queued_request.place_by.saturating_sub(engine_time_max),
            deadline: queued_request.deadline.min(latest_start),
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
        let settings = QueueSettings {
            shed_by_cost: sheds_by_cost,
            ..QueueSettings::default()
        };
        let service = self
            .queues
            .entry(request.service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: RequestQueue::new(settings),
                waiters: HashMap::new(),
            });
        let length_before = QueueLength {
            requests: service.queue.len(),
            prefill_tokens: service.queue.prefill_tokens(),
        };
        let offered = match sheds_by_cost {
            true => service
                .queue
                .offer(queued_request, cost, tokens_per_s, now, &mut rand::rng())
                .map_err(PlacementError::Shed)?,
            false => Offered {
                ticket: service
                    .queue
                    .push(queued_request, tokens_per_s, now)
                    .map_err(PlacementError::WouldMissDeadline)?,
                is_first: false,
                displaced: Vec::new(),
            },
        };
        let ticket = offered.ticket;
        for (displaced, shed) in offered.displaced {
            if let Some(waiter) = service.waiters.remove(&displaced) {
                // The receiver is gone if the caller has left.
                drop(waiter.sender.send(Err(PlacementError::Shed(shed))));
            }
        }
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            request: request.clone(),
            wait_objective: request.wait_objective,
            sender,
        };
        service.waiters.insert(ticket, waiter);
        Ok(QueueEntry {
            ticket,
            receiver,
            is_first: offered.is_first,
            length_before,
        })
    }

    /// Returns the refusal of a request that waited until its latest start.
    pub(super) fn deadline_passed(
        &self,
        gateway: &Gateway,
        request: &PlacementRequest,
        ticket: Ticket,
    ) -> PlacementError {
        let service = self.queues.get(&request.service);
        match service.filter(|_| gateway.settings.sheds_by_cost()) {
            Some(service) => PlacementError::Shed(service.queue.late_refusal(
                ticket,
                self.tokens_per_s(&request.service, gateway.now()),
                gateway.now(),
                &mut rand::rng(),
            )),
            None => PlacementError::DeadlinePassed,
        }
    }

    pub(super) fn room_fraction(&self, service: &str, ticket: Ticket, now: Instant) -> f64 {
        let service = self.queues.get(service);
        service.map_or(1.0, |service| service.queue.room_fraction(ticket, now))
    }

    pub(super) fn remove_placed(&mut self, service: &str, ticket: Ticket, now: Instant) {
        if let Some(service) = self.queues.get_mut(service) {
            service.queue.remove_placed(ticket, now);
            service.waiters.remove(&ticket);
        }
    }
}

//! Entry into a queue and eviction from it by rank.
//!
//! Load pattern: as in [`shedding`](super::shedding), which ranks the requests.

use std::time::Duration;

use rand::Rng;

use super::request_queue::{QueuedRequest, RequestQueue, Ticket};
use super::shedding::{RequestCost, Shed, ShedCause};
use crate::clock::Instant;

/// Request that has entered the queue, with the requests that were refused for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offered {
    /// Number of the request.
    pub ticket: Ticket,
    /// Whether no waiting request goes before it.
    pub is_first: bool,
    /// Requests that left the full queue.
    pub displaced: Vec<(Ticket, Shed)>,
}

impl RequestQueue {
    /// Adds a request by its rank; a full queue refuses the request of the highest rank.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the request.
    pub fn offer(
        &mut self,
        request: QueuedRequest,
        cost: RequestCost,
        tokens_per_s: f64,
        now: Instant,
        random: &mut impl Rng,
    ) -> Result<Offered, Shed> {
        let ranked = self.ranks.draw(&request, &cost, random);
        let rank = ranked.rank_at(now);
        let before = self
            .waiting
            .iter()
            .filter(|(ticket, _)| self.ranks.rank(**ticket, now) <= rank);
        let (mut requests_ahead, mut tokens_ahead) = (0, 0);
        for (_, other) in before {
            requests_ahead += 1;
            tokens_ahead += other.prefill_tokens;
        }
        let speed = self.speed(tokens_per_s, now);
        let starts_in = self.ranks.inflow(now).starts_in(rank, tokens_ahead, speed);
        let backlog = self.backlog(speed);
        let mut refuse = |cause| Shed {
            cause,
            retry_after: ranked.retry_after(backlog, now, random),
        };
        if now + starts_in > request.deadline {
            return Err(refuse(ShedCause::LateStart));
        }
        let mut displaced = Vec::new();
        if self.waiting.len() >= self.settings.requests_max {
            if requests_ahead >= self.waiting.len() {
                return Err(refuse(ShedCause::FullQueue));
            }
            displaced = self.shed_late(tokens_per_s, now, random);
        }
        if self.waiting.len() >= self.settings.requests_max {
            displaced.extend(self.displace_last(backlog, now, random));
        }
        self.throughput.start(now);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.prefill_tokens += request.prefill_tokens;
        self.waiting.insert(ticket, request);
        self.ranks
            .insert(ticket, ranked, request.prefill_tokens, now);
        Ok(Offered {
            ticket,
            is_first: requests_ahead == 0,
            displaced,
        })
    }

    /// Removes the requests that can no longer start in time, by their ranks; returns each with its
    /// refusal.
    pub fn shed_late(
        &mut self,
        tokens_per_s: f64,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<(Ticket, Shed)> {
        let speed = self.speed(tokens_per_s, now);
        let backlog = self.backlog(speed);
        let inflow = self.ranks.inflow(now);
        let mut tokens_ahead = 0;
        let mut late = Vec::new();
        for ticket in self.placement_order(now) {
            let request = &self.waiting[&ticket];
            let rank = self.ranks.rank(ticket, now);
            if now + inflow.starts_in(rank, tokens_ahead, speed) <= request.deadline {
                tokens_ahead += request.prefill_tokens;
                continue;
            }
            let retry_after = self.ranks.retry_after(ticket, backlog, now, random);
            let cause = ShedCause::LateInQueue;
            late.push((ticket, Shed { cause, retry_after }));
        }
        for (ticket, _) in &late {
            self.remove(*ticket);
        }
        late
    }

    /// Returns the refusal of a waiting request whose time in the queue has ended.
    pub fn late_refusal(
        &self,
        ticket: Ticket,
        tokens_per_s: f64,
        now: Instant,
        random: &mut impl Rng,
    ) -> Shed {
        let backlog = self.backlog(self.speed(tokens_per_s, now));
        Shed {
            cause: ShedCause::LateInQueue,
            retry_after: self.ranks.retry_after(ticket, backlog, now, random),
        }
    }

    fn displace_last(
        &mut self,
        backlog: Duration,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<(Ticket, Shed)> {
        let ticket = self.placement_order(now).pop()?;
        let retry_after = self.ranks.retry_after(ticket, backlog, now, random);
        self.remove(ticket);
        let cause = ShedCause::Displaced;
        Some((ticket, Shed { cause, retry_after }))
    }

    /// Returns the time that the waiting requests take to start.
    fn backlog(&self, tokens_per_s: f64) -> Duration {
        Duration::from_secs_f64(self.prefill_tokens as f64 / tokens_per_s)
    }
}

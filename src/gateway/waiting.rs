//! Order of requests that wait for room.
//!
//! Load pattern: more prompts at once than the engines may read within their objectives. Requests
//! that can still make their objective go first, by rank and then by how little time is left; those
//! that are late already take what is left over. A request that would not start before its
//! deadline, at the speed at which requests left the queue lately, is turned away at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::throughput::Throughput;
use crate::clock::Instant;
use crate::ids::Tokens;

/// Number of a waiting request.
pub type Ticket = u64;

/// Bounds of a [`Queue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Requests that wait at once.
    pub requests_max: usize,
    /// Time of waiting after which a late request moves up.
    pub late_step: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            requests_max: 512,
            late_step: Duration::from_secs(2),
        }
    }
}

/// Request that wants to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Rank; 0 is first.
    pub rank: u8,
    /// Tokens that it makes an engine read, as far as is known.
    pub tokens: Tokens,
    /// Latest time at which it may be placed for its first event to come within the objective.
    pub objective_at: Instant,
    /// Latest time at which it may start.
    pub deadline: Instant,
}

/// What a request that waits has to expect.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    /// When all before it is placed, if no other request came.
    room_in: Duration,
    /// When it is placed.
    starts_in: Duration,
}

/// Queue of one service.
#[derive(Debug, Default)]
pub struct Queue {
    settings: QueueSettings,
    waiting: BTreeMap<Ticket, Waiting>,
    next_ticket: Ticket,
    tokens: Tokens,
    /// What was given out to all, and what of it to requests that were late.
    throughput: Throughput,
    late_throughput: Throughput,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Returns when to come back, where the request would not start in time. The engines read
    /// `tokens_per_s`, until it was seen what they do read.
    pub fn push(
        &mut self,
        waiting: Waiting,
        tokens_per_s: f64,
        now: Instant,
    ) -> Result<Ticket, Duration> {
        let ahead = self.tokens_ahead(&waiting, now);
        let forecast = self.forecast(ahead, &waiting, tokens_per_s, now);
        let is_full = self.waiting.len() >= self.settings.requests_max;
        if is_full || now + forecast.starts_in > waiting.deadline {
            return Err(forecast.room_in);
        }
        self.throughput.begin(now);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tokens += waiting.tokens;
        self.waiting.insert(ticket, waiting);
        Ok(ticket)
    }

    /// Takes a request out that was placed.
    pub fn placed(&mut self, ticket: Ticket, now: Instant) {
        let Some(waiting) = self.waiting.get(&ticket) else {
            return;
        };
        self.throughput.give_out(waiting.tokens, now);
        if now > waiting.objective_at {
            self.late_throughput.give_out(waiting.tokens, now);
        }
        self.remove(ticket);
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.tokens -= waiting.tokens;
        if self.waiting.is_empty() {
            self.throughput.end();
            self.late_throughput.end();
        }
        Some(waiting)
    }

    /// Returns the waiting requests in the order in which they are to be placed.
    pub fn order(&self, now: Instant) -> Vec<Ticket> {
        let mut order: Vec<_> = self.waiting.iter().collect();
        order.sort_by_key(|(ticket, waiting)| (self.place(waiting, now), **ticket));
        order.into_iter().map(|(ticket, _)| *ticket).collect()
    }

    /// Takes out late requests that will not start in time any more; returns them with when there
    /// is room again.
    pub fn give_up(&mut self, tokens_per_s: f64, now: Instant) -> Vec<(Ticket, Duration)> {
        let is_late = |waiting: &Waiting| now > waiting.objective_at;
        match self.waiting.values().any(is_late) {
            true => self.late_throughput.begin(now),
            false => self.late_throughput.end(),
        }
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for ticket in self.order(now) {
            let waiting = &self.waiting[&ticket];
            let forecast = self.forecast(ahead, waiting, tokens_per_s, now);
            ahead += waiting.tokens;
            if is_late(waiting) && now + forecast.starts_in > waiting.deadline {
                hopeless.push((ticket, forecast.room_in));
            }
        }
        for (ticket, _) in &hopeless {
            self.remove(*ticket);
        }
        hopeless
    }

    /// Returns the tokens that wait.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }

    /// Returns what a request behind some tokens has to expect.
    ///
    /// From its objective on it gets what requests that are in time leave.
    fn forecast(
        &self,
        ahead: Tokens,
        waiting: &Waiting,
        tokens_per_s: f64,
        now: Instant,
    ) -> Forecast {
        let expected = tokens_per_s.max(1.0);
        let seen = self.throughput.per_s(now);
        let speed = seen.map_or(expected, |seen| seen.max(expected * SPEED_MIN));
        let wait = Duration::from_secs_f64(ahead as f64 / speed);
        let room_in = wait.min(ROOM_IN_MAX);
        let in_time = waiting.objective_at.saturating_sub(now);
        if wait <= in_time {
            return Forecast {
                room_in,
                starts_in: wait,
            };
        }
        let late_seen = self.late_throughput.per_s(now);
        let late_speed = late_seen.map_or(speed, |seen| seen.clamp(speed * LATE_SPEED_MIN, speed));
        let left = ahead as f64 - speed * in_time.as_secs_f64();
        Forecast {
            room_in,
            starts_in: in_time + Duration::from_secs_f64(left / late_speed),
        }
    }

    fn tokens_ahead(&self, waiting: &Waiting, now: Instant) -> Tokens {
        let place = self.place(waiting, now);
        let ahead = self
            .waiting
            .values()
            .filter(|other| self.place(other, now) <= place);
        ahead.map(|other| other.tokens).sum()
    }

    /// Returns the sort key: in time before late, then rank, then urgency.
    ///
    /// A late request moves up with each step of waiting, so that none starves.
    fn place(&self, waiting: &Waiting, now: Instant) -> (u64, Instant) {
        let late = now.saturating_sub(waiting.objective_at);
        let rank = match late.is_zero() {
            true => u64::from(waiting.rank),
            false => {
                let steps = late.as_millis() / self.settings.late_step.as_millis().max(1);
                let rank = LATE_RANK + u64::from(waiting.rank);
                rank.saturating_sub(steps as u64 * LATE_STEP_RANKS)
            }
        };
        (rank, waiting.objective_at)
    }
}

/// Longest time after which callers are told to come back: silent engines are known or gone by then.
const ROOM_IN_MAX: Duration = Duration::from_secs(5);
/// Least part of the engines' speed that is counted on: that nothing was given out for a second says
/// no more than that the next requests wait long.
const SPEED_MIN: f64 = 0.05;
/// Least part of that which is counted on for late requests, which may get nothing at all.
const LATE_SPEED_MIN: f64 = 0.01;
/// Rank of requests that missed their objective, behind all that can make it.
const LATE_RANK: u64 = 16;
/// Ranks by which a late request moves up with each step of waiting.
const LATE_STEP_RANKS: u64 = 8;

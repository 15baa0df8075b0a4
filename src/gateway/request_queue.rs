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

/// Bounds of a [`RequestQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Requests that wait at once.
    pub requests_max: usize,
    /// Time of waiting after which a late request moves up.
    pub late_promotion_interval: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            requests_max: 512,
            late_promotion_interval: Duration::from_secs(2),
        }
    }
}

/// Request that wants to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Rank; 0 is first.
    pub priority: u8,
    /// Tokens that it makes an engine read, as far as is known.
    pub prefill_tokens: Tokens,
    /// Latest time at which it may be placed for its first event to come within the objective.
    pub place_by: Instant,
    /// Latest time at which it may start.
    pub deadline: Instant,
}

/// What a request that waits has to expect.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    /// When all before it is placed, if no other request came.
    retry_after: Duration,
    /// When it is placed.
    starts_in: Duration,
}

/// Queue of one service.
#[derive(Debug, Default)]
pub struct RequestQueue {
    settings: QueueSettings,
    waiting: BTreeMap<Ticket, QueuedRequest>,
    next_ticket: Ticket,
    tokens: Tokens,
    /// What was given out to all, and what of it to requests that were late.
    throughput: Throughput,
    late_throughput: Throughput,
}

impl RequestQueue {
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
        request: QueuedRequest,
        tokens_per_s: f64,
        now: Instant,
    ) -> Result<Ticket, Duration> {
        let ahead = self.tokens_ahead(&request, now);
        let forecast = self.forecast(ahead, &request, tokens_per_s, now);
        let is_full = self.waiting.len() >= self.settings.requests_max;
        if is_full || now + forecast.starts_in > request.deadline {
            return Err(forecast.retry_after);
        }
        self.throughput.start(now);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tokens += request.prefill_tokens;
        self.waiting.insert(ticket, request);
        Ok(ticket)
    }

    /// Takes a request out that was placed.
    pub fn remove_placed(&mut self, ticket: Ticket, now: Instant) {
        let Some(request) = self.waiting.get(&ticket) else {
            return;
        };
        self.throughput.record_placed(request.prefill_tokens, now);
        if now > request.place_by {
            self.late_throughput
                .record_placed(request.prefill_tokens, now);
        }
        self.remove(ticket);
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = self.waiting.remove(&ticket)?;
        self.tokens -= request.prefill_tokens;
        if self.waiting.is_empty() {
            self.throughput.reset();
            self.late_throughput.reset();
        }
        Some(request)
    }

    /// Returns the waiting requests in the order in which they are to be placed.
    pub fn placement_order(&self, now: Instant) -> Vec<Ticket> {
        let mut placement_order: Vec<_> = self.waiting.iter().collect();
        placement_order.sort_by_key(|(ticket, request)| (self.sort_key(request, now), **ticket));
        placement_order
            .into_iter()
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Takes out late requests that will not start in time any more; returns them with when there
    /// is room again.
    pub fn remove_unservable(
        &mut self,
        tokens_per_s: f64,
        now: Instant,
    ) -> Vec<(Ticket, Duration)> {
        let is_late = |request: &QueuedRequest| now > request.place_by;
        match self.waiting.values().any(is_late) {
            true => self.late_throughput.start(now),
            false => self.late_throughput.reset(),
        }
        let mut ahead = 0;
        let mut unservable = Vec::new();
        for ticket in self.placement_order(now) {
            let request = &self.waiting[&ticket];
            let forecast = self.forecast(ahead, request, tokens_per_s, now);
            ahead += request.prefill_tokens;
            if is_late(request) && now + forecast.starts_in > request.deadline {
                unservable.push((ticket, forecast.retry_after));
            }
        }
        for (ticket, _) in &unservable {
            self.remove(*ticket);
        }
        unservable
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
        request: &QueuedRequest,
        tokens_per_s: f64,
        now: Instant,
    ) -> Forecast {
        let expected = tokens_per_s.max(1.0);
        let seen = self.throughput.tokens_per_s(now);
        let speed = seen.map_or(expected, |seen| seen.max(expected * SPEED_FRACTION_MIN));
        let wait = Duration::from_secs_f64(ahead as f64 / speed);
        let retry_after = wait.min(RETRY_AFTER_MAX);
        let in_time = request.place_by.saturating_sub(now);
        if wait <= in_time {
            return Forecast {
                retry_after,
                starts_in: wait,
            };
        }
        let late_seen = self.late_throughput.tokens_per_s(now);
        let late_speed = late_seen.map_or(speed, |seen| {
            seen.clamp(speed * LATE_SPEED_FRACTION_MIN, speed)
        });
        let left = ahead as f64 - speed * in_time.as_secs_f64();
        Forecast {
            retry_after,
            starts_in: in_time + Duration::from_secs_f64(left / late_speed),
        }
    }

    fn tokens_ahead(&self, request: &QueuedRequest, now: Instant) -> Tokens {
        let sort_key = self.sort_key(request, now);
        let ahead = self
            .waiting
            .values()
            .filter(|other| self.sort_key(other, now) <= sort_key);
        ahead.map(|other| other.prefill_tokens).sum()
    }

    /// Returns the sort key: in time before late, then rank, then urgency.
    ///
    /// A late request moves up with each step of waiting, so that none starves.
    fn sort_key(&self, request: &QueuedRequest, now: Instant) -> (u64, Instant) {
        let late = now.saturating_sub(request.place_by);
        let priority = match late.is_zero() {
            true => u64::from(request.priority),
            false => {
                let steps =
                    late.as_millis() / self.settings.late_promotion_interval.as_millis().max(1);
                let priority = LATE_PRIORITY_OFFSET + u64::from(request.priority);
                priority.saturating_sub(steps as u64 * LATE_PROMOTION_PRIORITIES)
            }
        };
        (priority, request.place_by)
    }
}

/// Longest time after which callers are told to come back: silent engines are known or gone by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// Least part of the engines' speed that is counted on: that nothing was given out for a second says
/// no more than that the next requests wait long.
const SPEED_FRACTION_MIN: f64 = 0.05;
/// Least part of that which is counted on for late requests, which may get nothing at all.
const LATE_SPEED_FRACTION_MIN: f64 = 0.01;
/// Rank of requests that missed their objective, behind all that can make it.
const LATE_PRIORITY_OFFSET: u64 = 16;
/// Ranks by which a late request moves up with each step of waiting.
const LATE_PROMOTION_PRIORITIES: u64 = 8;

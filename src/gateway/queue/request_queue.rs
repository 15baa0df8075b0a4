//! Priority queue of the requests that wait for an upstream of one service.
//!
//! Load pattern: more prompts at once than the engines can process within their objectives.
//! Requests that can still meet their objective go first, by priority and then by the least time
//! left; late ones use the remaining capacity. A request that would not start before its deadline,
//! at the speed at which requests left the queue recently, is rejected immediately.
//!
//! With [`QueueSettings::shed_by_cost`], requests enter by [`RequestQueue::offer`] and go by the ranks
//! of [`shedding`](super::shedding) instead.

use std::collections::BTreeMap;
use std::time::Duration;

use super::shedding::Ranks;
use super::throughput::Throughput;
use crate::clock::Instant;
use crate::ids::Tokens;

/// Number that identifies a request in its queue.
pub type Ticket = u64;

/// Limits of a [`RequestQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub requests_max: usize,
    /// Lateness per promotion: a late request gains priority each time this much has passed.
    pub late_promotion_interval: Duration,
    /// Whether requests are ordered and refused by priority and work.
    pub shed_by_cost: bool,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            requests_max: 512,
            late_promotion_interval: Duration::from_secs(2),
            shed_by_cost: false,
        }
    }
}

/// Queueing parameters of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Estimate of the prompt tokens that an engine has to process.
    pub prefill_tokens: Tokens,
    /// Latest time of placement at which the first event still meets the objective.
    pub place_by: Instant,
    /// Latest time of placement; later the request is rejected.
    pub deadline: Instant,
}

/// Expected waiting times of a request.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    /// Time until all requests ahead are placed if no other request arrives.
    retry_after: Duration,
    /// Time until the request itself is placed.
    starts_in: Duration,
}

/// Queue of one service.
#[derive(Debug, Default)]
pub struct RequestQueue {
    pub(super) settings: QueueSettings,
    pub(super) waiting: BTreeMap<Ticket, QueuedRequest>,
    pub(super) next_ticket: Ticket,
    pub(super) prefill_tokens: Tokens,
    /// Prompt tokens of all placed requests.
    pub(super) throughput: Throughput,
    /// Prompt tokens of placed requests that were late.
    late_throughput: Throughput,
    /// Ranks of the waiting requests, with [`QueueSettings::shed_by_cost`].
    pub(super) ranks: Ranks,
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

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request.
    ///
    /// `tokens_per_s` is the nominal prompt speed of the engines, used until the actual throughput
    /// has been measured.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if the queue is full or the request would not start
    /// before its deadline.
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
        self.prefill_tokens += request.prefill_tokens;
        self.waiting.insert(ticket, request);
        Ok(ticket)
    }

    /// Removes a request that was placed, and counts it in the throughput.
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

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = self.waiting.remove(&ticket)?;
        self.prefill_tokens -= request.prefill_tokens;
        self.ranks.remove(ticket);
        if self.waiting.is_empty() {
            self.throughput.reset();
            self.late_throughput.reset();
        }
        Some(request)
    }

    /// Returns the latest time of placement of a waiting request.
    pub fn deadline(&self, ticket: Ticket) -> Option<Instant> {
        self.waiting.get(&ticket).map(|request| request.deadline)
    }

    /// Returns the fraction of the usual work ahead at an upstream up to which a waiting request may
    /// be placed; 1 without [`QueueSettings::shed_by_cost`].
    pub fn room_fraction(&self, ticket: Ticket, now: Instant) -> f64 {
        self.ranks.room_fraction(ticket, now)
    }

    /// Returns the waiting requests in placement order.
    pub fn placement_order(&self, now: Instant) -> Vec<Ticket> {
        if self.settings.shed_by_cost {
            return self.ranks.order(now);
        }
        let mut tickets: Vec<_> = self.waiting.iter().collect();
        tickets.sort_by_key(|(ticket, request)| (self.sort_key(request, now), **ticket));
        tickets.into_iter().map(|(ticket, _)| *ticket).collect()
    }

    /// Removes late requests that can no longer start before their deadline; returns each with
    /// the time after which to retry.
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

    /// Returns the prompt tokens of all waiting requests.
    pub fn prefill_tokens(&self) -> Tokens {
        self.prefill_tokens
    }

    /// Estimates the waiting times of a request with `ahead` prompt tokens before it.
    ///
    /// After `place_by` the request is late and gets only the throughput of late requests.
    fn forecast(
        &self,
        ahead: Tokens,
        request: &QueuedRequest,
        tokens_per_s: f64,
        now: Instant,
    ) -> Forecast {
        let speed = self.speed(tokens_per_s, now);
        let wait = Duration::from_secs_f64(ahead as f64 / speed);
        let retry_after = wait.min(RETRY_AFTER_MAX);
        let time_until_late = request.place_by.saturating_sub(now);
        if wait <= time_until_late {
            return Forecast {
                retry_after,
                starts_in: wait,
            };
        }
        let late_measured = self.late_throughput.tokens_per_s(now);
        let late_speed = late_measured.map_or(speed, |measured| {
            measured.clamp(speed * LATE_SPEED_FRACTION_MIN, speed)
        });
        let remaining_tokens = ahead as f64 - speed * time_until_late.as_secs_f64();
        Forecast {
            retry_after,
            starts_in: time_until_late + Duration::from_secs_f64(remaining_tokens / late_speed),
        }
    }

    /// Returns the measured speed, or the nominal one until it is known.
    pub(super) fn speed(&self, tokens_per_s: f64, now: Instant) -> f64 {
        let expected = tokens_per_s.max(1.0);
        if self.settings.shed_by_cost {
            return self.throughput.smoothed_tokens_per_s(expected, now);
        }
        let measured = self.throughput.tokens_per_s(now);
        measured.map_or(expected, |measured| {
            measured.max(expected * SPEED_FRACTION_MIN)
        })
    }

    fn tokens_ahead(&self, request: &QueuedRequest, now: Instant) -> Tokens {
        let sort_key = self.sort_key(request, now);
        let ahead = self
            .waiting
            .values()
            .filter(|other| self.sort_key(other, now) <= sort_key);
        ahead.map(|other| other.prefill_tokens).sum()
    }

    /// Returns the sort key: requests in time before late ones, then priority, then urgency.
    ///
    /// A late request is promoted at each `late_promotion_interval`, so that none starves.
    fn sort_key(&self, request: &QueuedRequest, now: Instant) -> (u64, Instant) {
        let lateness = now.saturating_sub(request.place_by);
        let priority = match lateness.is_zero() {
            true => u64::from(request.priority),
            false => {
                let steps =
                    lateness.as_millis() / self.settings.late_promotion_interval.as_millis().max(1);
                let priority = LATE_PRIORITY_OFFSET + u64::from(request.priority);
                priority.saturating_sub(steps as u64 * LATE_PROMOTION_PRIORITIES)
            }
        };
        (priority, request.place_by)
    }
}

/// Maximum retry-after time; by then unresponsive engines have been detected or removed.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// Lower bound of the speed in forecasts, as a fraction of the nominal speed. A second without any
/// placement shows only that the next requests wait long, not that none will be placed.
const SPEED_FRACTION_MIN: f64 = 0.05;
/// Lower bound of the speed for late requests, as a fraction of the speed for all; late requests
/// may get no throughput at all.
const LATE_SPEED_FRACTION_MIN: f64 = 0.01;
/// Added to the priority of requests that missed their objective, to sort them after the others.
const LATE_PRIORITY_OFFSET: u64 = 16;
/// Priority levels that a late request gains per [`QueueSettings::late_promotion_interval`].
const LATE_PROMOTION_PRIORITIES: u64 = 8;

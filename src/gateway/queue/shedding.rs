//! Order of queued requests by priority and work, and what refused callers are told.
//!
//! Load pattern: the requests of all kinds together need more work than the engines provide, and
//! each of many VMs sees a small part of them.
//!
//! Each request gets a rank when it enters the queue: requests of lower rank start first, those of
//! the highest rank are refused first. A fixed share of the requests, drawn at random, ranks before
//! all others whatever their kind and size. The others rank by priority; within a priority the rank
//! is drawn at random with a weight that falls with the work that the request needs. Draws are
//! independent, so the shares that kinds, sizes, customers and sessions get do not depend on the
//! number of queues, and no state has to be exchanged between them.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use rand::Rng;

use super::request_queue::{QueuedRequest, Ticket};
use crate::clock::Instant;
use crate::ids::Tokens;

/// Share of the requests that rank before all others. With one return per caller, 28 in 100 callers
/// of each kind, size, customer and session have such a rank: more than a quarter of any share.
const GUARANTEED_SHARE: f64 = 0.15;
/// Work of an output token in prompt tokens: about 5 ms at one of some 50 concurrent requests of an
/// engine that processes 80 prompt tokens per millisecond.
const OUTPUT_TOKEN_WORK: Tokens = 8;
/// Range of the square of a request's work relative to the mean of its priority, as it counts in
/// ranks. In the replays of tests/queue_shedding.rs the largest tenth is then served at least 0.6
/// times as often as its kind.
const RELATIVE_WORK_SQUARE_RANGE: RangeInclusive<f64> = 0.25..=2.5;
/// Weight of the latest request in the mean work of its priority; about 50 requests count.
const MEAN_WORK_SMOOTHING: f64 = 0.02;
/// Priorities that ranks tell apart; higher numbers rank like the last of them.
const PRIORITIES: usize = 8;
/// Ranks of requests in the guaranteed share, before those of the priorities.
const GUARANTEED_RANKS_END: f64 = 1.0;
/// Part of the ranks of a priority that requests have while they can meet their objective; late
/// ones have the rest.
const IN_TIME_RANKS: f64 = 0.5;
/// Fractions of the usual prompt work ahead at an engine up to which requests are placed, from the
/// lowest rank of a priority to the highest, if the priority is the most urgent one at the engines.
/// The work ahead, which all VMs see, thus decides between requests at different VMs.
const MOST_URGENT_ROOM: (f64, f64) = (1.0, 0.8);
/// As [`MOST_URGENT_ROOM`], for other priorities. Much less would leave engines without work until
/// the next heartbeat tells that they have room.
const LESS_URGENT_ROOM: (f64, f64) = (0.6, 0.4);
/// As [`MOST_URGENT_ROOM`], for requests of that priority that are late.
const LATE_ROOM: f64 = 0.7;
/// Ranges of ranks per priority for which the inflow of work is measured separately.
const RANGES_PER_PRIORITY: usize = 8;
const RANGES: usize = (PRIORITIES + 1) * RANGES_PER_PRIORITY;
/// Time over which the inflow is averaged: several requests of each kind at one VM of sixty.
const INFLOW_WINDOW: Duration = Duration::from_secs(2);
/// Minimum time of measurement of the inflow.
const INFLOW_TIME_MIN: Duration = Duration::from_millis(300);
/// Lower bound of the speed that is left for a request after the inflow of lower ranks, as a
/// fraction of the speed. The inflow varies, so some speed is always left.
const SPEED_LEFT_FRACTION_MIN: f64 = 0.1;
/// Fraction of their remaining time up to which callers wait before they return.
const RETURN_TIME_FRACTION: f64 = 1.0 / 3.0;
/// Minimum time after which to return: shorter waits find the same queue.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Time per output token: an upper estimate for engines with many requests.
const OUTPUT_TOKEN_TIME_MAX: Duration = Duration::from_millis(20);
/// Maximum part of the remaining time that a request's own work counts for: callers that give no
/// hint announce far more output tokens than they get.
const OWN_WORK_FRACTION_MAX: f64 = 0.75;

/// Work and time limit of a request beyond those of [`QueuedRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestCost {
    /// Expected length of the output.
    pub output_tokens: Tokens,
    /// Time at which the caller gives up.
    pub caller_deadline: Instant,
    /// Whether no route with a shorter objective shares the upstreams.
    pub is_most_urgent: bool,
}

/// Cause for which a queue refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedCause {
    /// The newcomer would not start in time.
    LateStart,
    /// The queue is full of requests of lower rank.
    FullQueue,
    /// A newcomer of lower rank took the place in a full queue.
    Displaced,
    /// The request waited and can no longer start in time.
    LateInQueue,
}

impl ShedCause {
    /// Returns the name that is used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LateStart => "late_start",
            Self::FullQueue => "full_queue",
            Self::Displaced => "displaced",
            Self::LateInQueue => "late_in_queue",
        }
    }
}

/// Refusal of a request that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shed {
    /// Cause of the refusal.
    pub cause: ShedCause,
    /// Time after which to return.
    pub retry_after: Duration,
}

impl RequestCost {
    /// Returns the fraction of the usual work ahead at an upstream up to which the request may be
    /// placed while none waits.
    pub fn room_fraction(&self) -> f64 {
        match self.is_most_urgent {
            true => 1.0,
            false => LESS_URGENT_ROOM.0,
        }
    }

    /// Returns the latest time at which a request may start if it has to leave the time for its own
    /// work; `first_event_time` is the time from its start to the first event.
    pub fn latest_start(&self, first_event_time: Duration, now: Instant) -> Instant {
        let output_tokens = self.output_tokens.min(u64::from(u32::MAX)) as f64;
        let output_time = OUTPUT_TOKEN_TIME_MAX.mul_f64(output_tokens);
        let left = self.caller_deadline.saturating_sub(now);
        let own_work = (first_event_time + output_time).min(left.mul_f64(OWN_WORK_FRACTION_MAX));
        self.caller_deadline.saturating_sub(own_work)
    }
}

/// Rank of a request; lower ranks start first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Rank(f64);

/// Rank and time limits of a queued request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RankedRequest {
    rank: Rank,
    place_by: Instant,
    caller_deadline: Instant,
    is_most_urgent: bool,
}

/// Ranks of the requests of a queue, with the measurements that they are derived from.
#[derive(Debug)]
pub(super) struct Ranks {
    requests: HashMap<Ticket, RankedRequest>,
    /// Mean work of the requests of each priority; 0 before the first.
    mean_work: [f64; PRIORITIES],
    inflow: Inflow,
}

impl Default for Ranks {
    fn default() -> Self {
        Self {
            requests: HashMap::new(),
            mean_work: [0.0; PRIORITIES],
            inflow: Inflow::default(),
        }
    }
}

impl Ranks {
    /// Draws the rank of a request that is about to enter the queue.
    pub(super) fn draw(
        &mut self,
        request: &QueuedRequest,
        cost: &RequestCost,
        random: &mut impl Rng,
    ) -> RankedRequest {
        let work = remaining_work(request.prefill_tokens, cost.output_tokens);
        let priority = usize::from(request.priority).min(PRIORITIES - 1);
        let mean = &mut self.mean_work[priority];
        match *mean {
            0.0 => *mean = work,
            _ => *mean += MEAN_WORK_SMOOTHING * (work - *mean),
        }
        let rank = draw_rank(priority, work / *mean, random);
        RankedRequest {
            rank,
            place_by: request.place_by,
            caller_deadline: cost.caller_deadline,
            is_most_urgent: cost.is_most_urgent,
        }
    }

    /// Adds a request that has entered the queue.
    pub(super) fn insert(
        &mut self,
        ticket: Ticket,
        ranked: RankedRequest,
        prefill_tokens: Tokens,
        now: Instant,
    ) {
        self.inflow.record(ranked.rank, prefill_tokens, now);
        self.requests.insert(ticket, ranked);
    }

    /// Removes a request that has left the queue.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.requests.remove(&ticket);
        if self.requests.is_empty() {
            self.inflow = Inflow::default();
        }
    }

    /// Returns the fraction of the usual work ahead at an upstream up to which a request of the
    /// queue may be placed.
    pub(super) fn room_fraction(&self, ticket: Ticket, now: Instant) -> f64 {
        let ranked = self.requests.get(&ticket);
        ranked.map_or(1.0, |ranked| ranked.room_fraction(now))
    }

    /// Returns the requests of the queue by their current ranks.
    pub(super) fn order(&self, now: Instant) -> Vec<Ticket> {
        let ranked = self.requests.iter();
        let mut order: Vec<_> = ranked
            .map(|(ticket, ranked)| (ranked.rank_at(now), *ticket))
            .collect();
        order.sort_unstable_by(|(one, _), (other, _)| one.0.total_cmp(&other.0));
        order.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Returns the time after which the caller of a request is to return; see
    /// [`RankedRequest::retry_after`].
    pub(super) fn retry_after(
        &self,
        ticket: Ticket,
        backlog: Duration,
        now: Instant,
        random: &mut impl Rng,
    ) -> Duration {
        let ranked = self.requests.get(&ticket);
        ranked.map_or(RETRY_AFTER_MIN, |ranked| {
            ranked.retry_after(backlog, now, random)
        })
    }

    /// Returns the current rank of a request of the queue; those that are not known rank last.
    pub(super) fn rank(&self, ticket: Ticket, now: Instant) -> Rank {
        let ranked = self.requests.get(&ticket);
        ranked.map_or(Rank(f64::INFINITY), |ranked| ranked.rank_at(now))
    }

    /// Returns the inflow of prompt tokens by rank.
    pub(super) fn inflow(&self, now: Instant) -> InflowByRank {
        self.inflow.by_rank(now)
    }
}

impl RankedRequest {
    /// Returns the fraction of the usual work ahead at an upstream up to which it may be placed.
    pub(super) fn room_fraction(&self, now: Instant) -> f64 {
        let (least, most) = match self {
            Self { rank, .. } if rank.0 < GUARANTEED_RANKS_END => return 1.0,
            Self { place_by, .. } if self.is_most_urgent && now > *place_by => return LATE_ROOM,
            Self {
                is_most_urgent: true,
                ..
            } => MOST_URGENT_ROOM,
            _ => LESS_URGENT_ROOM,
        };
        least + (most - least) * self.rank.0.fract() / IN_TIME_RANKS
    }

    /// Returns the rank at a time: late requests rank after those of their priority that are not.
    pub(super) fn rank_at(&self, now: Instant) -> Rank {
        match self.rank.0 >= GUARANTEED_RANKS_END && now > self.place_by {
            true => Rank(self.rank.0 + IN_TIME_RANKS),
            false => self.rank,
        }
    }

    /// Returns the time after which the caller is to return, if the waiting requests take
    /// `backlog` to start.
    ///
    /// Callers return within the time that it takes to start as much work once more, so that they
    /// arrive no faster than requests start.
    pub(super) fn retry_after(
        &self,
        backlog: Duration,
        now: Instant,
        random: &mut impl Rng,
    ) -> Duration {
        let left = self.caller_deadline.saturating_sub(now);
        let latest = left.mul_f64(RETURN_TIME_FRACTION);
        let earliest = backlog.max(RETRY_AFTER_MIN).min(latest / 2);
        let end = (earliest * 2).max(RETRY_AFTER_MIN * 2).min(latest);
        earliest + end.saturating_sub(earliest).mul_f64(random.random())
    }
}

/// Inflow of prompt tokens into a queue, by ranges of ranks.
#[derive(Debug)]
struct Inflow {
    since: Option<Instant>,
    updated: Instant,
    /// Tokens per range, which decay with [`INFLOW_WINDOW`].
    tokens: [f64; RANGES],
}

impl Default for Inflow {
    fn default() -> Self {
        Self {
            since: None,
            updated: Instant::ZERO,
            tokens: [0.0; RANGES],
        }
    }
}

impl Inflow {
    fn record(&mut self, rank: Rank, tokens: Tokens, now: Instant) {
        self.since.get_or_insert(now);
        let decay = decay(now.saturating_sub(self.updated));
        for range in &mut self.tokens {
            *range *= decay;
        }
        self.updated = now;
        self.tokens[range(rank)] += tokens as f64;
    }

    fn by_rank(&self, now: Instant) -> InflowByRank {
        let time = self.since.map(|since| now.saturating_sub(since));
        let Some(time) = time.filter(|time| *time >= INFLOW_TIME_MIN) else {
            return InflowByRank([0.0; RANGES]);
        };
        // Tokens that arrived evenly since the start would have added up to this many seconds'.
        let seconds = INFLOW_WINDOW.as_secs_f64() * (1.0 - decay(time));
        let scale = decay(now.saturating_sub(self.updated)) / seconds;
        let mut sum = 0.0;
        InflowByRank(self.tokens.map(|tokens| {
            let before = sum;
            sum += tokens * scale;
            before
        }))
    }
}

/// Prompt tokens per second that enter a queue with lower ranks than each range.
#[derive(Debug)]
pub(super) struct InflowByRank([f64; RANGES]);

impl InflowByRank {
    /// Returns the time until a request starts that has `ahead` prompt tokens before it, at a speed
    /// of which later requests of lower rank use a part.
    pub(super) fn starts_in(&self, rank: Rank, ahead: Tokens, tokens_per_s: f64) -> Duration {
        let left = tokens_per_s - self.0[range(rank)];
        let left = left.max(tokens_per_s * SPEED_LEFT_FRACTION_MIN);
        Duration::from_secs_f64(ahead as f64 / left)
    }
}

fn range(rank: Rank) -> usize {
    ((rank.0 * RANGES_PER_PRIORITY as f64) as usize).min(RANGES - 1)
}

fn decay(time: Duration) -> f64 {
    (-time.as_secs_f64() / INFLOW_WINDOW.as_secs_f64()).exp()
}

/// Returns the work of a request in prompt tokens.
fn remaining_work(prefill_tokens: Tokens, output_tokens: Tokens) -> f64 {
    let work = prefill_tokens.saturating_add(output_tokens.saturating_mul(OUTPUT_TOKEN_WORK));
    work.max(1) as f64
}

/// Draws a rank; `relative_work` is the work relative to the mean of the priority.
///
/// Among requests that need more than the mean, the share below a given rank falls at most with the
/// square of the work.
fn draw_rank(priority: usize, relative_work: f64, random: &mut impl Rng) -> Rank {
    let draw: f64 = random.random();
    if draw < GUARANTEED_SHARE {
        return Rank(draw / GUARANTEED_SHARE);
    }
    let size = relative_work.powi(2).clamp(
        *RELATIVE_WORK_SQUARE_RANGE.start(),
        *RELATIVE_WORK_SQUARE_RANGE.end(),
    );
    let uniform = (draw - GUARANTEED_SHARE) / (1.0 - GUARANTEED_SHARE);
    let within = 1.0 - (1.0 - uniform).powf(size);
    Rank(GUARANTEED_RANKS_END + priority as f64 + IN_TIME_RANKS * within)
}

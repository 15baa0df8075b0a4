//! Ledgers of the requests that are sent to brittle upstreams.
//!
//! Load pattern: many VMs with few requests each, none of which knows what the others are about to
//! send. A permitted request is open until its VM reports that the upstream has taken it; open and
//! rejected requests together are no more than the upstream may reject.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ARRIVAL_MAX;
use crate::clock::Instant;
use crate::gateway::process_hash::ProcessHash;
use crate::gateway::upstream_limit::RequestRate;

/// Time in which an upstream counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Time without a rejection after which one more request may be in flight.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);
/// Time added to the timeout of a request until it no longer counts as in flight.
const END_SLACK: Duration = Duration::from_secs(1);
/// Weight of a new sample in the moving averages of times.
const TIME_SMOOTHING: f64 = 0.1;
/// Turns per permit that VMs that were refused get, as some have sent their requests elsewhere.
const TURNS_PER_PERMIT: f64 = 3.0;
/// Limits of the interval between the turns of VMs that were refused.
const TURN_INTERVAL_MIN: Duration = Duration::from_millis(2);
const TURN_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// Maximum time for which a VM waits for those that were refused before it.
const TURN_WAIT_MAX: Duration = Duration::from_secs(1);
/// Time after which a ledger that nobody uses is dropped.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(60);

/// Number that identifies a permit at its keeper.
pub type PermitId = u64;

/// Request for a permit to send one request to a brittle upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendRequest {
    /// Process of the upstream.
    pub process: ProcessHash,
    /// Rejections a second that the upstream bears.
    pub rejections_max: RequestRate,
    /// Part of the fleet's VMs that the keeper hears; the others may keep a ledger too.
    pub reachable_part: f64,
    /// Requests that the upstream processes at once.
    pub slots: u32,
    /// Time after which the request has ended.
    pub timeout: Duration,
    /// Part of its interval, from 0 to 1, for which a keeper of few VMs waits before its first
    /// permit, so that several of them do not permit at the same time.
    pub phase: f64,
}

/// Decision about a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendDecision {
    /// Permit, if the request may be sent now.
    pub permit: Option<PermitId>,
    /// Time after which to ask again without one.
    pub wait: Duration,
}

/// What became of a permitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SendOutcome {
    /// It was not sent.
    Unsent,
    /// The upstream has not rejected it.
    Accepted,
    /// It has ended.
    Ended,
    /// The upstream rejected it.
    Rejected,
    /// The connection broke.
    Broken,
}

/// Ledgers that this VM keeps.
#[derive(Debug, Default)]
pub struct SendLedgers {
    ledgers: HashMap<ProcessHash, Ledger>,
    next_id: PermitId,
}

#[derive(Debug, Default)]
struct Ledger {
    permits: HashMap<PermitId, Permit>,
    /// Times at which rejections were reported.
    rejections: VecDeque<Instant>,
    /// Maximum number of requests in flight after a rejection; `None` for all slots.
    in_flight_max: Option<u32>,
    /// Time from which that maximum may grow.
    grows_from: Instant,
    /// Time before which nothing is permitted.
    opens_at: Instant,
    /// Whether the keeper hears so few VMs that it permits less than one request at a time.
    is_partial: bool,
    turns_until: Instant,
    /// Time from a permit to the report that its request was accepted.
    open_time: MeanTime,
    /// Time from a permit to the end of its request.
    in_flight_time: MeanTime,
    used_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Permit {
    granted_at: Instant,
    ends_by: Instant,
    is_accepted: bool,
}

/// Exponentially weighted moving average.
#[derive(Debug, Clone, Copy)]
struct MeanTime(Duration);

/// Number of requests that may be rejected in a time.
#[derive(Debug, Clone, Copy)]
struct RejectionBound {
    requests: usize,
    window: Duration,
}

impl SendLedgers {
    /// Creates an empty set whose permits are numbered from `first_id`.
    pub fn new(first_id: PermitId) -> Self {
        Self {
            next_id: first_id,
            ..Self::default()
        }
    }

    /// Decides about a request.
    ///
    /// Until `opens_at`, requests that another keeper has permitted may still be rejected.
    pub fn decide(
        &mut self,
        request: &SendRequest,
        opens_at: Instant,
        now: Instant,
    ) -> SendDecision {
        let ledger = self.ledgers.entry(request.process).or_default();
        let bound = request.rejection_bound();
        let is_partial = bound.window > REJECTION_WINDOW;
        if is_partial && !ledger.is_partial {
            ledger.opens_at = now + bound.window.mul_f64(request.phase);
        }
        ledger.is_partial = is_partial;
        ledger.used_at = now;
        ledger.sweep(bound.window, now);
        let opens_at = ledger.opens_at.max(opens_at);
        if now < opens_at {
            return ledger.refuse(opens_at, ledger.open_time.per(bound.requests), now);
        }
        if ledger.at_risk() >= bound.requests {
            // Open requests are reported within milliseconds, rejections count for the whole window.
            let rejection = ledger.rejections.front();
            let returns_at = match rejection {
                Some(at) if ledger.rejections.len() >= bound.requests => *at + bound.window,
                _ => now,
            };
            return ledger.refuse(returns_at, ledger.open_time.per(bound.requests), now);
        }
        if !ledger.has_room(request.slots, now) {
            let in_flight = ledger.permits.len();
            return ledger.refuse(now, ledger.in_flight_time.per(in_flight), now);
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        ledger.grant(id, request.timeout, now);
        SendDecision {
            permit: Some(id),
            wait: Duration::ZERO,
        }
    }

    /// Records what became of a permitted request.
    pub fn record_outcome(
        &mut self,
        process: ProcessHash,
        id: PermitId,
        outcome: SendOutcome,
        now: Instant,
    ) {
        let Some(ledger) = self.ledgers.get_mut(&process) else {
            return;
        };
        match outcome {
            SendOutcome::Unsent => drop(ledger.permits.remove(&id)),
            SendOutcome::Ended => ledger.end(id, now),
            SendOutcome::Accepted => ledger.accept(id, now),
            SendOutcome::Rejected => {
                ledger.permits.remove(&id);
                ledger.rejections.push_back(now);
                let accepted = ledger.permits.values().filter(|permit| permit.is_accepted);
                ledger.in_flight_max = Some(accepted.count().max(1) as u32);
                ledger.grows_from = now + GROWTH_INTERVAL;
            }
            SendOutcome::Broken => {
                ledger.permits.remove(&id);
                ledger.in_flight_max = Some(ledger.permits.len().max(1) as u32);
                ledger.grows_from = now;
            }
        }
    }

    /// Drops ledgers that have not been used for long.
    pub fn sweep(&mut self, now: Instant) {
        self.ledgers
            .retain(|_, ledger| now.saturating_sub(ledger.used_at) < LEDGER_TIMEOUT);
    }

    /// Returns the number of ledgers.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Returns whether there are no ledgers.
    pub fn is_empty(&self) -> bool {
        self.ledgers.is_empty()
    }
}

impl SendRequest {
    /// Returns the part of the upstream's rejections that this keeper may cause.
    fn rejection_bound(&self) -> RejectionBound {
        let per_s = self.rejections_max.permitted_per_s();
        // It falls over beyond its number, so that a fraction of a rejection is worth nothing.
        let whole = if per_s >= 1.0 { per_s.floor() } else { per_s };
        let part = whole * self.reachable_part.clamp(0.0, 1.0);
        match part >= 1.0 {
            true => RejectionBound {
                requests: part.floor() as usize,
                window: REJECTION_WINDOW,
            },
            false => RejectionBound {
                requests: 1,
                window: Duration::try_from_secs_f64(1.0 / part).unwrap_or(LEDGER_TIMEOUT),
            },
        }
    }
}

impl Ledger {
    /// Forgets what can no longer be rejected within the window, and requests that have ended.
    fn sweep(&mut self, window: Duration, now: Instant) {
        let open_for = ARRIVAL_MAX + window;
        self.permits.retain(|_, permit| match permit.is_accepted {
            true => now < permit.ends_by,
            false => now < permit.granted_at + open_for,
        });
        while self
            .rejections
            .front()
            .is_some_and(|at| *at + window <= now)
        {
            self.rejections.pop_front();
        }
    }

    /// Returns the number of requests that may be rejected, or were.
    fn at_risk(&self) -> usize {
        let open = self.permits.values().filter(|permit| !permit.is_accepted);
        open.count() + self.rejections.len()
    }

    fn has_room(&mut self, slots: u32, now: Instant) -> bool {
        let in_flight = self.permits.len() as u32;
        self.in_flight_max = self.in_flight_max.filter(|max| *max < slots);
        match self.in_flight_max {
            None => in_flight < slots.max(1),
            Some(max) if in_flight < max => true,
            Some(max) if now >= self.grows_from => {
                self.in_flight_max = Some(max + 1);
                self.grows_from = now + GROWTH_INTERVAL;
                in_flight <= max
            }
            Some(_) => false,
        }
    }

    fn grant(&mut self, id: PermitId, timeout: Duration, now: Instant) {
        let permit = Permit {
            granted_at: now,
            ends_by: now + timeout + END_SLACK,
            is_accepted: false,
        };
        self.permits.insert(id, permit);
    }

    fn accept(&mut self, id: PermitId, now: Instant) {
        let in_flight = self.permits.len() as u32;
        let Some(permit) = self.permits.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut permit.is_accepted, true) {
            return;
        }
        self.open_time.record(now.saturating_sub(permit.granted_at));
        // There was room for as many as the maximum allows.
        let is_held = self
            .rejections
            .back()
            .is_some_and(|at| now < *at + GROWTH_INTERVAL);
        if let Some(max) = self
            .in_flight_max
            .filter(|max| in_flight >= *max && !is_held)
        {
            self.in_flight_max = Some(max + 1);
        }
    }

    fn end(&mut self, id: PermitId, now: Instant) {
        if let Some(permit) = self.permits.remove(&id) {
            self.in_flight_time
                .record(now.saturating_sub(permit.granted_at));
        }
    }

    /// Refuses a permit until a time at least, and gives the VM the next turn to ask again;
    /// `permit_interval` is the time in which one permit is expected.
    fn refuse(&mut self, until: Instant, permit_interval: Duration, now: Instant) -> SendDecision {
        let interval = permit_interval
            .div_f64(TURNS_PER_PERMIT)
            .clamp(TURN_INTERVAL_MIN, TURN_INTERVAL_MAX);
        let first_at = until.max(now);
        let turn_at = self.turns_until.max(first_at) + interval;
        self.turns_until = turn_at.min(first_at + TURN_WAIT_MAX);
        SendDecision {
            permit: None,
            wait: self.turns_until.saturating_sub(now),
        }
    }
}

impl MeanTime {
    fn record(&mut self, sample: Duration) {
        self.0 = self.0.mul_f64(1.0 - TIME_SMOOTHING) + sample.mul_f64(TIME_SMOOTHING);
    }

    /// Returns the interval at which one of some concurrent times ends.
    fn per(self, concurrent: usize) -> Duration {
        self.0 / concurrent.max(1) as u32
    }
}

impl Default for MeanTime {
    fn default() -> Self {
        Self(Duration::from_millis(20))
    }
}

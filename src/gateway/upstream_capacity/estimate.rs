//! Estimate of an upstream's load from what it announced and from the loads of all VMs.

use std::time::Duration;

use super::announced::AnnouncedServerLoad;
use crate::clock::Instant;

/// Age up to which an announced figure has full weight.
const FRESH_AGE_MAX: Duration = Duration::from_millis(100);
/// Age from which an announced figure has no weight.
const USABLE_AGE_MAX: Duration = Duration::from_secs(1);
/// Time without a change from which figures are no longer believed; a server in use changes its
/// figures many times a second.
const STANDING_TIME_MIN: Duration = Duration::from_secs(2);
/// Number of announcements without a change from which figures are no longer believed.
const STANDING_ANNOUNCEMENTS_MIN: u32 = 8;
/// Time for which an upstream that rejected a request counts as full without a fresh announcement.
const REJECTION_MEMORY: Duration = Duration::from_millis(200);
/// Ratio of two slownesses, or its inverse, from which other VMs are told; smaller changes move few
/// requests.
const SLOWNESS_CHANGE_RATIO: f64 = 1.25;
/// Time by which a load that another VM tells of must be newer than the known one: a message takes
/// some time, and what it says must not look newer at each VM that forwards it.
const NEWER_MIN: Duration = Duration::from_millis(20);
/// An upstream that rejects a request while it has no more requests than its slots divided by this is
/// not full: it is busy with an order, and rejects everything until the order is complete.
const IDLE_SLOTS_DIVISOR: u32 = 4;
/// Limits of the slowness that is used, so that one figure never excludes an upstream for good.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.25..=10.0;

/// What an upstream announced last, and what this VM has sent and got back since.
#[derive(Debug, Clone, Default)]
pub struct LoadRecord {
    latest: Option<TimedLoad>,
    sent_since: u32,
    returned_since: u32,
    /// Request that has not ended at this VM, but which the latest figures no longer contain.
    ended_request: Option<u64>,
    /// Waiting places, from the figures in rejections.
    waiting_places: Option<u32>,
    rejected_at: Option<Instant>,
    /// Whether the latest figures came with a rejection although most slots were free.
    is_idle_rejection: bool,
    is_unreadable_logged: bool,
}

#[derive(Debug, Clone, Copy)]
struct TimedLoad {
    load: AnnouncedServerLoad,
    at: Instant,
    /// Time of the first announcement with these figures.
    unchanged_since: Instant,
    /// Number of announcements with these figures.
    announcements: u32,
}

/// Estimated load of an upstream at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Requests that run or wait at the upstream.
    pub requests: f64,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Multiple of the usual time that work takes now.
    pub slowness: f64,
    /// Age of the announced figures; `None` if none are used.
    pub age: Option<Duration>,
    /// Waiting places, if a rejection has shown them.
    pub waiting_places: Option<u32>,
    /// Whether the upstream rejected a request and no later response has shown free places.
    pub is_full: bool,
}

impl LoadRecord {
    /// Records a load that a response announces; `is_rejection` states whether the upstream
    /// rejected the request, and `ended_request` is the number of the request if the response ends
    /// it. Returns whether the load has changed so much that other VMs are to be told.
    pub fn record(
        &mut self,
        load: AnnouncedServerLoad,
        is_rejection: bool,
        ended_request: Option<u64>,
        now: Instant,
    ) -> bool {
        let is_change = self.is_change(load, now);
        self.set_latest(load, now);
        self.ended_request = ended_request;
        self.is_idle_rejection =
            is_rejection && load.requests().saturating_mul(IDLE_SLOTS_DIVISOR) <= load.slots;
        // A rejection with free slots has another cause than the number of requests.
        if is_rejection && load.running >= load.slots {
            self.waiting_places = Some(load.waiting);
        } else if let Some(places) = &mut self.waiting_places {
            *places = load.waiting.max(*places);
        }
        if !is_rejection {
            self.rejected_at = None;
        }
        is_change
    }

    /// Records a load that was announced to another VM at `at`; returns whether this VM did not know
    /// of the change.
    pub fn record_told(&mut self, load: AnnouncedServerLoad, at: Instant) -> bool {
        if self.latest.is_some_and(|latest| at < latest.at + NEWER_MIN) {
            return false;
        }
        let is_change = self.is_change(load, at);
        self.set_latest(load, at);
        self.ended_request = None;
        is_change
    }

    fn set_latest(&mut self, load: AnnouncedServerLoad, at: Instant) {
        let unchanged = self.latest.filter(|latest| latest.load == load);
        self.latest = Some(TimedLoad {
            load,
            at,
            unchanged_since: unchanged.map_or(at, |latest| latest.unchanged_since),
            announcements: unchanged.map_or(1, |latest| latest.announcements.saturating_add(1)),
        });
        self.sent_since = 0;
        self.returned_since = 0;
    }

    /// Returns whether a load differs much from the known one, or from an idle upstream if none is
    /// known.
    fn is_change(&self, load: AnnouncedServerLoad, now: Instant) -> bool {
        let is_usable = |latest: &TimedLoad| now.saturating_sub(latest.at) < USABLE_AGE_MAX;
        let known = self.latest.filter(is_usable).map(|latest| latest.load);
        let known_slowness = known.and_then(|known| known.slowness).unwrap_or(1.0);
        let ratio = load.slowness.unwrap_or(1.0) / known_slowness;
        let known_requests = known.map_or(0, |known| known.requests());
        ratio.max(1.0 / ratio) >= SLOWNESS_CHANGE_RATIO
            || load.requests().abs_diff(known_requests) >= load.slots
    }

    /// Records that the upstream rejected a request.
    pub fn record_rejection(&mut self, now: Instant) {
        self.rejected_at = Some(now);
    }

    /// Returns whether the latest response rejected a request although most slots were free.
    pub fn is_idle_rejection(&self) -> bool {
        self.is_idle_rejection
    }

    /// Records that this VM has sent a request.
    pub fn record_sent(&mut self) {
        self.sent_since = self.sent_since.saturating_add(1);
    }

    /// Records that a request of this VM has ended.
    pub fn record_returned(&mut self, request: u64) {
        if self.ended_request != Some(request) {
            self.returned_since = self.returned_since.saturating_add(1);
        }
    }

    /// Records that figures could not be read; returns whether it is the first time.
    pub fn record_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unreadable_logged, true)
    }

    /// Returns the load that was announced last.
    pub fn latest(&self) -> Option<AnnouncedServerLoad> {
        self.latest.map(|latest| latest.load)
    }

    /// Returns the load that was announced last, with the time of the announcement.
    pub fn latest_with_time(&self) -> Option<(AnnouncedServerLoad, Instant)> {
        self.latest.map(|latest| (latest.load, latest.at))
    }

    /// Returns the multiple of the usual time that work takes now.
    pub fn slowness(&self, now: Instant) -> f64 {
        self.latest.map_or(1.0, |latest| latest.slowness(now))
    }

    /// Returns the estimate for a moment.
    ///
    /// `own_requests` are this VM's requests in flight, `fleet_requests` those of all VMs as far
    /// as heartbeats tell, and `listed_slots` the slots in the upstream's entry.
    pub fn estimate(
        &self,
        own_requests: u32,
        fleet_requests: u32,
        listed_slots: u32,
        now: Instant,
    ) -> LoadEstimate {
        let fleet_requests = f64::from(fleet_requests);
        let mut estimate = LoadEstimate {
            requests: fleet_requests,
            slots: f64::from(listed_slots.max(1)),
            slowness: 1.0,
            age: None,
            waiting_places: self.waiting_places,
            is_full: self
                .rejected_at
                .is_some_and(|at| now.saturating_sub(at) < REJECTION_MEMORY),
        };
        let Some(latest) = self.latest else {
            return estimate;
        };
        let weight = latest.weight(now);
        if weight > 0.0 {
            let announced = f64::from(latest.load.requests()) + f64::from(self.sent_since)
                - f64::from(self.returned_since);
            let announced = announced.max(f64::from(own_requests));
            estimate.requests = weight * announced + (1.0 - weight) * fleet_requests;
            estimate.slots = f64::from(latest.load.slots);
            estimate.slowness = latest.slowness(now);
            estimate.age = Some(now.saturating_sub(latest.at));
        }
        estimate
    }
}

impl TimedLoad {
    /// Returns whether the figures have stood still for so long that they are not believed.
    fn is_standing(&self, now: Instant) -> bool {
        self.announcements >= STANDING_ANNOUNCEMENTS_MIN
            && now.saturating_sub(self.unchanged_since) >= STANDING_TIME_MIN
    }

    /// Returns the weight of the figures: 1 while they are fresh, then less and less.
    fn weight(&self, now: Instant) -> f64 {
        if self.is_standing(now) {
            return 0.0;
        }
        let decay = USABLE_AGE_MAX - FRESH_AGE_MAX;
        let left = USABLE_AGE_MAX.saturating_sub(now.saturating_sub(self.at));
        (left.as_secs_f64() / decay.as_secs_f64()).min(1.0)
    }

    fn slowness(&self, now: Instant) -> f64 {
        let slowness = self.load.slowness.unwrap_or(1.0);
        let slowness = slowness.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
        1.0 + self.weight(now) * (slowness - 1.0)
    }
}

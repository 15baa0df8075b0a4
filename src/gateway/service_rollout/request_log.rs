//! Requests of one order at one VM.
//!
//! Memory grows with the requests in flight, the routes and the target's upstreams.

use std::collections::HashMap;

use super::counts::{RolloutReport, RouteCounts, RouteHash, UpstreamCounts, VersionCounts};
use super::grant::GrantBook;
use super::response_times::ResponseTimes;
use crate::clock::Instant;
use crate::gateway::model::{ServiceId, SoftwareVersion};
use crate::gateway::name_hash::hash_name;
use crate::ids::{Incarnation, VmId};

/// Number of distinct hashes of the target's upstreams; bounds the size of a report.
const UPSTREAM_HASHES: u32 = 16;

/// Number of routes with counts of their own; the others are counted together.
const ROUTES_MAX: usize = 12;

/// Route that stands for those beyond [`ROUTES_MAX`].
const OTHER_ROUTES: RouteHash = 0;

/// Where a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentTo<'a> {
    /// An upstream of the old version.
    Old,
    /// The named upstream of the target.
    Target(&'a str),
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// Complete response that counts as success.
    Success,
    /// Failed response, none, or an incomplete one.
    Failure,
    /// Refusal that states that the request has not run.
    Refusal,
    /// Ended by the caller or this VM; says nothing about the upstream.
    Abandoned,
}

/// Identifies a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SentRequest(u64);

#[derive(Debug)]
struct InFlight {
    sent_at: Instant,
    route: RouteHash,
    /// Hash of the target's upstream; `None` for the old version.
    upstream: Option<u8>,
    has_responded: bool,
}

/// Counts of one order at one VM.
#[derive(Debug)]
pub struct RequestLog {
    service: ServiceId,
    target: SoftwareVersion,
    seen_at: Instant,
    /// Time of the first request to the target.
    target_at: Option<Instant>,
    sent: u32,
    next_id: u64,
    in_flight: HashMap<u64, InFlight>,
    routes: Vec<RouteCounts>,
}

impl RequestLog {
    /// Creates an empty log for an order that is seen first at `now`.
    pub fn new(service: ServiceId, target: SoftwareVersion, now: Instant) -> Self {
        Self {
            service,
            target,
            seen_at: now,
            target_at: None,
            sent: 0,
            // Ids of an earlier log of the same service do not occur again.
            next_id: now.as_nanos() as u64,
            in_flight: HashMap::new(),
            routes: Vec::new(),
        }
    }

    /// Records that a request is sent.
    pub fn start(&mut self, route: RouteHash, sent_to: SentTo<'_>, now: Instant) -> SentRequest {
        let route = self.kept_route(route);
        let upstream = match sent_to {
            SentTo::Old => None,
            SentTo::Target(name) => Some((hash_name(name) % UPSTREAM_HASHES) as u8),
        };
        if upstream.is_some() {
            self.target_at.get_or_insert(now);
        }
        self.sent = self.sent.saturating_add(1);
        let counts = counts_of(&mut self.routes, route, upstream);
        counts.sent = counts.sent.saturating_add(1);
        let id = self.next_id;
        self.next_id += 1;
        let request = InFlight {
            sent_at: now,
            route,
            upstream,
            has_responded: false,
        };
        self.in_flight.insert(id, request);
        SentRequest(id)
    }

    /// Records the first byte of a response that is no failure and no refusal.
    pub fn respond(&mut self, request: SentRequest, now: Instant) {
        let Some(request) = self.in_flight.get_mut(&request.0) else {
            return;
        };
        if !request.has_responded {
            request.has_responded = true;
            let time = now.saturating_sub(request.sent_at);
            let counts = counts_of(&mut self.routes, request.route, request.upstream);
            counts.times.record(time);
        }
    }

    /// Records the end of a request; repeated calls have no effect.
    pub fn conclude(&mut self, request: SentRequest, outcome: RequestOutcome, now: Instant) {
        if outcome == RequestOutcome::Success {
            self.respond(request, now);
        }
        let Some(request) = self.in_flight.remove(&request.0) else {
            return;
        };
        let counts = counts_of(&mut self.routes, request.route, request.upstream);
        let count = match outcome {
            RequestOutcome::Success => &mut counts.successes,
            RequestOutcome::Failure => &mut counts.failures,
            RequestOutcome::Refusal => &mut counts.refusals,
            RequestOutcome::Abandoned => return,
        };
        *count = count.saturating_add(1);
    }

    fn old_in_flight(&self) -> u32 {
        let requests = self.in_flight.values();
        requests
            .filter(|request| request.upstream.is_none())
            .count() as u32
    }

    /// Returns the report on the order.
    ///
    /// `old_in_flight` is the number of requests and streams in flight at old upstreams, also those
    /// that began before this VM saw the order.
    pub fn report(
        &self,
        vm: VmId,
        incarnation: Incarnation,
        old_in_flight: u32,
        grants: &GrantBook,
        now: Instant,
    ) -> RolloutReport {
        let last = grants.last(&self.service);
        let last = last.filter(|grant| grant.target == self.target);
        let millis_since = |at: Instant| {
            let millis = now.saturating_sub(at).as_millis();
            u32::try_from(millis).unwrap_or(u32::MAX)
        };
        RolloutReport {
            service: self.service.clone(),
            target: self.target.clone(),
            vm,
            incarnation,
            seen_for_ms: millis_since(self.seen_at),
            target_since_ms: self.target_at.map_or(0, |at| millis_since(at).max(1)),
            sent: self.sent,
            old_in_flight: old_in_flight.max(self.old_in_flight()),
            grant_fencing: last.map_or(0, |grant| grant.fencing),
            grant_sequence: last.map_or(0, |grant| grant.sequence),
            granted_permille: last.map_or(0, |grant| grant.share_permille),
            share_permille: grants.share(&self.service, &self.target, now),
            routes: self.routes_with_waiting(now),
        }
    }

    fn routes_with_waiting(&self, now: Instant) -> Vec<RouteCounts> {
        let mut routes = self.routes.clone();
        let waiting = self.in_flight.values();
        for request in waiting.filter(|request| !request.has_responded) {
            let age = now.saturating_sub(request.sent_at);
            let counts = counts_of(&mut routes, request.route, request.upstream);
            let waiting: &mut ResponseTimes = &mut counts.waiting;
            waiting.record(age);
        }
        routes
    }

    fn kept_route(&self, route: RouteHash) -> RouteHash {
        let is_kept = self.routes.iter().any(|counts| counts.route == route);
        match is_kept || self.routes.len() < ROUTES_MAX {
            true => route,
            false => OTHER_ROUTES,
        }
    }
}

/// Returns the counts of a route and version, or of an upstream of the target.
fn counts_of(
    routes: &mut Vec<RouteCounts>,
    route: RouteHash,
    upstream: Option<u8>,
) -> &mut VersionCounts {
    let index = routes.iter().position(|counts| counts.route == route);
    let index = index.unwrap_or_else(|| {
        routes.push(RouteCounts {
            route,
            ..RouteCounts::default()
        });
        routes.len() - 1
    });
    let counts = &mut routes[index];
    let Some(upstream) = upstream else {
        return &mut counts.old;
    };
    let target = &mut counts.target;
    let index = target.iter().position(|counts| counts.upstream == upstream);
    let index = index.unwrap_or_else(|| {
        target.push(UpstreamCounts {
            upstream,
            ..UpstreamCounts::default()
        });
        target.len() - 1
    });
    &mut target[index].counts
}

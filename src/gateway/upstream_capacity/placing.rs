//! Applies the estimates to the gateway's state: records announced loads and chooses upstreams.

use http::StatusCode;

use super::estimate::LoadEstimate;
use super::plain_choice::{PlainCandidate, PlainChoice, choose_plain};
use crate::clock::Instant;
use crate::gateway::placement::{Candidate, Placement, PlacementRequest, PlacementSettings};
use crate::gateway::platform_api::ResponseHead;
use crate::gateway::process_hash::hash_process;
use crate::gateway::state::GatewayState;
use crate::gateway::upstream_registry::{Upstream, UpstreamInstance};

/// Requests per slot that a plain upstream may have while its waiting places are not known, as in
/// services that announce no load.
const REQUESTS_PER_SLOT_DEFAULT: f64 = 2.0;
/// Fraction of the waiting places that is used; the rest is for requests that other VMs send before
/// their figures show this one.
const WAITING_PLACES_FRACTION: f64 = 0.75;

impl GatewayState {
    /// Returns whether upstreams of a service have announced how long work takes, so that loads
    /// determine the choice.
    pub(in crate::gateway) fn is_load_aware(&self, service: &str) -> bool {
        self.load_aware_services.contains(service)
    }

    /// Records the load that a response announces, and whether the response rejects its request;
    /// returns whether it cannot be read for the first time at this upstream's process.
    ///
    /// `ended_request` is the request that the figures no longer contain.
    pub(in crate::gateway) fn record_server_load(
        &mut self,
        instance: &UpstreamInstance,
        status: StatusCode,
        head: &ResponseHead,
        ended_request: Option<u64>,
        now: Instant,
    ) -> bool {
        let Some(upstream) = self.upstreams.instance_mut(instance) else {
            return false;
        };
        let Some(load) = head.load else {
            return head.unreadable_load.is_some() && upstream.load_record.record_unreadable();
        };
        let is_rejection = head.is_not_run && status == StatusCode::SERVICE_UNAVAILABLE;
        let is_change = upstream
            .load_record
            .record(load, is_rejection, ended_request, now);
        let service = &upstream.entry.service;
        if load.slowness.is_some() && !self.load_aware_services.contains(service) {
            self.load_aware_services.insert(service.clone());
        }
        // Engines are so many that messages with their loads would outweigh the use.
        let is_plain = !self.engine_profiles.contains_key(service);
        if load.slowness.is_some() && is_plain && is_change {
            self.load_outbox.push(hash_process(instance));
        }
        false
    }

    /// Returns the estimated load of an upstream.
    pub(in crate::gateway) fn load_estimate(
        &self,
        upstream: &Upstream,
        now: Instant,
    ) -> LoadEstimate {
        upstream.load_record.estimate(
            upstream.own_load.requests,
            self.total_load(upstream).requests,
            upstream.entry.slots,
            now,
        )
    }

    /// Returns the prompt speed of an engine of a load-aware service now.
    pub(in crate::gateway) fn engine_tokens_per_ms(
        &self,
        upstream: &Upstream,
        now: Instant,
    ) -> f64 {
        let common = self.placement_settings.prefill_tokens_per_ms;
        let usual = upstream.usual_speed.prefill_tokens_per_ms(common);
        usual / upstream.load_record.slowness(now)
    }

    /// Returns the number of engines of a load-aware service and the sum of their prompt speeds now.
    pub(in crate::gateway) fn engine_speed_sum(&self, service: &str, now: Instant) -> (usize, f64) {
        let engines = self.serving(service, now);
        engines.fold((0, 0.0), |(count, sum), engine| {
            (count + 1, sum + self.engine_tokens_per_ms(engine, now))
        })
    }

    /// Returns the placement settings with the mean prompt speed of a service's engines.
    pub(in crate::gateway) fn service_placement_settings(
        &self,
        service: &str,
        now: Instant,
    ) -> PlacementSettings {
        let mut settings = self.placement_settings;
        if self.is_load_aware(service)
            && let (engines @ 1.., sum) = self.engine_speed_sum(service, now)
        {
            settings.prefill_tokens_per_ms = sum / engines as f64;
        }
        settings
    }

    /// Chooses a plain upstream by expected completion time.
    pub(in crate::gateway) fn choose_plain_upstream<'a>(
        &self,
        request: &PlacementRequest,
        upstreams: impl Iterator<Item = (&'a Upstream, &'a Candidate)>,
        now: Instant,
    ) -> Placement {
        let candidates: Vec<PlainCandidate> = upstreams
            .map(|(upstream, candidate)| self.plain_candidate(upstream, candidate, now))
            .collect();
        match choose_plain(&candidates, request.is_only_attempt, rand::random()) {
            PlainChoice::Chosen(index) => Placement::Chosen(index),
            PlainChoice::NoRoom => Placement::NoRoom,
        }
    }

    fn plain_candidate(
        &self,
        upstream: &Upstream,
        candidate: &Candidate,
        now: Instant,
    ) -> PlainCandidate {
        let estimate = self.load_estimate(upstream, now);
        let settings = &self.placement_settings;
        let mut extra_cost = std::time::Duration::ZERO;
        if !candidate.is_same_zone {
            extra_cost += settings.cross_zone_cost;
        }
        if candidate.is_avoided {
            extra_cost += settings.avoided_cost;
        }
        PlainCandidate {
            requests: estimate.requests,
            slots: estimate.slots,
            capacity: estimate.plain_capacity(),
            service_time: upstream.usual_speed.service_time(),
            slowness: estimate.slowness,
            age: estimate.age,
            extra_cost,
            is_full: estimate.is_full,
        }
    }
}

impl LoadEstimate {
    /// Returns the requests that may run or wait at a plain upstream.
    pub fn plain_capacity(&self) -> f64 {
        match self.waiting_places {
            Some(places) => self.slots + f64::from(places) * WAITING_PLACES_FRACTION,
            None => self.slots * REQUESTS_PER_SLOT_DEFAULT,
        }
    }

    /// Returns the multiple of its usual work that a further request is expected to take.
    pub fn work_multiple(&self) -> f64 {
        ((self.requests + 1.0) / self.slots.max(1.0)).max(1.0) * self.slowness
    }
}

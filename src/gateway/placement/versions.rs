//! Software versions at which a request may run while its service has a rollout.

use std::sync::Arc;

use super::choice::Placement;
use super::dispatch::DispatchedRequest;
use super::request::PlacementRequest;
use crate::clock::Instant;
use crate::gateway::model::SoftwareVersion;
use crate::gateway::platform_api::TrackedKind;
use crate::gateway::service_rollout::{VersionQuery, VersionRule};
use crate::gateway::state::{Gateway, GatewayState};
use crate::gateway::upstream_registry::Upstream;

impl GatewayState {
    /// Chooses an upstream and counts the request in its load.
    ///
    /// A request that is drawn for the target of a rollout goes to the old version if the target has
    /// no room; one that is not drawn for it never goes there.
    ///
    /// # Errors
    ///
    /// Returns [`Placement::NoRoom`] or [`Placement::NoCandidate`] if no upstream was chosen.
    pub(in crate::gateway) fn try_place(
        &mut self,
        gateway: &Arc<Gateway>,
        request: &PlacementRequest,
        now: Instant,
    ) -> Result<DispatchedRequest, Placement> {
        let (rule, fallback) = self.version_rules(request, now);
        let placed = self.try_place_at(gateway, request, &rule, now);
        match (placed, fallback) {
            (Err(_), Some(fallback)) => self.try_place_at(gateway, request, &fallback, now),
            (placed, _) => placed,
        }
    }

    /// Returns the upstreams that may receive a request.
    pub(in crate::gateway) fn permitted<'a>(
        &'a self,
        request: &'a PlacementRequest,
        now: Instant,
    ) -> impl Iterator<Item = &'a Upstream> {
        let (rule, fallback) = self.version_rules(request, now);
        let ready = self.upstreams.ready(&request.service);
        ready.filter(move |upstream| {
            let software = upstream.entry.software.as_ref();
            let is_fallback = fallback.as_ref().is_some_and(|rule| rule.permits(software));
            request.permits(upstream) && (rule.permits(software) || is_fallback)
        })
    }

    /// Returns the upstreams that serve most requests of a service now.
    pub(in crate::gateway) fn serving<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Upstream> {
        let rule = match self.rollouts.is_enabled() {
            true => {
                let listed = self.listed_versions(service);
                let query = self.version_query(service, &listed);
                self.rollouts.forecast_rule(query, now)
            }
            false => VersionRule::Any,
        };
        let ready = self.upstreams.ready(service);
        ready.filter(move |upstream| rule.permits(upstream.entry.software.as_ref()))
    }

    /// Starts the counts of rollouts whose target has an upstream.
    pub(in crate::gateway) fn sweep_rollouts(&mut self, now: Instant) {
        let upstreams = &self.upstreams;
        let is_listed = |service: &str, software: Option<&SoftwareVersion>| {
            let mut ready = upstreams.ready(service);
            ready.any(|upstream| upstream.entry.software.as_ref() == software)
        };
        self.rollouts.sweep(is_listed, now);
    }

    fn version_rules(
        &self,
        request: &PlacementRequest,
        now: Instant,
    ) -> (VersionRule, Option<VersionRule>) {
        if !self.rollouts.is_enabled() {
            return (VersionRule::Any, None);
        }
        let origin = request.origin.as_ref();
        let listed = self.listed_versions(&request.service);
        let query = VersionQuery {
            draw: request.rollout_draw,
            origin: origin.map(|origin| origin.software.as_ref()),
            ..self.version_query(&request.service, &listed)
        };
        self.rollouts.rules(query, now)
    }

    fn listed_versions<'a>(&'a self, service: &'a str) -> Vec<(Option<&'a SoftwareVersion>, u64)> {
        let ready = self.upstreams.ready(service);
        ready
            .map(|upstream| (upstream.entry.software.as_ref(), upstream.entry.born_ms))
            .collect()
    }

    fn version_query<'a>(
        &self,
        service: &'a str,
        listed: &'a [(Option<&'a SoftwareVersion>, u64)],
    ) -> VersionQuery<'a> {
        VersionQuery {
            service,
            draw: 0,
            origin: None,
            listed,
            confirmed_at: self.confirmed_at.get(&TrackedKind::Rollouts).copied(),
        }
    }
}

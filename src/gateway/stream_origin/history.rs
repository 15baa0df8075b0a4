//! Software versions of each service that may have begun streams lately.

use std::collections::HashMap;
use std::time::Duration;

use super::STREAM_LIFETIME;
use super::origin::StreamOrigin;
use crate::clock::Instant;
use crate::gateway::model::{Route, ServiceId, SoftwareVersion};

/// Software that a service's upstreams have had, as this VM has seen it.
#[derive(Debug, Default)]
pub struct OriginHistory {
    /// Time from which on this VM has seen all.
    started_at: Instant,
    services: HashMap<ServiceId, ServiceHistory>,
    /// Routes whose services have changed, with that time.
    moved_routes: HashMap<RouteKey, Instant>,
}

/// Host and path prefix of a route.
type RouteKey = (String, String);

#[derive(Debug, Default)]
struct ServiceHistory {
    seen: Vec<SeenSoftware>,
    /// Software that was the only one until another one joined, with that time.
    only_until: Option<(SoftwareVersion, Instant)>,
}

#[derive(Debug)]
struct SeenSoftware {
    software: Option<SoftwareVersion>,
    last_at: Instant,
}

impl OriginHistory {
    /// Creates the history of a VM that starts.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            ..Self::default()
        }
    }

    /// Records the software of an upstream that is listed now.
    pub fn observe(&mut self, service: &str, software: Option<&SoftwareVersion>, now: Instant) {
        let has_seen_all = self.has_seen_all(now);
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceHistory::default());
        }
        let Some(history) = self.services.get_mut(service) else {
            return;
        };
        let seen = history.seen.iter_mut();
        match seen
            .into_iter()
            .find(|seen| seen.software.as_ref() == software)
        {
            Some(seen) => seen.last_at = now,
            None => {
                let only = history.only_software(now).filter(|_| has_seen_all);
                history.only_until = only
                    .map(|only| (only.clone(), now))
                    .or(history.only_until.take());
                history.seen.push(SeenSoftware {
                    software: software.cloned(),
                    last_at: now,
                });
            }
        }
    }

    /// Records that the services of a route have changed.
    pub fn record_move(&mut self, route: &Route, now: Instant) {
        self.moved_routes.insert(route_key(route), now);
    }

    /// Forgets what can no longer have begun a stream that goes on.
    pub fn sweep(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_sub(at) < STREAM_LIFETIME;
        for history in self.services.values_mut() {
            history.seen.retain(|seen| is_recent(seen.last_at));
            history.only_until.take_if(|(_, until)| !is_recent(*until));
        }
        self.services.retain(|_, history| !history.seen.is_empty());
        self.moved_routes.retain(|_, at| is_recent(*at));
    }

    /// Returns the origin of every stream of a route that may go on, if there is only one.
    ///
    /// No record is made of a stream that begins there.
    pub fn only_origin(&self, route: &Route, now: Instant) -> Option<StreamOrigin> {
        let (service, history) = self.unmoved(route, now)?;
        let software = history.only_software(now)?;
        self.has_seen_all(now).then(|| origin(service, software))
    }

    /// Returns the origin of a stream of which no VM has made a record.
    ///
    /// The VM that began it knew of one software version only, which may have been joined by
    /// another one since.
    pub fn unrecorded_origin(&self, route: &Route, now: Instant) -> Option<StreamOrigin> {
        let only = self.only_origin(route, now);
        only.or_else(|| {
            let (service, history) = self.unmoved(route, now)?;
            let (software, until) = history.only_until.as_ref()?;
            let is_recent = now.saturating_sub(*until) < STREAM_LIFETIME;
            is_recent.then(|| origin(service, software))
        })
    }

    /// Returns the only origin that this VM has seen at all, however short a time ago it started.
    pub fn only_seen_origin(&self, route: &Route, now: Instant) -> Option<StreamOrigin> {
        let (service, history) = self.unmoved(route, now)?;
        Some(origin(service, history.only_software(now)?))
    }

    /// Returns the time for which this VM has seen all software versions.
    pub fn seen_for(&self, now: Instant) -> Duration {
        now.saturating_sub(self.started_at)
    }

    /// Returns the number of software versions seen lately in the services of a route.
    pub fn recent_versions(&self, route: &Route, now: Instant) -> usize {
        let services = route.services.iter();
        let histories = services.filter_map(|(service, _)| self.services.get(service));
        let seen = histories.flat_map(|history| &history.seen);
        seen.filter(|seen| now.saturating_sub(seen.last_at) < STREAM_LIFETIME)
            .count()
    }

    /// Returns whether the services of a route have changed lately.
    pub fn has_moved(&self, route: &Route, now: Instant) -> bool {
        let moved_at = self.moved_routes.get(&route_key(route));
        moved_at.is_some_and(|at| now.saturating_sub(*at) < STREAM_LIFETIME)
    }

    fn has_seen_all(&self, now: Instant) -> bool {
        self.seen_for(now) >= STREAM_LIFETIME
    }

    /// Returns the history of a route's service, if it is the only one and has been.
    fn unmoved<'a>(
        &'a self,
        route: &'a Route,
        now: Instant,
    ) -> Option<(&'a ServiceId, &'a ServiceHistory)> {
        match route.services.as_slice() {
            [(service, _)] if !self.has_moved(route, now) => {
                Some((service, self.services.get(service)?))
            }
            _ => None,
        }
    }
}

impl ServiceHistory {
    fn only_software(&self, now: Instant) -> Option<&SoftwareVersion> {
        let is_recent = |seen: &&SeenSoftware| now.saturating_sub(seen.last_at) < STREAM_LIFETIME;
        let mut recent = self.seen.iter().filter(is_recent);
        match (recent.next(), recent.next()) {
            (Some(only), None) => only.software.as_ref(),
            _ => None,
        }
    }
}

fn route_key(route: &Route) -> RouteKey {
    (route.host.clone(), route.path_prefix.clone())
}

fn origin(service: &ServiceId, software: &SoftwareVersion) -> StreamOrigin {
    StreamOrigin {
        service: service.clone(),
        software: Some(software.clone()),
    }
}

//! Software versions of each service that may have begun streams lately.

use std::collections::HashMap;
use std::time::Duration;

use super::STREAM_LIFETIME;
use super::moves::{RouteMoves, RouteTarget};
use super::origin::StreamOrigin;
use super::snapshot::{HistorySnapshot, OnlySnapshot, ServiceSnapshot};
use crate::clock::Instant;
use crate::gateway::model::{Route, ServiceId, SoftwareVersion};

/// Software that a service's upstreams have had, as this VM has seen it.
#[derive(Debug, Default)]
pub struct OriginHistory {
    /// Time from which on this VM has seen all.
    started_at: Instant,
    /// Time before that of which another VM has told.
    told_for: Duration,
    services: HashMap<ServiceId, ServiceHistory>,
    /// Changes of the services to which paths lead.
    moves: RouteMoves,
}

#[derive(Debug, Default)]
struct ServiceHistory {
    seen: Vec<SeenSoftware>,
    /// Software that was the only one until another one joined.
    only_until: Option<OnlySoftware>,
}

#[derive(Debug, Clone)]
struct OnlySoftware {
    software: SoftwareVersion,
    /// Time at which it was last seen as the only one.
    alone_at: Instant,
    /// Time at which another one was seen first.
    joined_at: Instant,
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
                let only = history.only_seen(now).filter(|_| has_seen_all);
                let only_until = only.and_then(|seen| {
                    Some(OnlySoftware {
                        software: seen.software.clone()?,
                        alone_at: seen.last_at,
                        joined_at: now,
                    })
                });
                history.only_until = only_until.or(history.only_until.take());
                history.seen.push(SeenSoftware {
                    software: software.cloned(),
                    last_at: now,
                });
            }
        }
    }

    /// Records that paths with a prefix lead to other services than those of `earlier`.
    pub fn record_move(
        &mut self,
        host: &str,
        path_prefix: &str,
        earlier: Option<&Route>,
        now: Instant,
    ) {
        self.moves.record(host, path_prefix, earlier, now);
    }

    /// Forgets what can no longer have begun a stream that goes on.
    pub fn sweep(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_sub(at) < STREAM_LIFETIME;
        for history in self.services.values_mut() {
            history.seen.retain(|seen| is_recent(seen.last_at));
            history
                .only_until
                .take_if(|only| !is_recent(only.joined_at));
        }
        self.services.retain(|_, history| !history.seen.is_empty());
        self.moves.sweep(now);
    }

    /// Returns the origin of every stream of a path that may go on, if there is only one.
    ///
    /// No record is made of a stream that begins there.
    pub fn only_origin(&self, target: RouteTarget<'_>, now: Instant) -> Option<StreamOrigin> {
        if !self.has_seen_all(now) || self.moves.find(target, now).is_some() {
            return None;
        }
        self.only_seen_origin(target, now)
    }

    /// Returns the origin of a stream of which no record is found, where one that was made within a
    /// time would be found.
    ///
    /// A VM makes no record only if one software version can have begun any stream of the path. What
    /// has changed since does not change what began the stream. A record may have been lost if it
    /// was made before that time; then the change has to be later.
    pub fn unrecorded_origin(
        &self,
        target: RouteTarget<'_>,
        now: Instant,
        found_within: Duration,
    ) -> Option<StreamOrigin> {
        let is_found_since = |at: Instant| now.saturating_sub(at) <= found_within;
        let is_recent = |at: Instant| now.saturating_sub(at) < STREAM_LIFETIME;
        let service = match self.moves.find(target, now) {
            // What began before the first change has ended, or its record may have been lost.
            Some(moved) if !is_recent(moved.first_at) || !is_found_since(moved.first_at) => {
                return None;
            }
            Some(moved) => moved.only_service.as_ref()?,
            None => target.only_service()?,
        };
        let history = self.services.get(service)?;
        if let Some(software) = history.only_software(now) {
            return self.has_seen_all(now).then(|| origin(service, software));
        }
        let only = history.only_until.as_ref()?;
        (is_recent(only.joined_at) && is_found_since(only.alone_at))
            .then(|| origin(service, &only.software))
    }

    /// Returns the only origin that this VM has seen at all, however short a time ago it started.
    pub fn only_seen_origin(&self, target: RouteTarget<'_>, now: Instant) -> Option<StreamOrigin> {
        if self.moves.find(target, now).is_some() {
            return None;
        }
        let service = target.only_service()?;
        let history = self.services.get(service)?;
        Some(origin(service, history.only_software(now)?))
    }

    /// Returns what this VM can tell one that has started.
    pub fn snapshot(&self, now: Instant) -> HistorySnapshot {
        let age = |at: Instant| now.saturating_sub(at);
        let services = self.services.iter().map(|(service, history)| {
            let seen = history.seen.iter();
            let only = history.only_until.as_ref();
            ServiceSnapshot {
                service: service.clone(),
                seen: seen
                    .map(|seen| (seen.software.clone(), age(seen.last_at)))
                    .collect(),
                only_until: only.map(|only| OnlySnapshot {
                    software: only.software.clone(),
                    alone_age: age(only.alone_at),
                    joined_age: age(only.joined_at),
                }),
            }
        });
        HistorySnapshot {
            seen_for: self.seen_for(now),
            services: services.collect(),
            moves: self.moves.snapshot(now),
        }
    }

    /// Adds what another VM has seen, if it has for longer and has seen all that this VM has.
    ///
    /// This VM has to have read the configuration and the upstreams before it asked, and the other
    /// one to have had that configuration: what changed in between would be unknown.
    pub fn learn(&mut self, snapshot: HistorySnapshot, now: Instant) {
        let own_for = self.seen_for(now);
        let is_ahead = snapshot.seen_for > own_for && self.is_contained_in(&snapshot);
        if self.has_seen_all(now) || !is_ahead {
            return;
        }
        self.told_for += snapshot.seen_for - own_for;
        for told in snapshot.services {
            let history = self.services.entry(told.service).or_default();
            for (software, age) in told.seen {
                let last_at = now.saturating_sub(age);
                let known = history.seen.iter_mut();
                match known.into_iter().find(|seen| seen.software == software) {
                    Some(seen) => seen.last_at = seen.last_at.max(last_at),
                    None => history.seen.push(SeenSoftware { software, last_at }),
                }
            }
            // An age beyond the start of the clock would come out as too short.
            let told = told.only_until.filter(|only| only.alone_age <= now);
            let only_until = told.map(|only| OnlySoftware {
                software: only.software,
                alone_at: now.saturating_sub(only.alone_age),
                joined_at: now.saturating_sub(only.joined_age),
            });
            history.only_until = history.only_until.take().or(only_until);
        }
        for told in snapshot.moves {
            self.moves.learn(told, now);
        }
    }

    /// Returns the time for which this VM has seen all software versions.
    pub fn seen_for(&self, now: Instant) -> Duration {
        now.saturating_sub(self.started_at) + self.told_for
    }

    /// Returns the number of software versions seen lately in the services of a route.
    pub fn recent_versions(&self, route: &Route, now: Instant) -> usize {
        let services = route.services.iter();
        let histories = services.filter_map(|(service, _)| self.services.get(service));
        let seen = histories.flat_map(|history| &history.seen);
        seen.filter(|seen| now.saturating_sub(seen.last_at) < STREAM_LIFETIME)
            .count()
    }

    /// Returns whether a path has led to other services lately.
    pub fn has_moved(&self, target: RouteTarget<'_>, now: Instant) -> bool {
        self.moves.find(target, now).is_some()
    }

    /// Returns whether this VM has seen all that can have begun a stream that goes on.
    pub fn has_seen_all(&self, now: Instant) -> bool {
        self.seen_for(now) >= STREAM_LIFETIME
    }

    /// Returns whether another VM has seen each software version that this VM has.
    fn is_contained_in(&self, snapshot: &HistorySnapshot) -> bool {
        self.services.iter().all(|(service, history)| {
            let told = snapshot.services.iter();
            let told = told.filter(|told| told.service == *service);
            let told: Vec<_> = told.flat_map(|told| &told.seen).collect();
            let is_told = |own: &SeenSoftware| told.iter().any(|(told, _)| *told == own.software);
            history.seen.iter().all(is_told)
        })
    }
}

impl ServiceHistory {
    fn only_software(&self, now: Instant) -> Option<&SoftwareVersion> {
        self.only_seen(now)?.software.as_ref()
    }

    fn only_seen(&self, now: Instant) -> Option<&SeenSoftware> {
        let is_recent = |seen: &&SeenSoftware| now.saturating_sub(seen.last_at) < STREAM_LIFETIME;
        let mut recent = self.seen.iter().filter(is_recent);
        match (recent.next(), recent.next()) {
            (Some(only), None) => Some(only),
            _ => None,
        }
    }
}

fn origin(service: &ServiceId, software: &SoftwareVersion) -> StreamOrigin {
    StreamOrigin {
        service: service.clone(),
        software: Some(software.clone()),
    }
}

//! Changes of the services to which paths lead.

use std::collections::HashMap;

use super::STREAM_LIFETIME;
use super::snapshot::MoveSnapshot;
use crate::clock::Instant;
use crate::gateway::model::{Route, ServiceId};

/// Path of a request, with the route that it selects.
#[derive(Debug, Clone, Copy)]
pub struct RouteTarget<'a> {
    /// Route in the configuration in force.
    pub route: &'a Route,
    /// Path of the request.
    pub path: &'a str,
}

impl<'a> RouteTarget<'a> {
    /// Returns the service to which the path leads, if it is the only one.
    pub(super) fn only_service(self) -> Option<&'a ServiceId> {
        only_service(self.route)
    }
}

/// Changes of the services to which paths lead, within the lifetime of a stream.
#[derive(Debug, Default)]
pub(super) struct RouteMoves {
    moves: HashMap<RouteKey, RouteMove>,
}

/// Host and path prefix of a route.
type RouteKey = (String, String);

/// Changes of the services to which paths with one prefix lead.
#[derive(Debug, Clone)]
pub(super) struct RouteMove {
    /// Service to which they led before the first change, if it was the only one.
    pub(super) only_service: Option<ServiceId>,
    pub(super) first_at: Instant,
    last_at: Instant,
}

impl RouteMoves {
    /// Records that paths with a prefix lead to other services than those of `earlier`.
    pub(super) fn record(
        &mut self,
        host: &str,
        path_prefix: &str,
        earlier: Option<&Route>,
        now: Instant,
    ) {
        let key = (host.to_ascii_lowercase(), path_prefix.to_owned());
        let moved = self.moves.entry(key).or_insert_with(|| RouteMove {
            only_service: earlier.and_then(only_service).cloned(),
            first_at: now,
            last_at: now,
        });
        moved.last_at = now;
    }

    /// Returns the changes that a path has seen lately.
    ///
    /// A longer prefix than that of the selected route is one of a route that is no more. A shorter
    /// one did not matter to the path.
    pub(super) fn find(&self, target: RouteTarget<'_>, now: Instant) -> Option<&RouteMove> {
        let RouteTarget { route, path } = target;
        let moves = self.moves.iter().filter(|((host, path_prefix), moved)| {
            path_prefix.len() >= route.path_prefix.len()
                && path.starts_with(path_prefix)
                && host.eq_ignore_ascii_case(&route.host)
                && is_recent(moved, now)
        });
        let longest = moves.max_by_key(|((_, path_prefix), _)| path_prefix.len());
        longest.map(|(_, moved)| moved)
    }

    /// Forgets changes after which no stream goes on.
    pub(super) fn sweep(&mut self, now: Instant) {
        self.moves.retain(|_, moved| is_recent(moved, now));
    }

    /// Returns the changes as told to a VM that has started.
    pub(super) fn snapshot(&self, now: Instant) -> Vec<MoveSnapshot> {
        let moves = self.moves.iter();
        let moves = moves.map(|((host, path_prefix), moved)| MoveSnapshot {
            host: host.clone(),
            path_prefix: path_prefix.clone(),
            only_service: moved.only_service.clone(),
            first_age: now.saturating_sub(moved.first_at),
            last_age: now.saturating_sub(moved.last_at),
        });
        moves.collect()
    }

    /// Adds a change of which another VM tells; it precedes those that this VM has seen.
    pub(super) fn learn(&mut self, told: MoveSnapshot, now: Instant) {
        // An age beyond the start of the clock would come out as too short.
        let is_dated = told.first_age <= now;
        let key = (told.host, told.path_prefix);
        let last_at = now.saturating_sub(told.last_age);
        let known = self.moves.get(&key).map(|known| known.last_at);
        let moved = RouteMove {
            only_service: told.only_service.filter(|_| is_dated),
            first_at: now.saturating_sub(told.first_age),
            last_at: known.map_or(last_at, |known| known.max(last_at)),
        };
        self.moves.insert(key, moved);
    }
}

fn is_recent(moved: &RouteMove, now: Instant) -> bool {
    now.saturating_sub(moved.last_at) < STREAM_LIFETIME
}

fn only_service(route: &Route) -> Option<&ServiceId> {
    match route.services.as_slice() {
        [(service, _)] => Some(service),
        _ => None,
    }
}

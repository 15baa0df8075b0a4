//! Which services this VM is cut from.
//!
//! Upstreams that cannot be reached may be down. If new connections to several fail and none
//! succeeds, connections to others are tried. If these fail as well, it is the path that is gone, or
//! nearly all upstreams are; only another VM can tell.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::Instant;
use crate::gateway::model::ServiceId;
use crate::ids::UpstreamId;

/// Bounds of [`UpstreamPaths`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamPathsSettings {
    /// Number of upstreams to which connections must fail; fewer if the service has fewer.
    pub failed_min: usize,
    /// Time for which a failure counts.
    pub failure_memory: Duration,
    /// Minimum time between two checks of other upstreams.
    pub check_interval: Duration,
    /// Time since the last response in which connections count as alive.
    pub response_memory: Duration,
}

impl Default for UpstreamPathsSettings {
    fn default() -> Self {
        Self {
            failed_min: 3,
            failure_memory: Duration::from_secs(5),
            // A check takes as long as a connection may take to open.
            check_interval: Duration::from_millis(600),
            response_memory: Duration::from_millis(1_000),
        }
    }
}

/// Path from this VM to the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// Connections can be opened, as far as is known.
    Open,
    /// New connections fail, and those that are open live on.
    ClosedToNew,
    /// Nothing comes from any upstream.
    Cut,
}

/// Change of the path to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// Connections to several upstreams have failed; those to others are to be tried.
    Suspected,
    /// New connections fail from now on.
    Lost,
    /// A connection was opened after this time.
    Restored(Duration),
}

/// Paths from this VM to the upstreams of each service.
#[derive(Debug, Default)]
pub struct UpstreamPaths {
    settings: UpstreamPathsSettings,
    services: HashMap<ServiceId, ServicePath>,
}

#[derive(Debug, Default)]
struct ServicePath {
    /// Upstreams to which connections have failed since one succeeded.
    failed: BTreeSet<UpstreamId>,
    failed_at: Instant,
    responded_at: Option<Instant>,
    /// Time at which connections to other upstreams were begun.
    suspected_at: Option<Instant>,
    lost_at: Option<Instant>,
}

impl UpstreamPaths {
    /// Creates the state of a VM that has opened no connections.
    pub fn new(settings: UpstreamPathsSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a connection to an upstream failed; `upstreams` is the number of those that the
    /// service has.
    pub fn record_failed(
        &mut self,
        service: &str,
        upstream: &str,
        upstreams: usize,
        now: Instant,
    ) -> Option<PathChange> {
        let failed_min = self.settings.failed_min.min(upstreams).max(1);
        let failure_memory = self.settings.failure_memory;
        let check_interval = self.settings.check_interval;
        let path = self.services.entry(service.to_owned()).or_default();
        if path.lost_at.is_none() && now.saturating_sub(path.failed_at) >= failure_memory {
            path.failed.clear();
        }
        path.failed_at = now;
        path.failed.insert(upstream.to_owned());
        let is_checked = path
            .suspected_at
            .is_some_and(|at| now.saturating_sub(at) < check_interval);
        let is_suspected = path.lost_at.is_none() && !is_checked && path.failed.len() >= failed_min;
        is_suspected.then(|| {
            path.suspected_at = Some(now);
            PathChange::Suspected
        })
    }

    /// Returns whether a connection to an upstream has failed since one to the service succeeded.
    pub fn has_failed(&self, service: &str, upstream: &str) -> bool {
        let path = self.services.get(service);
        path.is_some_and(|path| path.failed.contains(upstream))
    }

    /// Records that connections to other upstreams of a suspected service have failed as well.
    pub fn record_check_failed(&mut self, service: &str, now: Instant) -> Option<PathChange> {
        let path = self.services.get_mut(service)?;
        // A connection may have been opened meanwhile.
        let is_lost = path.suspected_at.take().is_some() && path.lost_at.is_none();
        is_lost.then(|| {
            path.lost_at = Some(now);
            PathChange::Lost
        })
    }

    /// Records that a connection to an upstream was opened.
    pub fn record_connected(&mut self, service: &str, now: Instant) -> Option<PathChange> {
        let path = self.services.get_mut(service)?;
        path.failed.clear();
        path.suspected_at = None;
        let lost_at = path.lost_at.take()?;
        Some(PathChange::Restored(now.saturating_sub(lost_at)))
    }

    /// Records that an upstream has responded over any connection.
    pub fn record_response(&mut self, service: &str, now: Instant) {
        if let Some(path) = self.services.get_mut(service) {
            path.responded_at = Some(now);
        }
    }

    /// Returns the path to a service.
    pub fn state(&self, service: &str, now: Instant) -> PathState {
        let Some(path) = self.services.get(service) else {
            return PathState::Open;
        };
        let is_alive = |at: Instant| now.saturating_sub(at) < self.settings.response_memory;
        match path.lost_at {
            None => PathState::Open,
            Some(_) if path.responded_at.is_some_and(is_alive) => PathState::ClosedToNew,
            Some(_) => PathState::Cut,
        }
    }
}

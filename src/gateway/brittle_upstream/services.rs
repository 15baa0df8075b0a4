//! Services whose upstreams are brittle, as this VM knows.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::gateway::upstream_limit::{
    AnnouncedLimit, LimitChange, LimitNews, RequestRate, UpstreamLimits,
};

/// Brittle services, each with the rejections a second beyond which its upstreams fall over.
///
/// What the upstreams of a service state is told to other VMs and ends like a limit that an
/// upstream names.
#[derive(Debug, Default)]
pub struct BrittleServices {
    /// Statements by hash of the service.
    statements: UpstreamLimits,
}

impl BrittleServices {
    /// Records what a response of an upstream of a service states; returns the change, if it is one.
    pub fn record_response(
        &mut self,
        service: &str,
        rejections_max: AnnouncedLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        self.statements
            .record_response(hash_service(service), rejections_max, now)
    }

    /// Applies what another VM tells and, if this VM forwards news, tells what it did not know;
    /// returns the changes.
    pub fn apply(&mut self, news: &[LimitNews], forwards: bool, now: Instant) -> Vec<LimitChange> {
        self.statements.apply(news, forwards, now)
    }

    /// Returns whether there is news to send.
    pub fn has_news(&self) -> bool {
        self.statements.has_news()
    }

    /// Returns the next message.
    pub fn next_news(&mut self, now: Instant) -> Vec<LimitNews> {
        self.statements.next_news(now)
    }

    /// Returns all statements, as messages.
    pub fn all_news(&self, now: Instant) -> Vec<Vec<LimitNews>> {
        self.statements.all_news(now)
    }

    /// Returns the rejections a second that each upstream of a service bears; `None` if the service
    /// is not brittle.
    pub fn rejections_max(&self, service: &str) -> Option<RequestRate> {
        match self.statements.is_empty() {
            true => None,
            false => self.statements.rate(hash_service(service)),
        }
    }

    /// Returns the time for which each VM of a fleet leaves an upstream alone that has rejected one
    /// of its requests, where no VM can keep a ledger; `None` if the service is not brittle.
    pub fn hold_off(&self, service: &str, fleet_size: usize) -> Option<Duration> {
        let rejections_max = self.rejections_max(service)?;
        let time_s = fleet_size as f64 / rejections_max.permitted_per_s();
        Some(Duration::from_secs_f64(time_s))
    }
}

/// Returns the hash by which VMs refer to a service.
pub(super) fn hash_service(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}

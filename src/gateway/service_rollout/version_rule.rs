//! At which software versions a request may run.

use super::model::RolloutState;
use super::orders::{FULL_SHARE_PERMILLE, RolloutOrders};
use crate::clock::Instant;
use crate::gateway::model::SoftwareVersion;

/// Versions at which a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::gateway) enum VersionRule {
    Any,
    Only(SoftwareVersion),
    Except(SoftwareVersion),
    Among(Vec<Option<SoftwareVersion>>),
}

impl VersionRule {
    /// Returns whether a request may run at upstreams of a version.
    pub(in crate::gateway) fn permits(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => software == Some(version),
            Self::Except(version) => software != Some(version),
            Self::Among(versions) => versions.iter().any(|version| version.as_ref() == software),
        }
    }
}

/// What determines the versions at which a request may run.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) struct VersionQuery<'a> {
    pub(in crate::gateway) service: &'a str,
    /// Number below 1,000 that was drawn for the request; the target may get it if the share is
    /// higher.
    pub(in crate::gateway) draw: u16,
    /// Version that began the stream that the request goes on with.
    pub(in crate::gateway) origin: Option<Option<&'a SoftwareVersion>>,
    /// Ready upstreams of the service, each with its version and the time of its start.
    pub(in crate::gateway) listed: &'a [(Option<&'a SoftwareVersion>, u64)],
    /// Time at which the store last confirmed the orders that this VM knows.
    pub(in crate::gateway) confirmed_at: Option<Instant>,
}

impl RolloutOrders {
    /// Returns the versions at which a request may run, and those that it may fall back to if none
    /// of these upstreams has room.
    pub(in crate::gateway) fn rules(
        &self,
        query: VersionQuery<'_>,
        now: Instant,
    ) -> (VersionRule, Option<VersionRule>) {
        if !self.is_enabled {
            return (VersionRule::Any, None);
        }
        let Some(known) = self.get(query.service) else {
            let is_bound = query.origin.is_some();
            return match is_bound {
                true => (VersionRule::Any, None),
                false => (self.rule_without_order(query, now), None),
            };
        };
        let target = &known.entry.order.target;
        let only = || VersionRule::Only(target.clone());
        let except = || VersionRule::Except(target.clone());
        match self.conclusion(query.service) {
            Some(RolloutState::Done) => return (only(), None),
            Some(RolloutState::RolledBack) => return (except(), None),
            Some(RolloutState::Running) | None => {}
        }
        let share = self.grants.share(query.service, target, now);
        let has_old = query
            .listed
            .iter()
            .any(|(software, _)| *software != Some(target));
        let is_old_closed = share == FULL_SHARE_PERMILLE && known.is_old_closed;
        match query.origin {
            // A stream goes on at its version while that may have requests.
            Some(_) if !is_old_closed => (VersionRule::Any, None),
            _ if !has_old => (VersionRule::Any, None),
            _ if share == FULL_SHARE_PERMILLE => (only(), None),
            _ if query.draw < share => (only(), Some(except())),
            _ => (except(), None),
        }
    }

    /// Returns the versions that may get requests of a service without an order.
    ///
    /// A version that has joined others may belong to an order that this VM has not read yet. It
    /// gets nothing before the store has confirmed that there is none.
    fn rule_without_order(&self, query: VersionQuery<'_>, now: Instant) -> VersionRule {
        let is_held = |software: Option<&SoftwareVersion>| {
            let version = (query.service.to_owned(), software.cloned());
            let since = self.first_seen.get(&version).copied();
            since.is_some_and(|since| {
                query.confirmed_at.is_none_or(|at| at < since)
                    && now.saturating_sub(since) < self.contact_timeout
            })
        };
        let first = query.listed.first().map(|(software, _)| *software);
        let is_single = query
            .listed
            .iter()
            .all(|(software, _)| Some(*software) == first);
        if is_single {
            return VersionRule::Any;
        }
        let mut used: Vec<_> = query
            .listed
            .iter()
            .filter(|(software, _)| !is_held(*software))
            .map(|(software, _)| software.cloned())
            .collect();
        if used.is_empty() {
            let oldest = query.listed.iter().min_by_key(|(_, born_ms)| *born_ms);
            used.extend(oldest.map(|(software, _)| software.cloned()));
        }
        used.sort_unstable();
        used.dedup();
        VersionRule::Among(used)
    }

    /// Returns the versions that get the requests of a service now, for forecasts.
    pub(in crate::gateway) fn forecast_rule(
        &self,
        query: VersionQuery<'_>,
        now: Instant,
    ) -> VersionRule {
        // The draw that is the last one to go to the target.
        let draw = FULL_SHARE_PERMILLE - 1;
        self.rules(VersionQuery { draw, ..query }, now).0
    }
}

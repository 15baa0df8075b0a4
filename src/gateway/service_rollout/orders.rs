//! What a VM knows of the orders and their conclusions.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::grant::GrantBook;
use super::model::{RolloutEntry, RolloutState};
use super::request_log::RequestLog;
use super::{RolloutGrant, RolloutProgress, RolloutReport};
use crate::clock::Instant;
use crate::gateway::model::{ServiceId, SoftwareVersion};
use crate::ids::StoreEra;
use crate::platform::era_of;

/// Maximum number of reports that wait for the holder's next pass; a fleet of 300 VMs sends fewer
/// than 100 in that time.
const INBOX_MAX: usize = 2_000;

/// Share at which the old upstreams get nothing new.
pub(super) const FULL_SHARE_PERMILLE: u16 = 1_000;

/// Order with what this VM knows of it.
#[derive(Debug)]
pub(in crate::gateway) struct KnownOrder {
    pub(in crate::gateway) entry: RolloutEntry,
    seen_at: Instant,
    /// Counts since the target had an upstream; `None` before.
    pub(in crate::gateway) log: Option<RequestLog>,
    /// Whether this VM has reported, under a grant of the full share, that nothing is at the old
    /// upstreams. It sends nothing there from then on, unless it gets a lower share.
    pub(super) is_old_closed: bool,
}

/// Conclusion of an order that this VM has seen, in the era of the store in which it did.
#[derive(Debug, Clone, Copy)]
struct Conclusion {
    state: RolloutState,
    era: StoreEra,
}

/// What an entry means to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(in crate::gateway) struct OrderChange {
    /// Whether it is a new order.
    pub(in crate::gateway) is_new: bool,
    /// Conclusion that was not known before.
    pub(in crate::gateway) concluded: Option<RolloutState>,
}

/// Orders, grants and conclusions that a VM knows.
#[derive(Debug)]
pub(in crate::gateway) struct RolloutOrders {
    pub(super) is_enabled: bool,
    pub(super) contact_timeout: Duration,
    orders: BTreeMap<ServiceId, KnownOrder>,
    /// Kept although the store may lose them, as a verdict is never reversed.
    conclusions: HashMap<(ServiceId, SoftwareVersion), Conclusion>,
    pub(in crate::gateway) grants: GrantBook,
    /// VM that sent the last grant accepted.
    grantor: Option<SocketAddr>,
    /// Times at which this VM saw the versions of each service first.
    pub(super) first_seen: HashMap<(ServiceId, Option<SoftwareVersion>), Instant>,
    /// Reports for the holder's next pass; `None` while this VM does not hold the lease.
    inbox: Option<Vec<RolloutReport>>,
    /// How far the rollouts are that this VM conducts.
    pub(in crate::gateway) progress: Vec<RolloutProgress>,
}

impl RolloutOrders {
    pub(in crate::gateway) fn new(is_enabled: bool, contact_timeout: Duration) -> Self {
        Self {
            is_enabled,
            contact_timeout,
            orders: BTreeMap::new(),
            conclusions: HashMap::new(),
            grants: GrantBook::new(contact_timeout / 2),
            grantor: None,
            first_seen: HashMap::new(),
            inbox: None,
            progress: Vec::new(),
        }
    }

    pub(in crate::gateway) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records an order and its status as read from the store.
    pub(in crate::gateway) fn record_entry(
        &mut self,
        entry: RolloutEntry,
        now: Instant,
    ) -> OrderChange {
        let (service, target) = (entry.order.service.clone(), entry.order.target.clone());
        let era = era_of(entry.revision);
        let state = entry.state();
        let known = self.orders.get_mut(&service);
        let is_new = match known.filter(|known| known.entry.order.target == target) {
            // A response that was under way while a later one was applied.
            Some(known) if known.entry.revision > entry.revision => {
                return OrderChange::default();
            }
            Some(known) => {
                known.entry = entry;
                false
            }
            None => {
                // An order of an earlier era may be what a restored store has forgotten.
                self.conclusions.retain(|(ordered, version), conclusion| {
                    *ordered != service || *version == target || conclusion.era < era
                });
                let order = KnownOrder {
                    entry,
                    seen_at: now,
                    log: None,
                    is_old_closed: false,
                };
                self.orders.insert(service.clone(), order);
                true
            }
        };
        let concluded = state.filter(|state| state.is_final());
        let concluded = concluded.filter(|state| self.conclude(&service, &target, *state, era));
        OrderChange { is_new, concluded }
    }

    /// Records the conclusion of an order; returns whether none was known.
    pub(in crate::gateway) fn conclude(
        &mut self,
        service: &str,
        target: &str,
        state: RolloutState,
        era: StoreEra,
    ) -> bool {
        let key = (service.to_owned(), target.to_owned());
        let is_new = !self.conclusions.contains_key(&key);
        let known = self.conclusions.entry(key);
        let known = known.or_insert(Conclusion { state, era });
        known.era = known.era.max(era);
        is_new
    }

    /// Records that the operator removed an order; returns whether there was one.
    pub(in crate::gateway) fn remove(&mut self, service: &str) -> bool {
        self.conclusions
            .retain(|(ordered, _), _| ordered != service);
        let is_known = self.orders.remove(service).is_some();
        let orders = &self.orders;
        self.grants.retain(|service| orders.contains_key(service));
        is_known
    }

    pub(in crate::gateway) fn get(&self, service: &str) -> Option<&KnownOrder> {
        self.orders.get(service)
    }

    pub(in crate::gateway) fn iter(&self) -> impl Iterator<Item = &KnownOrder> {
        self.orders.values()
    }

    pub(in crate::gateway) fn log_mut(&mut self, service: &str) -> Option<&mut RequestLog> {
        self.orders.get_mut(service)?.log.as_mut()
    }

    /// Returns the conclusion of the order of a service that this VM has seen.
    pub(in crate::gateway) fn conclusion(&self, service: &str) -> Option<RolloutState> {
        let target = &self.orders.get(service)?.entry.order.target;
        let key = (service.to_owned(), target.clone());
        self.conclusions
            .get(&key)
            .map(|conclusion| conclusion.state)
    }

    /// Records that an upstream is listed.
    pub(in crate::gateway) fn observe_version(
        &mut self,
        service: &str,
        software: Option<&SoftwareVersion>,
        now: Instant,
    ) {
        if self.is_enabled {
            let version = (service.to_owned(), software.cloned());
            self.first_seen.entry(version).or_insert(now);
        }
    }

    /// Starts the counts of orders whose target has an upstream, and forgets versions without one.
    pub(in crate::gateway) fn sweep(
        &mut self,
        is_listed: impl Fn(&str, Option<&SoftwareVersion>) -> bool,
        now: Instant,
    ) {
        if !self.is_enabled {
            return;
        }
        self.first_seen
            .retain(|(service, software), _| is_listed(service, software.as_ref()));
        for known in self.orders.values_mut().filter(|known| known.log.is_none()) {
            let order = &known.entry.order;
            if is_listed(&order.service, Some(&order.target)) {
                // The time allowed for an order counts from the order if the target comes in it.
                let is_late = now.saturating_sub(known.seen_at) > order.within;
                let since = if is_late { now } else { known.seen_at };
                let (service, target) = (order.service.clone(), order.target.clone());
                known.log = Some(RequestLog::new(service, target, since));
            }
        }
    }

    /// Records a grant of the holder of the lease; returns the share if it differs from the last
    /// one, or `None` if the grant is not accepted or changes nothing.
    pub(in crate::gateway) fn record_grant(
        &mut self,
        grant: RolloutGrant,
        from: Option<SocketAddr>,
        now: Instant,
    ) -> Option<u16> {
        let (service, target, share) = (
            grant.service.clone(),
            grant.target.clone(),
            grant.share_permille,
        );
        let last = self.grants.last(&service);
        let last = last
            .filter(|last| last.target == target)
            .map(|last| last.share_permille);
        if !self.grants.record(grant, now) {
            return None;
        }
        self.grantor = from;
        let known = self.orders.get_mut(&service);
        if let Some(known) = known.filter(|_| share < FULL_SHARE_PERMILLE) {
            known.is_old_closed = false;
        }
        (last != Some(share)).then_some(share)
    }

    /// Returns the VM that gets the reports; `None` if it is this one or not known.
    pub(in crate::gateway) fn grantor(&self) -> Option<SocketAddr> {
        self.grantor
    }

    /// Records that this VM has reported what is at the old upstreams of a service.
    pub(in crate::gateway) fn record_reported(&mut self, report: &RolloutReport) {
        if let Some(known) = self.orders.get_mut(&report.service)
            && report.share_permille == FULL_SHARE_PERMILLE
            && report.old_in_flight == 0
        {
            known.is_old_closed = true;
        }
    }

    /// Keeps reports of other VMs from now on, or drops them.
    pub(in crate::gateway) fn set_holder(&mut self, is_holder: bool) {
        match is_holder {
            true => {
                self.inbox.get_or_insert_default();
            }
            false => {
                self.inbox = None;
                self.progress.clear();
            }
        }
    }

    /// Keeps a report for the holder's next pass; returns whether there is room.
    pub(in crate::gateway) fn push_report(&mut self, report: RolloutReport) -> bool {
        match &mut self.inbox {
            Some(inbox) if inbox.len() >= INBOX_MAX => false,
            Some(inbox) => {
                inbox.push(report);
                true
            }
            // It was sent to a holder that has lost the lease.
            None => true,
        }
    }

    pub(super) fn take_reports(&mut self) -> Vec<RolloutReport> {
        self.inbox.as_mut().map(std::mem::take).unwrap_or_default()
    }
}

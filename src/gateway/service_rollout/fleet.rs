//! What the holder of the lease knows of an order from the reports of the VMs.
//!
//! Work per report grows with its routes and upstreams, memory with the VMs and with the slices of
//! time since the order, which are scored once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::counts::{RolloutReport, VersionCounts};
use super::response_times::{RESPONSE_TIME_BUCKETS, bucket_start};
use super::scores::{History, Score};
use super::slices::Slice;
use crate::clock::Instant;
use crate::ids::{Incarnation, VmId};

/// Duration of a slice: about the interval of reports, so that it has the answers of the same time
/// from most VMs.
const SLICE: Duration = Duration::from_millis(500);

/// Age from which a report says nothing of the requests that wait.
const WAITING_AGE_MAX: Duration = Duration::from_millis(1_500);

/// Time over which the current rate of requests is measured.
const RATE_WINDOW: Duration = Duration::from_millis(2_000);

/// Counts of an order over the fleet: the latest report of each VM incarnation, and the answers by
/// slice of time.
///
/// Reports are cumulative and replace older ones. A VM that is gone keeps what it last reported.
#[derive(Debug, Default)]
pub struct FleetCounts {
    vms: BTreeMap<(VmId, Incarnation), VmCounts>,
    members: Vec<(VmId, Incarnation)>,
    latest_at: Instant,
    /// Number and answers of the slice that is not complete.
    open: (u128, Slice),
    closed: Vec<Vec<Score>>,
    history: History,
    /// Requests sent by the end of each slice.
    sent_by: Vec<(Instant, u64)>,
}

#[derive(Debug)]
struct VmCounts {
    report: RolloutReport,
    received_at: Instant,
}

/// Whether all VMs send the old upstreams nothing, and nothing is in flight there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Drain {
    /// Nothing is in flight at old upstreams.
    Complete,
    /// Only VMs that are silent may have requests in flight at old upstreams.
    SilentOnly,
    /// VMs in contact have requests in flight at old upstreams or may send more.
    Incomplete,
}

impl FleetCounts {
    /// Creates counts without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report; returns whether it is newer than the VM's last one.
    pub fn record(&mut self, report: RolloutReport, now: Instant) -> bool {
        let key = (report.vm.clone(), report.incarnation);
        let last = self.vms.get(&key).map(|last| &last.report);
        if last.is_some_and(|last| last.seen_for_ms >= report.seen_for_ms) {
            return false;
        }
        let number = now.as_millis() / SLICE.as_millis();
        if number > self.open.0 {
            let (_, complete) = std::mem::replace(&mut self.open, (number, Slice::default()));
            self.closed.push(self.history.score(&complete));
            self.history.absorb(&complete);
            let sent = self.vms.values().map(|vm| u64::from(vm.report.sent)).sum();
            self.sent_by.push((self.latest_at, sent));
        }
        self.open.1.add_change(&report, last);
        self.latest_at = self.latest_at.max(now);
        let received_at = now;
        self.vms.insert(
            key,
            VmCounts {
                report,
                received_at,
            },
        );
        true
    }

    /// Sets the VMs that are in contact, as the holder sees them. All of them have to report before
    /// a handover is complete.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (VmId, Incarnation)>) {
        self.members = members.into_iter().collect();
    }

    /// Returns for how long the order has been known to the VM that saw it first.
    pub fn elapsed(&self, now: Instant) -> Duration {
        self.longest_ago(now, |report| report.seen_for_ms)
    }

    /// Returns the number of requests sent for the service, to either version.
    pub fn sent(&self) -> u64 {
        self.reports().map(|report| u64::from(report.sent)).sum()
    }

    /// Returns the number of requests sent to the target.
    pub fn sent_to_target(&self) -> u64 {
        self.target_sum(|counts| counts.sent)
    }

    /// Returns the number of requests that failed at the target, without the upstream with most
    /// failures if there are several.
    pub(super) fn target_failures(&self) -> u64 {
        let mut failures = BTreeMap::<u8, u64>::new();
        let routes = self.reports().flat_map(|report| &report.routes);
        for target in routes.flat_map(|route| &route.target) {
            *failures.entry(target.upstream).or_default() += u64::from(target.counts.failures);
        }
        let most = failures.values().copied().max().unwrap_or_default();
        let excluded = if failures.len() > 1 { most } else { 0 };
        failures.values().sum::<u64>() - excluded
    }

    /// Returns the time since the first request to the target; zero if there was none.
    pub(super) fn target_since(&self, now: Instant) -> Duration {
        match self.reports().any(|report| report.target_since_ms > 0) {
            true => self.longest_ago(now, |report| report.target_since_ms),
            false => Duration::ZERO,
        }
    }

    /// Returns the rate of requests for the service per second: that over all the time or that of
    /// the last seconds, whichever is higher.
    pub(super) fn rate_per_s(&self) -> f64 {
        let Some(&(last_at, last_sent)) = self.sent_by.last() else {
            return 0.0;
        };
        let mut earlier = self.sent_by.iter().rev();
        let earlier = earlier.find(|(at, _)| *at + RATE_WINDOW <= last_at);
        let recent = earlier.map_or(0.0, |(at, sent)| {
            (last_sent.saturating_sub(*sent)) as f64 / (last_at - *at).as_secs_f64()
        });
        let rates = self
            .reports()
            .map(|report| f64::from(report.sent) * 1_000.0 / f64::from(report.seen_for_ms.max(1)));
        recent.max(rates.sum())
    }

    /// Returns the middle response time of the old version.
    pub(super) fn old_response_time(&self) -> Duration {
        let bucket = self.history.median_bucket();
        bucket.map_or(Duration::ZERO, |bucket| bucket_start(bucket + 1))
    }

    /// Returns whether all VMs in contact have reported.
    pub(super) fn is_complete(&self) -> bool {
        let mut members = self.members.iter();
        !self.vms.is_empty() && members.all(|member| self.vms.contains_key(member))
    }

    /// Returns what may be in flight at old upstreams. VMs whose last report is older than
    /// `contact_timeout` are silent; `since` is the time of the handover.
    pub(super) fn drain(&self, since: Instant, contact_timeout: Duration, now: Instant) -> Drain {
        let is_silent = |at: Instant| now.saturating_sub(at) > contact_timeout;
        let mut drain = Drain::Complete;
        for member in &self.members {
            if !self.vms.contains_key(member) && !is_silent(since) {
                return Drain::Incomplete;
            }
        }
        for ((name, incarnation), vm) in &self.vms {
            let is_replaced = self.vms.keys().chain(&self.members);
            let mut is_replaced = is_replaced.filter(|(other, _)| other == name);
            if is_replaced.any(|(_, other)| other > incarnation) {
                continue;
            }
            let may_use_old = vm.report.share_permille < 1_000 || vm.report.old_in_flight > 0;
            match (may_use_old, is_silent(vm.received_at)) {
                (true, false) => return Drain::Incomplete,
                (true, true) if vm.report.old_in_flight > 0 => drain = Drain::SilentOnly,
                _ => {}
            }
        }
        drain
    }

    /// Returns the scores of all slices, the open one last.
    pub(super) fn scores(&self) -> Vec<Vec<Score>> {
        let mut scores = self.closed.clone();
        scores.push(self.history.score(&self.open.1));
        scores
    }

    /// Returns the log-likelihood ratio of the requests that wait at the target, by route and
    /// upstream.
    pub(super) fn waiting_nats(&self) -> BTreeMap<(u32, u8), f64> {
        let mut old = BTreeMap::<u32, [f64; RESPONSE_TIME_BUCKETS]>::new();
        let mut target = BTreeMap::<(u32, u8), [f64; RESPONSE_TIME_BUCKETS]>::new();
        let recent = self
            .vms
            .values()
            .filter(|vm| self.latest_at.saturating_sub(vm.received_at) <= WAITING_AGE_MAX);
        let add = |sum: &mut [f64; RESPONSE_TIME_BUCKETS], counts: [u32; RESPONSE_TIME_BUCKETS]| {
            for (sum, count) in sum.iter_mut().zip(counts) {
                *sum += f64::from(count);
            }
        };
        for route in recent.flat_map(|vm| &vm.report.routes) {
            let none = || [0.0; RESPONSE_TIME_BUCKETS];
            let sum = old.entry(route.route).or_insert_with(none);
            add(sum, route.old.waiting.counts());
            for upstream in &route.target {
                let key = (route.route, upstream.upstream);
                let sum = target.entry(key).or_insert_with(none);
                add(sum, upstream.counts.waiting.counts());
            }
        }
        let mut routes = BTreeMap::new();
        let mut nats = BTreeMap::new();
        for (key, counts) in target {
            let (ratios, sum) = routes.entry(key.0).or_insert_with(|| {
                let ratios = self
                    .history
                    .waiting_ratios(key.0, &self.open.1, &old[&key.0]);
                (ratios, 0.0)
            });
            let counts = counts.iter().zip(ratios.iter());
            let of_upstream = counts.map(|(count, nats)| count * nats).sum::<f64>();
            *sum += of_upstream;
            nats.insert(key, of_upstream);
        }
        for (key, nats) in &mut nats {
            let sum = routes[&key.0].1;
            let max = self.history.waiting_max(key.0, &self.open.1);
            *nats *= if sum > max { max / sum } else { 1.0 };
        }
        nats
    }

    fn target_sum(&self, count: impl Fn(&VersionCounts) -> u32) -> u64 {
        let routes = self.reports().flat_map(|report| &report.routes);
        let target = routes.flat_map(|route| &route.target);
        target.map(|target| u64::from(count(&target.counts))).sum()
    }

    fn reports(&self) -> impl Iterator<Item = &RolloutReport> {
        self.vms.values().map(|vm| &vm.report)
    }

    fn longest_ago(&self, now: Instant, millis: impl Fn(&RolloutReport) -> u32) -> Duration {
        let times = self.vms.values().map(|vm| {
            let before_report = Duration::from_millis(u64::from(millis(&vm.report)));
            let since_report = now.saturating_sub(vm.received_at);
            match before_report.is_zero() {
                true => Duration::ZERO,
                false => before_report + since_report,
            }
        });
        times.max().unwrap_or_default()
    }
}

//! Answers of both versions by the time at which the holder learnt of them.
//!
//! The versions are compared within slices of time, so that a disturbance that affects both alike
//! cancels out although the target's share grows over time.

use std::collections::BTreeMap;

use super::counts::{RolloutReport, RouteCounts, RouteHash, VersionCounts};
use super::response_times::RESPONSE_TIME_BUCKETS;

/// Requests of one kind in a slice.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Tally {
    pub(super) sent: f64,
    pub(super) successes: f64,
    pub(super) failures: f64,
    pub(super) refusals: f64,
    pub(super) times: [f64; RESPONSE_TIME_BUCKETS],
}

impl Tally {
    /// Returns the number of requests that ended well or failed.
    pub(super) fn answers(&self) -> f64 {
        self.successes + self.failures
    }

    /// Returns the number of times.
    pub(super) fn timed(&self) -> f64 {
        self.times.iter().sum()
    }

    /// Adds what has changed between two reports; counts never decrease.
    fn add_change(&mut self, new: &VersionCounts, old: &VersionCounts) {
        let change = |new: u32, old: u32| f64::from(new.saturating_sub(old));
        self.sent += change(new.sent, old.sent);
        self.successes += change(new.successes, old.successes);
        self.failures += change(new.failures, old.failures);
        self.refusals += change(new.refusals, old.refusals);
        let counts = new.times.counts().into_iter().zip(old.times.counts());
        for (sum, (new, old)) in self.times.iter_mut().zip(counts) {
            *sum += change(new, old);
        }
    }

    /// Adds `other` times `weight`.
    pub(super) fn add(&mut self, other: &Self, weight: f64) {
        self.sent += other.sent * weight;
        self.successes += other.successes * weight;
        self.failures += other.failures * weight;
        self.refusals += other.refusals * weight;
        for (sum, other) in self.times.iter_mut().zip(&other.times) {
            *sum += other * weight;
        }
    }

    /// Multiplies all counts.
    pub(super) fn scale(&mut self, factor: f64) {
        let unscaled = std::mem::take(self);
        self.add(&unscaled, factor);
    }
}

/// Requests to one upstream of the target on one route, by VMs that applied the same share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TargetKey {
    pub(super) route: RouteHash,
    pub(super) upstream: u8,
    /// Share in force at the VM at the time of the report, in thousandths.
    pub(super) permille: u16,
}

/// Answers of both versions in one slice of time.
#[derive(Debug, Clone, Default)]
pub(super) struct Slice {
    pub(super) old: BTreeMap<RouteHash, Tally>,
    pub(super) target: BTreeMap<TargetKey, Tally>,
}

impl Slice {
    /// Adds what has changed from a VM's previous report to this one.
    pub(super) fn add_change(&mut self, report: &RolloutReport, last: Option<&RolloutReport>) {
        let permille = report.share_permille;
        let no_counts = VersionCounts::default();
        for counts in &report.routes {
            let route = counts.route;
            let last = last.and_then(|last| last.routes.iter().find(|last| last.route == route));
            let last_old = last.map_or(&no_counts, |last| &last.old);
            let old = self.old.entry(route).or_default();
            old.add_change(&counts.old, last_old);
            for target in &counts.target {
                let upstream = target.upstream;
                let key = TargetKey {
                    route,
                    upstream,
                    permille,
                };
                let last_target = last.and_then(|last| target_counts(last, upstream));
                let tally = self.target.entry(key).or_default();
                tally.add_change(&target.counts, last_target.unwrap_or(&no_counts));
            }
        }
    }
}

fn target_counts(counts: &RouteCounts, upstream: u8) -> Option<&VersionCounts> {
    let mut target = counts.target.iter();
    let target = target.find(|target| target.upstream == upstream);
    target.map(|target| &target.counts)
}

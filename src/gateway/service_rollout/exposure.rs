//! Shares that the exposure limit allows.
//!
//! A bad target may get a share of all requests of the service until the end of the rollout, and
//! some requests besides. The requests until it is found bad at a share, with the delays of reports,
//! grants and responses, must fit into what is left.

use std::time::Duration;

use super::fleet::FleetCounts;
use super::model::RolloutPlanSettings;

/// Requests to the target after which a bad one is found at the latest, apart from delays: five
/// failures of 20 in 100.
const EVIDENCE_REQUESTS: f64 = 25.0;

/// Part of the exposure limit that is planned with: the rate of requests may fall.
const PLANNED_PART: f64 = 0.97;
const FUTURE_PART: f64 = 0.95;

/// Part of the intervals of reports and grants that passes until most of the fleet has acted.
const DELAY_PART: f64 = 0.8;

/// Part of the exposure before full load that the first share uses up, and the least part of
/// the limit that is used before it.
const TRIAL_PART: f64 = 0.7;
const BEFORE_LOAD_MIN: f64 = 0.1;

/// Highest shares before full load, in thousandths.
const TRIAL_PERMILLE_MAX: f64 = 500.0;
const WIDENED_PERMILLE_MAX: f64 = 500.0;

/// Requests per second that the old version gets at least while the target is tried under nearly
/// full load, to show whether both versions are affected, and bounds of their share.
const CONTROL_PER_S: f64 = 20.0;
const CONTROL_SHARE_MIN: f64 = 0.1;
const CONTROL_SHARE_MAX: f64 = 0.25;

/// Requests that a target may get, and has got.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exposure {
    rate_per_s: f64,
    /// Requests that a bad target may get until the end of the rollout.
    budget: f64,
    /// Requests that it has got, with those not reported yet.
    spent: f64,
    /// Time from a change of the share until most VMs have applied it, responses have arrived and
    /// are reported.
    delay: Duration,
}

impl Exposure {
    /// Returns the exposure at a share, with the time left until the end of the rollout.
    pub(super) fn new(
        fleet: &FleetCounts,
        settings: &RolloutPlanSettings,
        permille: u16,
        left: Duration,
    ) -> Self {
        let rate_per_s = fleet.rate_per_s();
        let requests = fleet.sent() as f64 + FUTURE_PART * rate_per_s * left.as_secs_f64();
        let limit = settings.exposure_share * requests + f64::from(settings.exposure_slack);
        let unreported = rate_per_s * settings.report_interval.as_secs_f64() / 2.0;
        let intervals = settings.report_interval + settings.grant_interval;
        Self {
            rate_per_s,
            budget: PLANNED_PART * limit,
            spent: fleet.sent_to_target() as f64 + f64::from(permille) / 1_000.0 * unreported,
            delay: intervals.mul_f64(DELAY_PART) + fleet.old_response_time(),
        }
    }

    /// Returns the rate of requests for the service per second.
    pub(super) fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the time from a change of the share until its effect is known.
    pub(super) fn delay(&self) -> Duration {
        self.delay
    }

    /// Returns whether the limit is used up.
    pub(super) fn is_exceeded(&self) -> bool {
        self.spent > self.budget
    }

    /// Returns whether what is left covers finding the target bad while it gets all requests.
    pub(super) fn covers_full_load(&self) -> bool {
        self.spent + self.until_found() <= self.budget
    }

    /// Returns whether what is planned before full load, and some more, is used up.
    pub(super) fn is_trial_used_up(&self) -> bool {
        self.spent > self.before_load() + BEFORE_LOAD_MIN * self.budget
    }

    /// Returns the first share, which lasts for `time`, in thousandths.
    pub(super) fn trial_permille(&self, time: Duration) -> u16 {
        let requests = TRIAL_PART * (self.before_load() - self.spent);
        self.permille(requests, time, TRIAL_PERMILLE_MAX)
    }

    /// Returns the share before full load, in thousandths.
    pub(super) fn widened_permille(&self) -> u16 {
        let requests = self.before_load() - self.spent;
        self.permille(requests, self.delay, WIDENED_PERMILLE_MAX)
    }

    /// Returns the share under nearly full load, in thousandths.
    pub(super) fn load_permille(&self) -> u16 {
        let control = CONTROL_PER_S / self.rate_per_s.max(1.0);
        let control = control.clamp(CONTROL_SHARE_MIN, CONTROL_SHARE_MAX);
        (1_000.0 * (1.0 - control)) as u16
    }

    /// Returns the requests that a bad target gets at full load until it is stopped.
    fn until_found(&self) -> f64 {
        EVIDENCE_REQUESTS + self.rate_per_s * self.delay.as_secs_f64()
    }

    /// Returns the requests that may be exposed before full load.
    fn before_load(&self) -> f64 {
        let rest = self.budget - self.until_found();
        rest.max(BEFORE_LOAD_MIN * self.budget)
    }

    /// Returns the share that `requests` are of all in `time`, in thousandths, at least one.
    fn permille(&self, requests: f64, time: Duration, max: f64) -> u16 {
        let all = self.rate_per_s * time.as_secs_f64();
        (1_000.0 * requests.max(0.0) / all.max(1.0)).clamp(1.0, max) as u16
    }
}

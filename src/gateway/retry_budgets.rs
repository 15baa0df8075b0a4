//! Budgets of repeated sends, one for each service.
//!
//! The budget binds all VMs together, so each VM keeps to a part that is safe without hearing of
//! the others: a share of its own requests, and its part of the fixed slack.

use std::collections::HashMap;

use super::model::ServiceId;
use crate::clock::Instant;
use crate::retry::{RetryBudget, RetryBudgetSettings};

/// Part of the ratio that is used; the rest allows for requests counted in another window.
const RATIO_USED_FRACTION: f64 = 0.7;
/// Part of the slack that VMs may use together at any time.
const SLACK_USED_FRACTION: f64 = 0.6;

/// Bounds on repeated sends of all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetBounds {
    /// Repeated sends as a share of requests.
    pub ratio: f64,
    /// Repeated sends beyond that, in one window.
    pub slack: u32,
}

impl Default for RetryBudgetBounds {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50,
        }
    }
}

/// Budgets of this VM.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    bounds: RetryBudgetBounds,
    services: HashMap<ServiceId, RetryBudget>,
}

impl RetryBudgets {
    /// Creates full budgets.
    pub fn new(bounds: RetryBudgetBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Notes a request for a service.
    pub fn record_request(&mut self, service: &str, vms: usize, now: Instant) {
        self.budget(service, vms, now).record_request();
    }

    /// Takes one repeated send, where one is left.
    pub fn try_take(&mut self, service: &str, vms: usize, now: Instant) -> bool {
        self.budget(service, vms, now).try_take(now)
    }

    fn budget(&mut self, service: &str, vms: usize, now: Instant) -> &mut RetryBudget {
        let bounds = self.bounds;
        let budget = self.services.entry(service.to_owned());
        budget.or_insert_with(|| RetryBudget::new(settings(bounds, vms), now))
    }
}

fn settings(bounds: RetryBudgetBounds, vms: usize) -> RetryBudgetSettings {
    let part = f64::from(bounds.slack) * SLACK_USED_FRACTION / vms.max(1) as f64;
    RetryBudgetSettings {
        retry_percent: (bounds.ratio * RATIO_USED_FRACTION * 100.0) as u32,
        floor_retries_per_s: 0,
        floor_retries_max: part as u32,
        saved_retries_max: part.max(1.0) as u32,
    }
}

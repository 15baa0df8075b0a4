//! Retry budgets, one per service.
//!
//! The limit applies to all VMs together, so each VM uses a part that is safe without information
//! from the others: a fraction of its own requests, and its part of the fixed slack.

use std::collections::HashMap;

use super::model::ServiceId;
use crate::clock::Instant;
use crate::retry::{RetryBudget, RetryBudgetSettings};

/// Fraction of the retry ratio that is used; the rest allows for requests counted in another
/// window.
const RATIO_USED_FRACTION: f64 = 0.7;
/// Fraction of the slack that all VMs together may use at any time.
const SLACK_USED_FRACTION: f64 = 0.6;

/// Limits on the retries of all VMs together, per service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetBounds {
    /// Retries as a fraction of requests.
    pub ratio: f64,
    /// Retries beyond that fraction in one window.
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

/// Retry budgets of this VM by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    bounds: RetryBudgetBounds,
    budgets: HashMap<ServiceId, RetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets, each initially full.
    pub fn new(bounds: RetryBudgetBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Records a request for a service, which adds to its budget.
    pub fn record_request(&mut self, service: &str, vms: usize, now: Instant) {
        self.budget(service, vms, now).record_request();
    }

    /// Takes one retry from a service's budget; returns whether one was left.
    pub fn try_take(&mut self, service: &str, vms: usize, now: Instant) -> bool {
        self.budget(service, vms, now).try_take(now)
    }

    /// Takes one retry that must be made from a service's budget, at the cost of later ones.
    pub fn force_take(&mut self, service: &str, vms: usize, now: Instant) {
        self.budget(service, vms, now).force_take(now);
    }

    /// Returns whether a service's budget has a retry left.
    pub fn has_retry(&mut self, service: &str, vms: usize, now: Instant) -> bool {
        self.budget(service, vms, now).has_retry(now)
    }

    fn budget(&mut self, service: &str, vms: usize, now: Instant) -> &mut RetryBudget {
        let settings = budget_settings(self.bounds, vms);
        let budget = self.budgets.entry(service.to_owned());
        let budget = budget.or_insert_with(|| RetryBudget::new(settings.clone(), now));
        // The first request may arrive before the other VMs are known.
        budget.set_settings(settings);
        budget
    }
}

fn budget_settings(bounds: RetryBudgetBounds, vms: usize) -> RetryBudgetSettings {
    let part = f64::from(bounds.slack) * SLACK_USED_FRACTION / vms.max(1) as f64;
    RetryBudgetSettings {
        retry_percent: (bounds.ratio * RATIO_USED_FRACTION * 100.0) as u32,
        floor_retries_per_s: 0,
        floor_retries_max: part as u32,
        saved_retries_max: part.max(1.0) as u32,
    }
}

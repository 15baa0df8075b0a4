//! Budget that limits retries to a fraction of the requests.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::clock::{Instant, SharedClock};

/// Number of units that one retry costs.
const UNITS_PER_RETRY: i64 = 1_000_000;
const UNITS_PER_PERCENT: i64 = UNITS_PER_RETRY / 100;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries earned per hundred requests.
    pub retry_percent: u32,
    /// Retries earned per second, so that some are possible with hardly any requests.
    pub floor_retries_per_s: u32,
    /// Retries up to which `floor_retries_per_s` fills the budget.
    pub floor_retries_max: u32,
    /// Retries up to which requests fill the budget, and the largest debt for forced ones.
    pub saved_retries_max: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            retry_percent: 10,
            floor_retries_per_s: 1,
            floor_retries_max: 10,
            saved_retries_max: 100,
        }
    }
}

/// Budget of retries; the caller passes in the time.
///
/// Over any time span, the granted retries stay below `retry_percent` of the requests, plus
/// `floor_retries_per_s` for each second, plus `saved_retries_max`.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    level_units: i64,
    updated: Instant,
}

impl RetryBudget {
    /// Creates a budget that contains `floor_retries_max` retries.
    pub fn new(settings: RetryBudgetSettings, now: Instant) -> Self {
        Self {
            level_units: i64::from(settings.floor_retries_max) * UNITS_PER_RETRY,
            settings,
            updated: now,
        }
    }

    /// Replaces the settings; retries beyond the new maximum are lost.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        let retries_max = settings.saved_retries_max.max(settings.floor_retries_max);
        self.level_units = self
            .level_units
            .min(i64::from(retries_max) * UNITS_PER_RETRY);
        self.settings = settings;
    }

    /// Adds the fraction of a retry that one request earns.
    pub fn record_request(&mut self) {
        let earned = i64::from(self.settings.retry_percent) * UNITS_PER_PERCENT;
        let max_units = i64::from(self.settings.saved_retries_max) * UNITS_PER_RETRY;
        self.level_units = (self.level_units + earned).min(max_units.max(self.level_units));
    }

    /// Returns whether a retry is left.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.level_units >= UNITS_PER_RETRY
    }

    /// Takes one retry if one is left; returns whether it did.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let has_retry = self.has_retry(now);
        if has_retry {
            self.level_units -= UNITS_PER_RETRY;
        }
        has_retry
    }

    /// Takes one retry that must be made, at the cost of later ones.
    pub fn force_take(&mut self, now: Instant) {
        self.refill(now);
        let debt_max = i64::from(self.settings.saved_retries_max) * UNITS_PER_RETRY;
        self.level_units = (self.level_units - UNITS_PER_RETRY).max(-debt_max);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_sub(self.updated)
            .min(Duration::from_secs(3_600));
        self.updated = self.updated.max(now);
        let max_units = i64::from(self.settings.floor_retries_max) * UNITS_PER_RETRY;
        let earned = elapsed.as_micros() as i64 * i64::from(self.settings.floor_retries_per_s);
        if self.level_units < max_units {
            self.level_units = (self.level_units + earned).min(max_units);
        }
    }
}

/// Retry budget shared by all requests of a process.
#[derive(Debug)]
pub struct SharedRetryBudget {
    budget: Mutex<RetryBudget>,
    clock: SharedClock,
}

impl SharedRetryBudget {
    /// Creates a budget that earns `retry_percent` retries per hundred requests.
    pub fn new(retry_percent: u32, clock: SharedClock) -> Self {
        let settings = RetryBudgetSettings {
            retry_percent,
            ..Default::default()
        };
        Self {
            budget: Mutex::new(RetryBudget::new(settings, clock.now())),
            clock,
        }
    }

    /// Adds the fraction of a retry that one request earns.
    pub fn record_request(&self) {
        self.lock().record_request();
    }

    /// Takes one retry if one is left; returns whether it did.
    pub fn try_take(&self) -> bool {
        let now = self.clock.now();
        self.lock().try_take(now)
    }

    /// Takes one retry that must be made, at the cost of later ones.
    pub fn force_take(&self) {
        let now = self.clock.now();
        self.lock().force_take(now);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

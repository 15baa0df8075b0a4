//! Rate limits of customers, shared among all VMs according to their demand.
//!
//! Load pattern: a customer's requests are distributed unevenly over VMs, and some customers send
//! many times their rate. The VMs of a zone that are connected keep one account, a token bucket,
//! for each customer. An account is guaranteed an equal part of the rate for each of its VMs,
//! whatever the others do. Rate that VMs with recent heartbeats leave unused goes to accounts with
//! more demand. VMs without recent heartbeats count as using their whole part, so that VMs that
//! cannot reach each other stay within the rate together.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::model::Allowance;
use crate::clock::Instant;
use crate::ids::CustomerId;

/// Averaging window of a customer's demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(600);
/// Fraction of the overage by which the rate is increased; the rest covers units that are granted
/// twice while VMs learn of each other's demand and connectivity.
const OVERAGE_FRACTION: f64 = 0.25;
/// Fraction of the slack that is added to account capacities; the rest covers single large
/// requests.
const SLACK_FRACTION: f64 = 0.4;
/// Fraction of its capacity that the first account of a customer starts with.
const INITIAL_FILL_FRACTION: f64 = 0.8;
/// Fraction of the units that the limit leaves beyond the regular use which accounts that succeed
/// others start with; the rest is needed while VMs do not yet know that they are disconnected.
const SUCCESSOR_RESERVE_FRACTION: f64 = 0.5;
/// Fill level, as a fraction of an account's capacity, from which a request that costs more than
/// the capacity is admitted.
const OVERSIZED_FILL_FRACTION: f64 = 0.5;
/// Time since the last charge after which this VM no longer counts as keeping an account in place
/// of a VM that does not respond.
const OWN_CHARGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Limits of the retry-after time.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// Tolerances beyond a customer's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceSettings {
    /// Fraction by which all VMs together may exceed a rate.
    pub overage: f64,
    /// Units that all VMs together may use before they learn of each other's demand.
    pub slack_units: u64,
    /// Window in which the units of a customer are counted.
    pub window: Duration,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self {
            overage: 0.0,
            slack_units: 0,
            window: Duration::from_secs(8),
        }
    }
}

impl AllowanceSettings {
    /// Returns the units per second that all accounts of a customer receive together.
    fn granted_rate(&self, rate: f64) -> f64 {
        rate * (1.0 + self.overage * OVERAGE_FRACTION)
    }

    /// Returns the units that all accounts of a customer may contain together.
    fn capacity(&self, burst: f64) -> f64 {
        burst + self.slack_units as f64 * SLACK_FRACTION
    }

    /// Returns the units that the limit allows in one window beyond the regular use.
    fn reserve(&self, rate: f64, burst: f64) -> f64 {
        let window_s = self.window.as_secs_f64();
        let limit = (rate * window_s + burst) * (1.0 + self.overage) + self.slack_units as f64;
        limit - self.granted_rate(rate) * window_s - self.capacity(burst)
    }
}

/// VMs that share one account of a customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmGroup {
    /// Number of VMs.
    pub vms: usize,
    /// Units per second that their callers request; `None` if their heartbeats are missing and they
    /// may still serve requests.
    pub demand_per_s: Option<f64>,
}

/// Rejection of a request that exceeds a customer's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllowanceExceeded {
    /// Time after which the account covers the request.
    pub retry_after: Duration,
    /// Units in the account; negative after an oversized request.
    pub remaining: i64,
    /// Units per second that the account receives.
    pub share_per_s: u64,
    /// Number of VMs that the rate is shared among.
    pub vms: u32,
}

/// Customer accounts at this VM.
#[derive(Debug)]
pub struct Allowances {
    settings: AllowanceSettings,
    accounts: HashMap<CustomerId, Account>,
    /// Time until which other VMs may have spent a customer's units before this one started.
    predecessors_until: Instant,
}

#[derive(Debug, Default)]
struct Account {
    /// Units in the account, and when it was last refilled; `None` before the first request.
    level: Option<(f64, Instant)>,
    /// Whether another VM has charged the customer since this account was used.
    is_charged_elsewhere: bool,
    /// Average demand in units per second.
    demand_per_s: f64,
    demand_updated_at: Instant,
}

impl Allowances {
    /// Creates an empty set; an account is created at its customer's first request.
    pub fn new(settings: AllowanceSettings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            predecessors_until: Instant::ZERO,
        }
    }

    /// Records that this VM starts, possibly to replace VMs that have spent units.
    pub fn record_start(&mut self, now: Instant) {
        self.predecessors_until = now + self.settings.window;
    }

    /// Records that another VM keeps a customer's account.
    ///
    /// When this VM keeps the account again, the units that accrued here in the meantime have been
    /// spent there.
    pub fn record_charged_elsewhere(&mut self, customer: &str) {
        match self.accounts.get_mut(customer) {
            Some(account) => account.is_charged_elsewhere = true,
            None => {
                let account = Account {
                    is_charged_elsewhere: true,
                    ..Account::default()
                };
                self.accounts.insert(customer.to_owned(), account);
            }
        }
    }

    /// Records that another VM is to keep a customer's account, unless this VM has charged it
    /// recently: then that VM does not respond.
    pub fn record_other_owner(&mut self, customer: &str, now: Instant) {
        let account = self.accounts.get(customer);
        let used_at = account.and_then(|account| account.level.map(|(_, at)| at));
        if used_at.is_none_or(|at| now.saturating_sub(at) >= OWN_CHARGE_TIMEOUT) {
            self.record_charged_elsewhere(customer);
        }
    }

    /// Deducts the cost of a request from a customer's account at this VM.
    ///
    /// The account represents `own_vms` VMs; `others` are the groups of all other VMs.
    ///
    /// # Errors
    ///
    /// Returns [`AllowanceExceeded`] if the account does not cover the cost.
    pub fn try_take(
        &mut self,
        customer: &str,
        allowance: &Allowance,
        cost: u64,
        own_vms: usize,
        others: &[VmGroup],
        now: Instant,
    ) -> Result<(), AllowanceExceeded> {
        let settings = self.settings;
        let account = self.accounts.entry(customer.to_owned()).or_default();
        account.record_demand(cost as f64, now);
        let rate = allowance.rate_per_s as f64;
        let all_vms = own_vms + others.iter().map(|group| group.vms).sum::<usize>();
        let own = VmGroup {
            vms: own_vms,
            demand_per_s: Some(account.demand_per_s),
        };
        let share = settings.granted_rate(share(rate, own, others));
        let own_part = own_vms as f64 / all_vms.max(1) as f64;
        let extra_capacity = settings.slack_units as f64 * SLACK_FRACTION * own_part;
        let capacity = allowance.burst as f64 * share / rate.max(1.0) + extra_capacity;
        let reserve = settings.reserve(rate, allowance.burst as f64).max(0.0);
        let successor_level = (reserve * SUCCESSOR_RESERVE_FRACTION * own_part).min(capacity);
        if std::mem::take(&mut account.is_charged_elsewhere) {
            let level = account.level.map_or(successor_level, |(level, _)| level);
            account.level = Some((level.min(successor_level), now));
        } else if account.level.is_none() && now < self.predecessors_until {
            account.level = Some((successor_level, now));
        }
        let level = account.refill(share, capacity, now);
        // A request that costs more than the capacity is admitted on credit once the account is
        // half full.
        let needed = match cost as f64 {
            cost if cost > capacity => capacity * OVERSIZED_FILL_FRACTION,
            cost => cost,
        };
        if level >= needed {
            account.level = Some((level - cost as f64, now));
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64((needed - level) / share.max(1.0));
        let wait = wait.unwrap_or(RETRY_AFTER_MAX);
        Err(AllowanceExceeded {
            retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
            remaining: level as i64,
            share_per_s: share as u64,
            vms: all_vms as u32,
        })
    }

    /// Returns the demand of each customer, in units per second, unless it is less than 1.
    pub fn demands(&mut self, now: Instant) -> Vec<(CustomerId, f64)> {
        let accounts = self.accounts.iter_mut();
        let demands = accounts.map(|(id, account)| {
            account.record_demand(0.0, now);
            (id.clone(), account.demand_per_s)
        });
        demands.filter(|(_, demand)| *demand >= 1.0).collect()
    }
}

impl Account {
    /// Adds a cost to the exponentially decaying average of the demand.
    fn record_demand(&mut self, cost: f64, now: Instant) {
        let elapsed = now.saturating_sub(self.demand_updated_at).as_secs_f64();
        let window = DEMAND_WINDOW.as_secs_f64();
        self.demand_per_s = self.demand_per_s * (-elapsed / window).exp() + cost / window;
        self.demand_updated_at = now;
    }

    /// Refills the account for the time since the last refill; returns the level.
    fn refill(&mut self, share: f64, capacity: f64, now: Instant) -> f64 {
        let (level, refilled_at) = self
            .level
            .unwrap_or((capacity * INITIAL_FILL_FRACTION, now));
        let elapsed = now.saturating_sub(refilled_at).as_secs_f64();
        let level = (level + elapsed * share).min(capacity);
        self.level = Some((level, now));
        level
    }
}

/// Returns the part of a rate, in units per second, that an account receives.
pub(super) fn share(rate: f64, own: VmGroup, others: &[VmGroup]) -> f64 {
    let all_vms = own.vms + others.iter().map(|group| group.vms).sum::<usize>();
    let part = rate / all_vms.max(1) as f64;
    let stale = others.iter().filter(|group| group.demand_per_s.is_none());
    let mut remaining_rate = rate - part * stale.map(|group| group.vms).sum::<usize>() as f64;
    let own_demand = own.demand_per_s.unwrap_or_default();
    let mut fresh: Vec<(f64, f64)> = others
        .iter()
        .chain([&own])
        .filter_map(|group| Some((group.demand_per_s?, group.vms as f64)))
        .collect();
    let total: f64 = fresh.iter().map(|(demand, _)| demand).sum();
    let mut vms: f64 = fresh.iter().map(|(_, vms)| vms).sum();
    let own_vms = own.vms as f64;
    if total <= remaining_rate {
        return own_demand + (remaining_rate - total) * own_vms / vms;
    }
    // Water-filling: groups whose demand is below their equal part receive their demand.
    fresh.sort_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
    for (demand, count) in fresh {
        let level = remaining_rate / vms;
        if demand > level * count {
            return own_demand.min(level * own_vms);
        }
        remaining_rate -= demand;
        vms -= count;
    }
    own_demand
}

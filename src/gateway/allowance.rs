//! Rates of customers over all VMs together, shared by what each VM's callers ask for.
//!
//! Load pattern: a customer's requests fall on VMs unevenly, and one customer sends many times its
//! rate. The VMs of a zone that hear each other keep one account for each customer. An account is
//! sure of an equal part of the rate for each of its VMs, whatever the others do. What others that
//! were heard a moment ago leave of their parts goes to those whose callers ask for more. VMs that
//! were not heard count as using their whole part, so that those that are cut off from each other
//! stay within the rate together.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::model::Allowance;
use crate::clock::Instant;
use crate::ids::CustomerId;

/// Time over which a customer's demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(600);
/// Part of the overage that is used, as VMs hear of each other with a delay.
const OVERAGE_FRACTION: f64 = 0.5;
/// Part of the slack that is handed out as head starts; the rest covers single large requests.
const SLACK_FRACTION: f64 = 0.4;
/// Part of the burst that an account starts with, as the one before it may have spent the rest.
const INITIAL_FILL_FRACTION: f64 = 0.8;
/// Part of an account's capacity that a request larger than it needs.
const OVERSIZED_FILL_FRACTION: f64 = 0.5;
/// Bounds of the wait told to a caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// What may be used beyond a rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceSettings {
    /// Share by which all VMs together may pass a rate.
    pub overage: f64,
    /// Units that all VMs together may use before they hear of each other.
    pub slack: u64,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self {
            overage: 0.0,
            slack: 0,
        }
    }
}

/// VMs that keep one account of a customer together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmGroup {
    /// Number of VMs.
    pub vms: usize,
    /// Units a second that their callers ask for; nothing where they were not heard for a moment
    /// and may be serving.
    pub demand: Option<f64>,
}

/// Why an account does not cover a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllowanceExceeded {
    /// When it will.
    pub retry_after: Duration,
    /// Units that are left.
    pub remaining: i64,
    /// Units that come in a second.
    pub share_per_s: u64,
    /// VMs that the rate was shared by.
    pub vms: u32,
}

/// Allowances of all customers at this VM.
#[derive(Debug)]
pub struct Allowances {
    settings: AllowanceSettings,
    accounts: HashMap<CustomerId, Account>,
}

#[derive(Debug, Default)]
struct Account {
    /// Units left, and when they were counted; nothing before the first request.
    level: Option<(f64, Instant)>,
    demand: f64,
    demand_updated_at: Instant,
}

impl Allowances {
    /// Creates allowances of which nothing was used.
    pub fn new(settings: AllowanceSettings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
        }
    }

    /// Takes the cost of a request out of a customer's account at this VM.
    ///
    /// The account stands for `own_vms` VMs; `others` are all further ones.
    ///
    /// # Errors
    ///
    /// Returns what is missing, where there is too little.
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
            demand: Some(account.demand),
        };
        let share = share(rate, own, others) * (1.0 + settings.overage * OVERAGE_FRACTION);
        let own_part = own_vms as f64 / all_vms.max(1) as f64;
        let extra_capacity = settings.slack as f64 * SLACK_FRACTION * own_part;
        let capacity = allowance.burst as f64 * share / rate.max(1.0) + extra_capacity;
        let level = account.refill(share, capacity, now);
        // A request larger than the account holds is taken on credit from half of that on.
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

    /// Returns each customer's demand in units a second.
    pub fn demands(&mut self, now: Instant) -> Vec<(CustomerId, f64)> {
        let accounts = self.accounts.iter_mut();
        let demands = accounts.map(|(id, account)| {
            account.record_demand(0.0, now);
            (id.clone(), account.demand)
        });
        demands.filter(|(_, demand)| *demand >= 1.0).collect()
    }
}

impl Account {
    /// Averages demand with exponential decay.
    fn record_demand(&mut self, cost: f64, now: Instant) {
        let elapsed = now.saturating_sub(self.demand_updated_at).as_secs_f64();
        let window = DEMAND_WINDOW.as_secs_f64();
        self.demand = self.demand * (-elapsed / window).exp() + cost / window;
        self.demand_updated_at = now;
    }

    /// Adds what came in since the last count and returns the level.
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

/// Returns the part of a rate that an account gets.
fn share(rate: f64, own: VmGroup, others: &[VmGroup]) -> f64 {
    let all_vms = own.vms + others.iter().map(|group| group.vms).sum::<usize>();
    let part = rate / all_vms.max(1) as f64;
    let stale = others.iter().filter(|group| group.demand.is_none());
    let mut left = rate - part * stale.map(|group| group.vms).sum::<usize>() as f64;
    let own_demand = own.demand.unwrap_or_default();
    let mut heard: Vec<(f64, f64)> = others
        .iter()
        .chain([&own])
        .filter_map(|group| Some((group.demand?, group.vms as f64)))
        .collect();
    let total: f64 = heard.iter().map(|(demand, _)| demand).sum();
    let mut vms: f64 = heard.iter().map(|(_, vms)| vms).sum();
    let own_vms = own.vms as f64;
    if total <= left {
        return own_demand + (left - total) * own_vms / vms;
    }
    // Water-filling: those that ask for less than their equal part get what they ask for.
    heard.sort_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
    for (demand, count) in heard {
        let level = left / vms;
        if demand > level * count {
            return own_demand.min(level * own_vms);
        }
        left -= demand;
        vms -= count;
    }
    own_demand
}

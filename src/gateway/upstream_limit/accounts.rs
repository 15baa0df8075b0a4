//! Accounts of limited upstreams: which request may be sent next.
//!
//! Load pattern: an upstream takes fewer requests a second than there are VMs, and any VM may have
//! the next one. An account permits one request after the other at even intervals instead of
//! saving permits for a burst, and gives the VMs that it refuses successive times to ask again.

use std::collections::HashMap;
use std::time::Duration;

use super::announced::RequestRate;
use crate::clock::Instant;
use crate::gateway::allowance::{VmGroup, share};
use crate::gateway::name_hash::hash_name;
use crate::gateway::process_hash::ProcessHash;

/// Averaging window of the demand for an upstream.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Demand of one request, in requests per 1,000 s, as [`VmGroup`] and heartbeats contain it.
const REQUEST_UNITS: f64 = 1_000.0;
/// Lowest demand that other zones are told.
const DEMAND_TOLD_MIN_UNITS: f64 = 50.0;
/// Part of an interval that a late request may make up for.
const INTERVAL_CREDIT: f64 = 0.5;
/// Maximum time for which a VM waits for those that were refused before it; some of them have sent
/// their requests elsewhere.
const TURN_WAIT_MAX: Duration = Duration::from_secs(2);
/// Maximum time by which calls that need no permit delay the next one.
const DEBT_MAX: Duration = Duration::from_secs(4);
/// Longest interval between two permits.
const INTERVAL_MAX: Duration = Duration::from_secs(600);
/// Time after which an account that nobody uses is dropped.
const ACCOUNT_TIMEOUT: Duration = Duration::from_secs(60);

/// Request for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitRequest<'a> {
    /// Process of the upstream.
    pub process: ProcessHash,
    /// Limit that the upstream names.
    pub rate: RequestRate,
    /// Number of VMs that the account represents.
    pub own_vms: usize,
    /// Groups of all other VMs, with their demand in requests per 1,000 s.
    pub others: &'a [VmGroup],
    /// Whether the VM that asks had to pass over the upstream since it asked before.
    pub is_held_back: bool,
}

/// Decision about a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDecision {
    /// Whether one request may be sent now.
    pub is_granted: bool,
    /// Time after which the VM may ask again.
    pub wait: Duration,
}

/// Accounts of limited upstreams that this VM keeps for its zone.
#[derive(Debug, Default)]
pub struct PermitAccounts {
    accounts: HashMap<ProcessHash, Account>,
}

#[derive(Debug)]
struct Account {
    /// Time of the last permit, or an earlier one if permits are behind their intervals.
    last_at: Instant,
    interval: Duration,
    /// Time until which turns were given to VMs that were refused.
    turns_until: Instant,
    demand_units: f64,
    demand_updated_at: Instant,
}

/// Returns the name by which VMs choose the keeper of an upstream's account.
pub(super) fn account_name(process: ProcessHash) -> String {
    format!("{process:016x}")
}

impl PermitAccounts {
    /// Decides about a request.
    pub fn decide(&mut self, request: &PermitRequest<'_>, now: Instant) -> PermitDecision {
        // Other VMs may have sent requests to the upstream until now.
        let account = self.accounts.entry(request.process);
        let account = account.or_insert_with(|| Account::new(now));
        account.record_demand(if request.is_held_back { 2.0 } else { 1.0 }, now);
        let own = VmGroup {
            vms: request.own_vms,
            demand_per_s: Some(account.demand_units),
        };
        let rate_units = request.rate.permitted_per_s() * REQUEST_UNITS;
        let interval = REQUEST_UNITS / share(rate_units, own, request.others);
        account.interval = Duration::try_from_secs_f64(interval)
            .unwrap_or(INTERVAL_MAX)
            .min(INTERVAL_MAX);
        account.decide(now)
    }

    /// Records a call to the upstream that needs no permit, which delays the next permit.
    pub fn record_call(&mut self, process: ProcessHash, now: Instant) {
        let account = self.accounts.entry(process);
        let account = account.or_insert_with(|| Account::new(now));
        account.last_at = (account.last_at + account.interval).min(now + DEBT_MAX);
    }

    /// Returns the demand for each upstream, in requests per 1,000 s, by the hash of its account's
    /// name.
    pub fn demands(&mut self, now: Instant) -> Vec<(u32, u32)> {
        let accounts = self.accounts.iter_mut();
        let demands = accounts.map(|(process, account)| {
            account.record_demand(0.0, now);
            (*process, account.demand_units)
        });
        let told = demands.filter(|(_, units)| *units >= DEMAND_TOLD_MIN_UNITS);
        told.map(|(process, units)| (hash_name(&account_name(process)), units as u32))
            .collect()
    }

    /// Drops accounts that have not been used for long.
    pub fn sweep(&mut self, now: Instant) {
        self.accounts.retain(|_, account| {
            let used_at = account.last_at.max(account.turns_until);
            now.saturating_sub(used_at) < ACCOUNT_TIMEOUT
        });
    }
}

impl Account {
    fn new(now: Instant) -> Self {
        Self {
            last_at: now,
            interval: Duration::ZERO,
            turns_until: now,
            demand_units: 0.0,
            demand_updated_at: now,
        }
    }

    fn decide(&mut self, now: Instant) -> PermitDecision {
        let next_at = self.last_at + self.interval;
        if now >= next_at {
            let credit = self.interval.mul_f64(INTERVAL_CREDIT);
            self.last_at = next_at.max(now.saturating_sub(credit));
            let wait = (self.last_at + self.interval).saturating_sub(now);
            return PermitDecision {
                is_granted: true,
                wait,
            };
        }
        let turn_at = self.turns_until.max(next_at);
        self.turns_until = turn_at.min(now + TURN_WAIT_MAX) + self.interval;
        let wait = turn_at.min(next_at.max(now + TURN_WAIT_MAX));
        PermitDecision {
            is_granted: false,
            wait: wait.saturating_sub(now),
        }
    }

    /// Adds requests to the exponentially decaying average of the demand.
    fn record_demand(&mut self, requests: f64, now: Instant) {
        let elapsed = now.saturating_sub(self.demand_updated_at).as_secs_f64();
        let window = DEMAND_WINDOW.as_secs_f64();
        let kept = self.demand_units * (-elapsed / window).exp();
        self.demand_units = kept + requests * REQUEST_UNITS / window;
        self.demand_updated_at = now;
    }
}

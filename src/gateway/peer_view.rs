//! Sums over the heartbeats of peers: load of engines, engines that take part in a rollout, and
//! engines that do not respond.
//!
//! Load pattern: hundreds of heartbeats a second, each of which changes little. The sums are
//! computed when a placement needs them and at most once per [`AGE_MAX`], so their cost does not
//! grow with the number of heartbeats.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::heartbeat::{CompactLoad, Heartbeat};
use super::name_hash::NameHash;
use super::peers::Peers;
use super::upstream_registry::UpstreamLoad;
use crate::clock::Instant;

/// Age up to which the sums are used although newer heartbeats have arrived; less than the time
/// for which an engine receives no requests before it loads weights.
const AGE_MAX: Duration = Duration::from_millis(10);
/// Age from which the sums are computed again even without new heartbeats, as peers fall silent.
const AGE_MAX_WITHOUT_HEARTBEATS: Duration = Duration::from_millis(200);

/// Number of VMs that have to find an engine unreachable before others avoid it too.
const UNREACHABLE_REPORTS_MIN: u32 = 2;

/// Sums over the fresh heartbeats of all peers.
#[derive(Debug, Default)]
pub struct PeerView {
    loads: HashMap<NameHash, UpstreamLoad>,
    engines_in_rollout: HashSet<NameHash>,
    /// Number of other VMs that find an engine unreachable.
    unreachable_reports: HashMap<NameHash, u32>,
    computed_at: Option<Instant>,
    has_new_heartbeats: bool,
}

impl PeerView {
    /// Records that a heartbeat has arrived.
    pub fn record_heartbeat(&mut self) {
        self.has_new_heartbeats = true;
    }

    /// Computes the sums again if they are too old; returns whether it did.
    ///
    /// `reported` is the load in this VM's last heartbeat, which the sums of its zone contain.
    pub fn refresh(&mut self, peers: &Peers, reported: &[CompactLoad], now: Instant) -> bool {
        let age_max = match self.has_new_heartbeats {
            true => AGE_MAX,
            false => AGE_MAX_WITHOUT_HEARTBEATS,
        };
        let is_recent = |at: Instant| now.saturating_sub(at) < age_max;
        if self.computed_at.is_some_and(is_recent) {
            return false;
        }
        self.computed_at = Some(now);
        self.has_new_heartbeats = false;
        self.loads.clear();
        self.engines_in_rollout.clear();
        self.unreachable_reports.clear();
        match peers.recent_zone_sum(now) {
            Some(sum) => {
                self.add_loads(&sum.heartbeat.loads);
                self.add_reports(&sum.heartbeat);
                for load in reported {
                    if let Some(sum) = self.loads.get_mut(&load.engine) {
                        *sum = sum.minus(load.load());
                    }
                }
            }
            None => {
                for peer in peers.fresh_in_zone(now) {
                    self.add_loads(&peer.heartbeat.loads);
                    self.add_reports(&peer.heartbeat);
                }
            }
        }
        for peer in peers.other_zones().filter(|peer| peers.is_fresh(peer, now)) {
            self.add_loads(&peer.heartbeat.loads);
            self.add_reports(&peer.heartbeat);
        }
        for peer in peers.fresh_peers(now) {
            self.engines_in_rollout
                .extend(&peer.heartbeat.engines_in_rollout);
        }
        true
    }

    fn add_loads(&mut self, loads: &[CompactLoad]) {
        for load in loads {
            let sum = self.loads.entry(load.engine).or_default();
            *sum = sum.plus(load.load());
        }
    }

    fn add_reports(&mut self, heartbeat: &Heartbeat) {
        for (engine, vms) in &heartbeat.unreachable_engines {
            *self.unreachable_reports.entry(*engine).or_default() += u32::from(*vms);
        }
    }

    /// Returns whether several other VMs find an engine unreachable.
    ///
    /// A single report may be due to a path of that VM alone.
    pub fn is_reported_unreachable(&self, engine: NameHash) -> bool {
        let reports = self.unreachable_reports.get(&engine);
        reports.is_some_and(|reports| *reports >= UNREACHABLE_REPORTS_MIN)
    }

    /// Returns the load that all peers have sent to an engine.
    pub fn load(&self, engine: NameHash) -> UpstreamLoad {
        self.loads.get(&engine).copied().unwrap_or_default()
    }

    /// Returns whether the lease holder has reported that an engine takes part in a rollout.
    pub fn is_in_rollout(&self, engine: NameHash) -> bool {
        self.engines_in_rollout.contains(&engine)
    }
}

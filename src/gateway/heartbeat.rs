//! What the VMs of the fleet tell each other a few times a second.
//!
//! A beat is a small datagram that nobody answers: it holds sums that the next one replaces, so a
//! lost one costs a moment of older knowledge and nothing else.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::model::WeightNumber;
use super::prefix_cache_index::CachedPrefix;
use super::upstream_registry::UpstreamLoad;
use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};
use crate::steward::LeaseRecord;

/// Short name of an upstream or a customer in a beat.
pub(super) type NameHash = u32;

/// Tokens in which loads are counted.
const LOAD_UNIT_TOKENS: u64 = 64;

/// Returns the short name of a text.
pub(super) fn hash_name(text: &str) -> NameHash {
    xxh3_64(text.as_bytes()) as NameHash
}

/// How much of the store a VM has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreRevisions {
    /// Version of the configuration in force.
    pub config: ObjectVersion,
    /// Revision of the last change among upstreams.
    pub upstreams: ObjectVersion,
    /// Revision of the last change among named weights.
    pub weights: ObjectVersion,
}

impl StoreRevisions {
    /// Returns the newest of each.
    pub fn max(self, other: Self) -> Self {
        Self {
            config: self.config.max(other.config),
            upstreams: self.upstreams.max(other.upstreams),
            weights: self.weights.max(other.weights),
        }
    }
}

/// Work that a VM has sent to one engine, in a compact form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompactLoad {
    /// Engine.
    pub engine: NameHash,
    requests: u16,
    prefill_units: u16,
    memory_units: u32,
}

impl CompactLoad {
    /// Creates the compact form.
    pub fn new(engine: &str, work: UpstreamLoad) -> Self {
        let units = |tokens: u64| tokens.div_ceil(LOAD_UNIT_TOKENS);
        Self {
            engine: hash_name(engine),
            requests: work.requests.min(u32::from(u16::MAX)) as u16,
            prefill_units: units(work.prefill_tokens).min(u64::from(u16::MAX)) as u16,
            memory_units: units(work.memory_tokens).min(u64::from(u32::MAX)) as u32,
        }
    }

    /// Returns the sum with the load of another VM.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            engine: self.engine,
            requests: self.requests.saturating_add(other.requests),
            prefill_units: self.prefill_units.saturating_add(other.prefill_units),
            memory_units: self.memory_units.saturating_add(other.memory_units),
        }
    }

    /// Returns the work.
    pub fn work(&self) -> UpstreamLoad {
        UpstreamLoad {
            requests: u32::from(self.requests),
            prefill_tokens: u64::from(self.prefill_units) * LOAD_UNIT_TOKENS,
            memory_tokens: u64::from(self.memory_units) * LOAD_UNIT_TOKENS,
        }
    }
}

/// Lease that the sender holds, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldLease {
    /// Revision of the lease's object.
    pub version: ObjectVersion,
    /// Its content.
    pub record: LeaseRecord,
}

/// Whom a beat speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HeartbeatScope {
    /// The sender.
    Vm,
    /// All VMs of the sender's availability zone.
    Zone {
        /// Their number.
        vms: u16,
    },
}

/// What one VM tells the others.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whom it speaks for.
    pub scope: HeartbeatScope,
    /// Sender.
    pub vm: VmId,
    /// Start of the sender's process.
    pub incarnation: Incarnation,
    /// Number of the beat within that start.
    pub sequence: u64,
    /// Where the sender listens.
    pub address: SocketAddr,
    /// Where the sender runs.
    pub availability_zone: AvailabilityZoneId,
    /// Whether the sender shuts down.
    pub is_leaving: bool,
    /// Whether the sender follows the store itself.
    pub follows_store: bool,
    /// What it has seen of the store.
    pub revisions: StoreRevisions,
    /// Work that was sent to engines.
    pub loads: Vec<CompactLoad>,
    /// Units a second that callers ask for, by customer.
    pub demands: Vec<(NameHash, u32)>,
    /// Lease that the sender holds.
    pub lease: Option<HeldLease>,
    /// Engines that load weights or are about to; from the holder of the lease.
    pub engines_in_rollout: Vec<NameHash>,
    /// Weights of engines that the store does not list yet.
    pub unlisted_weights: Vec<(NameHash, WeightNumber)>,
    /// Chains that requests made engines read.
    pub new_cached_prefixes: Vec<CachedPrefix>,
    /// VMs that the sender knows, with their availability zone; in some beats only.
    pub known_vms: Vec<(SocketAddr, AvailabilityZoneId)>,
}

impl Heartbeat {
    /// Returns for how many VMs it speaks.
    pub fn vms(&self) -> usize {
        match self.scope {
            HeartbeatScope::Vm => 1,
            HeartbeatScope::Zone { vms } => usize::from(vms),
        }
    }
}

//! Heartbeats that the VMs of the fleet exchange several times a second.
//!
//! A heartbeat is a small datagram without acknowledgement. Most of its content is replaced by the
//! next one, so a lost heartbeat only makes the receiver use older data for one interval.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::model::WeightNumber;
use super::name_hash::{NameHash, hash_name};
use super::prefix_cache_index::CachedPrefix;
use super::upstream_registry::UpstreamLoad;
use crate::ids::{AvailabilityZoneId, FencingNumber, Incarnation, ObjectVersion, VmId};
use crate::steward::{LeaseHolder, LeaseObject, LeaseRecord};

/// Number of tokens in one load unit.
const LOAD_UNIT_TOKENS: u64 = 64;

/// Latest revisions of the store's objects that a VM has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreRevisions {
    /// Version of the configuration in force.
    pub config: ObjectVersion,
    /// Revision of the last change among upstreams.
    pub upstreams: ObjectVersion,
    /// Revision of the last change of target weights.
    pub weights: ObjectVersion,
}

impl StoreRevisions {
    /// Returns the higher revision of each kind.
    pub fn max(self, other: Self) -> Self {
        Self {
            config: self.config.max(other.config),
            upstreams: self.upstreams.max(other.upstreams),
            weights: self.weights.max(other.weights),
        }
    }
}

/// Load of one engine in compact form, with token counts in load units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompactLoad {
    /// Hash of the engine's name.
    pub engine: NameHash,
    requests: u16,
    prefill_units: u16,
    memory_units: u32,
}

impl CompactLoad {
    /// Creates the compact form of a load; values that are too large are clamped.
    pub fn new(engine: &str, load: UpstreamLoad) -> Self {
        let units = |tokens: u64| tokens.div_ceil(LOAD_UNIT_TOKENS);
        Self {
            engine: hash_name(engine),
            requests: load.requests.min(u32::from(u16::MAX)) as u16,
            prefill_units: units(load.prefill_tokens).min(u64::from(u16::MAX)) as u16,
            memory_units: units(load.memory_tokens).min(u64::from(u32::MAX)) as u32,
        }
    }

    /// Returns the sum of this load and the load of another VM, clamped to the maximum values.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            engine: self.engine,
            requests: self.requests.saturating_add(other.requests),
            prefill_units: self.prefill_units.saturating_add(other.prefill_units),
            memory_units: self.memory_units.saturating_add(other.memory_units),
        }
    }

    /// Returns the load in tokens.
    pub fn load(&self) -> UpstreamLoad {
        UpstreamLoad {
            requests: u32::from(self.requests),
            prefill_tokens: u64::from(self.prefill_units) * LOAD_UNIT_TOKENS,
            memory_tokens: u64::from(self.memory_units) * LOAD_UNIT_TOKENS,
        }
    }
}

/// Lease that the sender of a heartbeat holds, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldLease {
    /// Revision of the lease's object.
    pub version: ObjectVersion,
    /// Holder of the lease.
    pub holder: Option<LeaseHolder>,
    /// Fencing number of the term.
    pub fencing_number: FencingNumber,
    /// Number of renewals within the term.
    pub renewal_count: u64,
}

impl HeldLease {
    /// Creates the announcement of a lease's record with a revision.
    pub fn new(version: ObjectVersion, record: LeaseRecord) -> Self {
        Self {
            version,
            holder: record.holder,
            fencing_number: record.fencing_number,
            renewal_count: record.renewal_count,
        }
    }

    /// Returns the lease's object without its idle time.
    ///
    /// The encoding of heartbeats has no optional fields, so VMs of other builds could not decode
    /// one more. A successor that has read no more than this counts the holder as one that acts.
    pub fn into_object(self) -> LeaseObject {
        LeaseObject {
            version: self.version,
            record: Some(LeaseRecord {
                holder: self.holder,
                fencing_number: self.fencing_number,
                renewal_count: self.renewal_count,
                idle_ms: None,
            }),
            ..LeaseObject::default()
        }
    }
}

/// Set of VMs whose state a heartbeat contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HeartbeatScope {
    /// Only the sender.
    Vm,
    /// All VMs of the sender's availability zone.
    Zone {
        /// Number of VMs whose state is included.
        vms: u16,
        /// Number of VMs that are silent but may still run, cut off from the sender.
        silent_vms: u16,
    },
}

/// State that one VM sends to the others.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Set of VMs whose state is included.
    pub scope: HeartbeatScope,
    /// Name of the sender.
    pub vm: VmId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Peer address of the sender.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub availability_zone: AvailabilityZoneId,
    /// Share of a core that the sender provides, in percent; VMs with more serve as relays. Zero
    /// while the sender shuts down.
    pub cpu_percent: u8,
    /// Time until the sender's next heartbeat to the same receiver.
    pub next_in_ms: u16,
    /// Whether the sender is shutting down.
    pub is_leaving: bool,
    /// Whether the sender watches the store itself and receives responses.
    pub watches_store: bool,
    /// Latest revisions that the sender has seen.
    pub revisions: StoreRevisions,
    /// Load that was sent to engines and has not ended.
    pub loads: Vec<CompactLoad>,
    /// Demand of each customer, in units per second.
    pub demands: Vec<(NameHash, u32)>,
    /// Lease that the sender holds, if any.
    pub lease: Option<HeldLease>,
    /// Engines that load weights or are about to; set by the holder of the lease.
    pub engines_in_rollout: Vec<NameHash>,
    /// Weights of engines that are newer than those listed in the store.
    pub unlisted_weights: Vec<(NameHash, WeightNumber)>,
    /// Engines that the VMs whose state is included find unreachable, each with the number of VMs.
    pub unreachable_engines: Vec<(NameHash, u16)>,
    /// Prompt prefixes that engines have cached since the last heartbeat.
    pub new_cached_prefixes: Vec<CachedPrefix>,
    /// Addresses and availability zones of VMs that the sender knows; empty in most heartbeats.
    pub known_vms: Vec<(SocketAddr, AvailabilityZoneId)>,
}

impl Heartbeat {
    /// Creates a heartbeat of one VM without any load or news.
    pub fn new(vm: VmId, availability_zone: AvailabilityZoneId, address: SocketAddr) -> Self {
        Self {
            scope: HeartbeatScope::Vm,
            vm,
            incarnation: 0,
            sequence: 0,
            address,
            availability_zone,
            cpu_percent: 0,
            next_in_ms: 0,
            is_leaving: false,
            watches_store: false,
            revisions: StoreRevisions::default(),
            loads: Vec::new(),
            demands: Vec::new(),
            lease: None,
            engines_in_rollout: Vec::new(),
            unlisted_weights: Vec::new(),
            unreachable_engines: Vec::new(),
            new_cached_prefixes: Vec::new(),
            known_vms: Vec::new(),
        }
    }

    /// Returns the number of VMs whose state is included.
    pub fn vms(&self) -> usize {
        match self.scope {
            HeartbeatScope::Vm => 1,
            HeartbeatScope::Zone { vms, .. } => usize::from(vms),
        }
    }

    /// Returns the number of VMs of the sender's zone that may run without contact to the sender.
    pub fn silent_vms(&self) -> usize {
        match self.scope {
            HeartbeatScope::Vm => 0,
            HeartbeatScope::Zone { silent_vms, .. } => usize::from(silent_vms),
        }
    }
}

//! What the VMs of the fleet tell each other a few times a second.
//!
//! A beat is a small datagram that nobody answers: it holds sums that the next one replaces, so a
//! lost one costs a moment of older knowledge and nothing else.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Work;
use super::holdings::Holding;
use super::model::WeightNumber;
use crate::clock::Instant;
use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};
use crate::steward::LeaseRecord;

/// Short name of an upstream or a customer in a beat.
pub(super) type ShortName = u32;

/// Tokens in which loads are counted.
const LOAD_UNIT_TOKENS: u64 = 64;

/// Returns the short name of a text.
pub(super) fn short_name(text: &str) -> ShortName {
    xxh3_64(text.as_bytes()) as ShortName
}

/// Times of [`Peers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeersSettings {
    /// Age up to which a peer's sums are used.
    pub fresh: Duration,
    /// Silence after which a peer counts as gone.
    pub gone: Duration,
}

impl Default for PeersSettings {
    fn default() -> Self {
        Self {
            // Five beats, so that a few lost ones do not matter.
            fresh: Duration::from_millis(1_000),
            // Longer than the cuts after which VMs are expected back.
            gone: Duration::from_secs(30),
        }
    }
}

/// How much of the store a VM has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Revisions {
    /// Version of the configuration in force.
    pub config: ObjectVersion,
    /// Revision of the last change among upstreams.
    pub upstreams: ObjectVersion,
    /// Revision of the last change among named weights.
    pub weights: ObjectVersion,
}

/// Work that a VM has sent to one engine, in a compact form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineLoad {
    /// Engine.
    pub engine: ShortName,
    requests: u16,
    reading_units: u16,
    memory_units: u32,
}

impl EngineLoad {
    /// Creates the compact form.
    pub fn new(engine: &str, work: Work) -> Self {
        let units = |tokens: u64| tokens.div_ceil(LOAD_UNIT_TOKENS);
        Self {
            engine: short_name(engine),
            requests: work.requests.min(u32::from(u16::MAX)) as u16,
            reading_units: units(work.reading_tokens).min(u64::from(u16::MAX)) as u16,
            memory_units: units(work.memory_tokens).min(u64::from(u32::MAX)) as u32,
        }
    }

    /// Returns the work.
    pub fn work(&self) -> Work {
        Work {
            requests: u32::from(self.requests),
            reading_tokens: u64::from(self.reading_units) * LOAD_UNIT_TOKENS,
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

/// What one VM tells the others.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Beat {
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
    /// What it has seen of the store.
    pub revisions: Revisions,
    /// Work that it has sent to engines.
    pub loads: Vec<EngineLoad>,
    /// Units a second that its callers ask for, by customer.
    pub demands: Vec<(ShortName, u32)>,
    /// Lease that it holds.
    pub lease: Option<HeldLease>,
    /// Engines that load weights or are about to; from the holder of the lease.
    pub rolling: Vec<ShortName>,
    /// Weights of engines that the store does not list yet.
    pub weights: Vec<(ShortName, WeightNumber)>,
    /// Chains that its requests made engines read.
    pub read: Vec<Holding>,
    /// Other VMs that it knows; in some beats only.
    pub known: Vec<SocketAddr>,
}

/// Peer as it was heard last.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What it said.
    pub beat: Beat,
    /// When.
    pub heard_at: Instant,
}

/// What this VM knows of its peers.
#[derive(Debug, Default)]
pub struct Peers {
    settings: PeersSettings,
    me: VmId,
    heard: HashMap<VmId, Peer>,
    listed: HashMap<SocketAddr, Instant>,
}

impl Peers {
    /// Creates the knowledge of a VM that has heard nobody.
    pub fn new(settings: PeersSettings, me: VmId) -> Self {
        Self {
            settings,
            me,
            ..Self::default()
        }
    }

    /// Takes a beat; returns whether it is news.
    pub fn hear(&mut self, beat: Beat, now: Instant) -> bool {
        if beat.vm == self.me {
            return false;
        }
        self.listed.remove(&beat.address);
        for address in &beat.known {
            self.listed.entry(*address).or_insert(now);
        }
        let order = (beat.incarnation, beat.sequence);
        let known = self.heard.get(&beat.vm);
        if known.is_some_and(|peer| (peer.beat.incarnation, peer.beat.sequence) >= order) {
            return false;
        }
        if beat.is_leaving {
            self.heard.remove(&beat.vm);
            return true;
        }
        let peer = Peer {
            heard_at: now,
            beat,
        };
        self.heard.insert(peer.beat.vm.clone(), peer);
        true
    }

    /// Notes an address at which a peer may be.
    pub fn list(&mut self, address: SocketAddr, now: Instant) {
        let is_heard = self.heard.values().any(|peer| peer.beat.address == address);
        if !is_heard {
            self.listed.insert(address, now);
        }
    }

    /// Forgets peers that have been silent for long.
    pub fn sweep(&mut self, now: Instant) {
        let gone = self.settings.gone;
        self.heard
            .retain(|_, peer| now.saturating_sub(peer.heard_at) < gone);
        self.listed.retain(|_, at| now.saturating_sub(*at) < gone);
    }

    /// Returns the addresses to send beats to.
    pub fn addresses(&self, me: SocketAddr) -> Vec<SocketAddr> {
        let heard = self.heard.values().map(|peer| peer.beat.address);
        let mut addresses: Vec<_> = heard.chain(self.listed.keys().copied()).collect();
        addresses.retain(|address| *address != me);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the peers that count as part of the fleet.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.heard.values()
    }

    /// Returns the peers whose sums may be used.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let fresh = self.settings.fresh;
        let peers = self.heard.values();
        peers.filter(move |peer| now.saturating_sub(peer.heard_at) <= fresh)
    }

    /// Returns whether a peer's sums may be used.
    pub fn is_fresh(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_sub(peer.heard_at) <= self.settings.fresh
    }

    /// Returns how many peers count as part of the fleet.
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// Returns the work that peers have sent to an engine.
    pub fn work_at(&self, engine: ShortName, now: Instant) -> Work {
        let loads = self.fresh(now).flat_map(|peer| &peer.beat.loads);
        let at_engine = loads.filter(|load| load.engine == engine);
        at_engine.fold(Work::default(), |sum, load| sum.plus(load.work()))
    }

    /// Returns whether a holder of the lease said that an engine loads weights or is about to.
    pub fn is_rolling(&self, engine: ShortName, now: Instant) -> bool {
        self.fresh(now)
            .any(|peer| peer.beat.rolling.contains(&engine))
    }
}

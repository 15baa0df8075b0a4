//! Bounded index of recent prompt prefixes: how they branch and which engines have them cached.

use std::time::Duration;

use super::generational_map::GenerationalMap;
use super::{Prefix, PrefixHash};
use crate::clock::Instant;

/// Number of an engine within one process.
pub type EngineNumber = u16;

/// Largest number of engines stored for one prefix; the least recently used one is replaced.
pub const ENGINES_PER_PREFIX_MAX: usize = 8;
/// Resolution of the stored times.
const TICK_DURATION: Duration = Duration::from_millis(10);
/// Number of children above which a node's counts are halved.
const CHILDREN_MAX: u16 = 64;
/// A branch is shared if at least one in this number of its children is visited again.
const CHILDREN_PER_SHARED_CHILD_MAX: u16 = 4;
/// Fewest children for a node to count as a branch.
const BRANCH_CHILDREN_MIN: u16 = 2;
/// Fewest children for a node that is not a shared branch to count as a divergence.
///
/// Prompts are taken to have no pieces in common behind a divergence.
const DIVERGENCE_CHILDREN_MIN: u16 = 16;
/// Leading pieces whose hash places a request while no branch of its prefix is known.
const PLACEMENT_PIECES_DEFAULT: usize = 8;
/// Time without demand for more replicas after which a prefix loses one.
const REPLICA_RELEASE_INTERVAL: Duration = Duration::from_secs(10);
/// Largest number of engines that one prefix is placed on.
const REPLICAS_MAX: u8 = 64;

type Ticks = u32;

/// Settings of a [`PrefixIndex`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixIndexSettings {
    /// Largest number of stored prefixes.
    pub prefixes_max: usize,
}

impl Default for PrefixIndexSettings {
    fn default() -> Self {
        Self {
            prefixes_max: 229_376,
        }
    }
}

/// Bounded index of prefixes, built from this VM's own traffic alone.
#[derive(Debug)]
pub struct PrefixIndex {
    nodes: GenerationalMap<Node>,
}

/// Information about a request's prefix from earlier requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixInfo {
    /// Number of leading pieces that an earlier request had too.
    pub shared_pieces: usize,
    /// Number of leading pieces whose hash determines the placement of the request.
    pub placement_pieces: usize,
    /// Number of engines that the prefix of `placement_pieces` is placed on.
    pub replicas: usize,
}

/// Leading pieces of a prompt that an engine is known to have had cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Number of the engine.
    pub engine: EngineNumber,
    /// Number of leading pieces.
    pub pieces: usize,
    /// Time at which they were last known to be cached.
    pub at: Instant,
}

/// Statistics of one prefix.
#[derive(Debug, Clone, Copy, Default)]
struct Node {
    visits: u16,
    children: u16,
    /// Children that were visited more than once.
    shared_children: u16,
    /// Replicas beyond the first.
    replicas_added: u8,
    replicas_changed_at: Ticks,
    holders: [PrefixHolder; ENGINES_PER_PREFIX_MAX],
}

/// Engine that has a prefix cached; `at` is zero if the entry is free.
#[derive(Debug, Clone, Copy, Default)]
struct PrefixHolder {
    engine: EngineNumber,
    at: Ticks,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new(settings: PrefixIndexSettings) -> Self {
        Self {
            nodes: GenerationalMap::new(settings.prefixes_max),
        }
    }

    /// Counts a request, and returns the information about its prefix from before it.
    pub fn record_request(&mut self, prefix: &Prefix, now: Instant) -> PrefixInfo {
        let hashes = prefix.hashes();
        let mut known = PrefixInfo {
            shared_pieces: 0,
            placement_pieces: prefix.pieces().min(PLACEMENT_PIECES_DEFAULT),
            replicas: 1,
        };
        let mut divergence_at = usize::MAX;
        for (pieces, hash) in hashes.iter().enumerate() {
            let Some(node) = self.nodes.get_mut(*hash) else {
                self.add_children(&hashes[pieces.saturating_sub(1)..]);
                break;
            };
            known.shared_pieces = pieces;
            if node.is_shared_branch() && pieces < prefix.pieces() {
                known.placement_pieces = known.placement_pieces.max(pieces + 1);
                divergence_at = usize::MAX;
            } else if node.is_divergence() {
                divergence_at = divergence_at.min(pieces);
            }
            node.visits = node.visits.saturating_add(1);
            if node.visits == 2 && pieces > 0 {
                self.count_shared_child(hashes[pieces - 1]);
            }
        }
        known.placement_pieces = known.placement_pieces.min(divergence_at);
        known.replicas = self.replicas(hashes[known.placement_pieces], now);
        known
    }

    /// Returns the engines that have leading pieces cached, each with its longest prefix.
    pub fn cached_prefixes(&self, prefix: &Prefix) -> Vec<CachedPrefix> {
        let mut found: Vec<CachedPrefix> = Vec::with_capacity(2 * ENGINES_PER_PREFIX_MAX);
        for (pieces, hash) in prefix.hashes().iter().enumerate().skip(1).rev() {
            let Some(node) = self.nodes.peek(*hash) else {
                continue;
            };
            for holder in node.holders.iter().filter(|holder| holder.at > 0) {
                if found.iter().any(|cached| cached.engine == holder.engine) {
                    continue;
                }
                found.push(CachedPrefix {
                    engine: holder.engine,
                    pieces,
                    at: TICK_DURATION * holder.at,
                });
            }
        }
        found
    }

    /// Records that an engine has a whole prompt cached, after it computed or found it.
    pub fn record_cached(&mut self, prefix: &Prefix, engine: EngineNumber, now: Instant) {
        let at = ticks(now);
        for hash in &prefix.hashes()[1..] {
            match self.nodes.get_mut(*hash) {
                Some(node) => node.set_holder(engine, at),
                None => {
                    let mut node = Node::default();
                    node.set_holder(engine, at);
                    self.nodes.insert(*hash, node);
                }
            }
        }
    }

    /// Records that an engine evicted a piece, and with it the prefix that ends there.
    pub fn record_evicted(&mut self, hash: PrefixHash, engine: EngineNumber) {
        let Some(node) = self.nodes.get_mut(hash) else {
            return;
        };
        let held = node
            .holders
            .iter_mut()
            .filter(|holder| holder.engine == engine);
        held.for_each(|holder| *holder = PrefixHolder::default());
    }

    /// Places a prefix on one more engine.
    pub fn add_replica(&mut self, hash: PrefixHash, now: Instant) {
        if let Some(node) = self.nodes.get_mut(hash) {
            node.replicas_added = (node.replicas_added + 1).min(REPLICAS_MAX - 1);
            node.replicas_changed_at = ticks(now);
        }
    }

    /// Postpones the release of a prefix's replicas while they are needed.
    pub fn keep_replicas(&mut self, hash: PrefixHash, now: Instant) {
        if let Some(node) = self.nodes.get_mut(hash) {
            node.replicas_changed_at = ticks(now);
        }
    }

    fn replicas(&mut self, hash: PrefixHash, now: Instant) -> usize {
        let release = ticks(REPLICA_RELEASE_INTERVAL);
        let now = ticks(now);
        let Some(node) = self.nodes.get_mut(hash) else {
            return 1;
        };
        while node.replicas_added > 0 && now.saturating_sub(node.replicas_changed_at) >= release {
            node.replicas_added -= 1;
            node.replicas_changed_at = node.replicas_changed_at.saturating_add(release);
        }
        usize::from(node.replicas_added) + 1
    }

    /// Inserts the prefixes after the first one, each as the child of the one before.
    fn add_children(&mut self, hashes: &[PrefixHash]) {
        let new = match self.nodes.get_mut(hashes[0]) {
            Some(parent) => {
                parent.count_child();
                &hashes[1..]
            }
            None => hashes,
        };
        let last = new.len().saturating_sub(1);
        for (index, hash) in new.iter().enumerate() {
            let node = Node {
                visits: 1,
                children: u16::from(index < last),
                ..Node::default()
            };
            self.nodes.insert(*hash, node);
        }
    }

    fn count_shared_child(&mut self, parent: PrefixHash) {
        if let Some(parent) = self.nodes.get_mut(parent) {
            parent.shared_children = (parent.shared_children + 1).min(parent.children);
        }
    }
}

impl Node {
    /// Returns whether prompts branch here into prefixes that are seen again.
    fn is_shared_branch(&self) -> bool {
        let shared = self.shared_children;
        self.children >= BRANCH_CHILDREN_MIN
            && shared > 0
            && shared.saturating_mul(CHILDREN_PER_SHARED_CHILD_MAX) >= self.children
    }

    /// Returns whether prompts diverge here and have no pieces in common behind.
    fn is_divergence(&self) -> bool {
        self.children >= DIVERGENCE_CHILDREN_MIN && !self.is_shared_branch()
    }

    fn count_child(&mut self) {
        self.children += 1;
        if self.children > CHILDREN_MAX {
            self.children /= 2;
            self.shared_children /= 2;
        }
    }

    fn set_holder(&mut self, engine: EngineNumber, at: Ticks) {
        let mut oldest = 0;
        for (index, holder) in self.holders.iter().enumerate() {
            if holder.at > 0 && holder.engine == engine {
                self.holders[index].at = holder.at.max(at);
                return;
            }
            if holder.at < self.holders[oldest].at {
                oldest = index;
            }
        }
        self.holders[oldest] = PrefixHolder { engine, at };
    }
}

/// Converts a time to ticks, at least one.
fn ticks(time: Duration) -> Ticks {
    let ticks = time.as_millis() / TICK_DURATION.as_millis();
    Ticks::try_from(ticks).unwrap_or(Ticks::MAX).max(1)
}

//! Bounded prefix cache of an engine and the events it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Tokens of one cached piece.
pub(crate) const PIECE_TOKENS: u64 = 1_000;
const PIECE_BYTES: usize = 4_000;
const EVENTS_MAX: usize = 65_536;

/// Cached piece, as exported by `/kv/{hash}`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Piece {
    pub(crate) request_id: String,
    pub(crate) salt: String,
    pub(crate) piece: usize,
    pub(crate) hash: String,
}

#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct Event {
    sequence: u64,
    op: &'static str,
    #[serde(flatten)]
    piece: Piece,
}

/// Least recently used pieces, and what happened to them.
#[derive(Default)]
pub(crate) struct PrefixCache {
    pieces_max: usize,
    gap_every: u64,
    tick: u64,
    sequence: u64,
    pieces: HashMap<String, (u64, Piece)>,
    by_use: BTreeMap<u64, String>,
    events: VecDeque<(Instant, Event)>,
}

impl PrefixCache {
    pub(crate) fn new(pieces_max: usize, gap_every: u64) -> Self {
        Self {
            pieces_max,
            gap_every,
            ..Self::default()
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.pieces.len()
    }

    pub(crate) fn get(&self, hash: &str) -> Option<&Piece> {
        self.pieces.get(hash).map(|(_, piece)| piece)
    }

    /// Returns how many leading pieces of a chain are cached, and marks them as used.
    pub(crate) fn find(&mut self, chain: &[String]) -> usize {
        let cached = |hash: &&String| self.pieces.contains_key(*hash);
        let found = chain.iter().take_while(cached).count();
        for hash in chain[..found].iter().rev() {
            self.touch(hash);
        }
        found
    }

    /// Stores a piece and evicts the least recently used one beyond the bound.
    pub(crate) fn store(&mut self, piece: Piece) {
        let hash = piece.hash.clone();
        if self.pieces.contains_key(&hash) {
            return self.touch(&hash);
        }
        self.tick += 1;
        self.by_use.insert(self.tick, hash.clone());
        self.pieces.insert(hash, (self.tick, piece.clone()));
        self.publish("stored", piece);
        while self.pieces.len() > self.pieces_max {
            self.evict();
        }
    }

    /// Returns the events after a sequence number that are old enough to show.
    pub(crate) fn events_after(&self, sequence: u64, lateness: Duration) -> Vec<Event> {
        let start = self.events.partition_point(|(_, e)| e.sequence <= sequence);
        let late_enough = |(at, _): &&(Instant, Event)| at.elapsed() >= lateness;
        let shown = self.events.range(start..).take_while(late_enough);
        shown.map(|(_, event)| event.clone()).collect()
    }

    fn touch(&mut self, hash: &str) {
        if let Some((used, _)) = self.pieces.get_mut(hash) {
            self.tick += 1;
            self.by_use.remove(used);
            self.by_use.insert(self.tick, hash.to_owned());
            *used = self.tick;
        }
    }

    fn evict(&mut self) {
        let oldest = self.by_use.pop_first();
        if let Some((_, piece)) = oldest.and_then(|(_, hash)| self.pieces.remove(&hash)) {
            self.publish("evicted", piece);
        }
    }

    fn publish(&mut self, op: &'static str, piece: Piece) {
        self.sequence += 1;
        if self.gap_every > 0 && self.sequence.is_multiple_of(self.gap_every) {
            return;
        }
        let sequence = self.sequence;
        let event = Event {
            sequence,
            op,
            piece,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}

/// Returns the hashes of a prompt's whole pieces; each covers all before it.
pub(crate) fn piece_chain(salt: &str, weight_version: &str, prompt: &str) -> Vec<String> {
    let mut hasher = DefaultHasher::new();
    (salt, weight_version).hash(&mut hasher);
    let pieces = prompt.as_bytes().chunks_exact(PIECE_BYTES);
    let chain = pieces.map(|piece| {
        hasher.write(piece);
        format!("{:016x}", hasher.finish())
    });
    chain.collect()
}

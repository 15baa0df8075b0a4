//! Bounded map that approximates least-recently-used eviction with two generations.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use super::PrefixHash;

/// Bounded map of two generations.
///
/// Used entries move into the young generation. When that is full, the old generation is dropped
/// and the young one takes its place.
#[derive(Debug)]
pub(crate) struct GenerationalMap<V> {
    entries_per_generation_max: usize,
    young: Map<V>,
    old: Map<V>,
}

type Map<V> = HashMap<PrefixHash, V, BuildHasherDefault<IdentityHasher>>;

/// Hasher for keys that are hashes already.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

impl<V> GenerationalMap<V> {
    /// Creates a map of up to `entries_max` entries, rounded up to an even number.
    ///
    /// Allocates all memory at once.
    pub(crate) fn new(entries_max: usize) -> Self {
        let half = entries_max.div_ceil(2).max(1);
        Self {
            entries_per_generation_max: half,
            young: Map::with_capacity_and_hasher(half, BuildHasherDefault::default()),
            old: Map::with_capacity_and_hasher(half, BuildHasherDefault::default()),
        }
    }

    /// Returns an entry without marking it as used.
    pub(crate) fn peek(&self, key: PrefixHash) -> Option<&V> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// Returns an entry and marks it as used.
    pub(crate) fn get_mut(&mut self, key: PrefixHash) -> Option<&mut V> {
        if !self.young.contains_key(&key) {
            let value = self.old.remove(&key)?;
            self.insert(key, value);
        }
        self.young.get_mut(&key)
    }

    /// Inserts or replaces an entry and marks it as used.
    pub(crate) fn insert(&mut self, key: PrefixHash, value: V) {
        if self.young.len() >= self.entries_per_generation_max && !self.young.contains_key(&key) {
            std::mem::swap(&mut self.young, &mut self.old);
            self.young.clear();
        }
        self.young.insert(key, value);
    }
}

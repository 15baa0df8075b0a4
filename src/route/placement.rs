//! Consistent placement of prefixes on engines, computed identically by every VM.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::PrefixHash;
use crate::document::Snapshot;
use crate::ids::ModelId;

/// Number of slots of the lookup table; a prime well above the number of engines.
const TABLE_SLOTS: usize = 65_537;
/// Seed of the second hash of an engine's name.
const STEP_SEED: u64 = 1;
/// Odd multiplier that spreads the ranks of one prefix over the table.
const RANK_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Maglev lookup table.
///
/// It is filled evenly, and a change of the set of engines changes few of its slots.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    slots: Vec<u16>,
}

/// Placements of a configuration, by model.
pub(super) type Placements = HashMap<ModelId, Placement>;

/// Builds the placements of all models of a configuration.
pub(super) fn build_placements(snapshot: &Snapshot) -> Placements {
    let models = snapshot.document.models.keys();
    let place = |model: &ModelId| {
        let names = snapshot.engines_for(model).map(|(id, _)| id.as_str());
        (model.clone(), Placement::new(names))
    };
    models.map(place).collect()
}

impl Placement {
    /// Builds the table for engines with the given names; it contains their positions.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut sequences: Vec<SlotSequence> = names.into_iter().map(SlotSequence::new).collect();
        if sequences.is_empty() {
            return Self::default();
        }
        let mut slots = vec![u16::MAX; TABLE_SLOTS];
        let mut free = TABLE_SLOTS;
        while free > 0 {
            for (index, sequence) in sequences.iter_mut().enumerate().take(free) {
                let slot = sequence.next_free(&slots);
                slots[slot] = index as u16;
            }
            free = free.saturating_sub(sequences.len());
        }
        Self { slots }
    }

    /// Returns the position of a prefix's engine at a rank; different ranks may yield one engine.
    pub fn engine(&self, prefix: PrefixHash, rank: usize) -> Option<usize> {
        let mixed =
            (prefix ^ (rank as u64).wrapping_mul(RANK_MULTIPLIER)).wrapping_mul(RANK_MULTIPLIER);
        let slot = (u128::from(mixed) * self.slots.len() as u128) >> 64;
        self.slots
            .get(slot as usize)
            .map(|index| usize::from(*index))
    }
}

/// Sequence in which one engine claims slots of the table.
struct SlotSequence {
    next: usize,
    step: usize,
}

impl SlotSequence {
    fn new(name: &str) -> Self {
        let step = xxh3_64_with_seed(name.as_bytes(), STEP_SEED) % (TABLE_SLOTS as u64 - 1) + 1;
        Self {
            next: (xxh3_64(name.as_bytes()) % TABLE_SLOTS as u64) as usize,
            step: step as usize,
        }
    }

    fn next_free(&mut self, slots: &[u16]) -> usize {
        loop {
            let slot = self.next;
            self.next = (self.next + self.step) % TABLE_SLOTS;
            if slots[slot] == u16::MAX {
                return slot;
            }
        }
    }
}

//! What a VM knows of the slots: their records and its own parts.

use std::collections::HashMap;

use super::assignment::{Slot, SlotRecord, rendezvous_weight, slot_of};
use super::wire::Process;
use super::{HeldShare, PartsPerMillion, RateShare};
use crate::clock::Instant;
use crate::document::Customer;
use crate::ids::ObjectVersion;

/// Records of the slots as last read, and this process's parts.
#[derive(Debug)]
pub struct SlotTable {
    own_process: Process,
    slots: HashMap<Slot, SlotState>,
}

#[derive(Debug, Clone)]
struct SlotState {
    version: ObjectVersion,
    record: SlotRecord,
    held: Option<OwnShare>,
}

/// Part that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OwnShare {
    parts_per_million: PartsPerMillion,
    since: Instant,
    is_first: bool,
}

/// What a record changed for this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareChange {
    /// Nothing.
    None,
    /// It holds a part, or a larger one.
    Received,
    /// It holds no part any more.
    Lost,
}

impl SlotTable {
    /// Creates a table that knows no slot.
    pub fn new(own_process: Process) -> Self {
        Self {
            own_process,
            slots: HashMap::new(),
        }
    }

    /// Returns the process whose parts these are.
    pub fn own_process(&self) -> &Process {
        &self.own_process
    }

    /// Drops the parts of a process that was fenced; those of `me` come with later records.
    pub fn set_own_process(&mut self, own_process: Process) {
        self.own_process = own_process;
        for known in self.slots.values_mut() {
            known.held = None;
        }
    }

    /// Takes a record in, unless a newer one is known.
    pub fn apply_record(
        &mut self,
        slot: Slot,
        version: ObjectVersion,
        record: SlotRecord,
        now: Instant,
    ) -> ShareChange {
        let known = self.slots.get(&slot);
        if known.is_some_and(|known| known.version >= version) {
            return ShareChange::None;
        }
        let before = known.and_then(|known| known.held);
        let held = record
            .share_of(&self.own_process)
            .map(|share| match before {
                Some(before) if before.parts_per_million >= share.parts_per_million => OwnShare {
                    parts_per_million: share.parts_per_million,
                    ..before
                },
                _ => OwnShare {
                    parts_per_million: share.parts_per_million,
                    since: now,
                    is_first: share.is_first && before.is_none(),
                },
            });
        let change = match (before, held) {
            (Some(_), None) => ShareChange::Lost,
            (None, Some(_)) => ShareChange::Received,
            (Some(before), Some(held)) if held.parts_per_million > before.parts_per_million => {
                ShareChange::Received
            }
            _ => ShareChange::None,
        };
        let known = SlotState {
            version,
            record,
            held,
        };
        self.slots.insert(slot, known);
        change
    }

    /// Lowers this process's part ahead of the record, so that the record may be written.
    pub fn reduce_share(&mut self, slot: Slot, parts_per_million: PartsPerMillion) {
        let known = self.slots.get_mut(&slot);
        if let Some(held) = known.and_then(|known| known.held.as_mut()) {
            held.parts_per_million = held.parts_per_million.min(parts_per_million);
        }
    }

    /// Returns whether this process's part was lowered ahead of the record.
    pub fn is_reduced(&self, slot: Slot) -> bool {
        let Some(known) = self.slots.get(&slot) else {
            return false;
        };
        let stored = known.record.share_of(&self.own_process);
        let held = known.held.map(|held| held.parts_per_million);
        held.is_some_and(|held| stored.is_some_and(|share| held < share.parts_per_million))
    }

    /// Returns what this process holds of a customer's rate.
    pub fn held_share(&self, id: &str, customer: &Customer) -> Option<HeldShare> {
        let held = self.slots.get(&slot_of(id))?.held?;
        Some(HeldShare {
            share: RateShare {
                rate_tokens_per_s: customer.rate_tokens_per_s,
                burst_tokens: customer.burst_tokens,
                parts_per_million: held.parts_per_million,
            },
            since: held.since,
            is_first: held.is_first,
        })
    }

    /// Returns the holders of a customer's rate: this process first, then by a hash of both ends so
    /// that borrowers spread over the holders.
    pub fn holders(&self, id: &str) -> Vec<Process> {
        let slot = slot_of(id);
        let shares = self.slots.get(&slot).map(|known| &known.record.shares);
        let mut holders: Vec<_> = shares
            .into_iter()
            .flatten()
            .filter(|share| share.parts_per_million > 0)
            .map(|share| share.holder.clone())
            .collect();
        holders.sort_by_key(|holder| {
            let ends = format!("{}\0{}", self.own_process.vm, holder.vm);
            (*holder != self.own_process, rendezvous_weight(slot, &ends))
        });
        holders
    }

    /// Returns the record of a slot with its version; 0 stands for none.
    pub fn record(&self, slot: Slot) -> (ObjectVersion, Option<&SlotRecord>) {
        match self.slots.get(&slot) {
            Some(known) => (known.version, Some(&known.record)),
            None => (0, None),
        }
    }
}

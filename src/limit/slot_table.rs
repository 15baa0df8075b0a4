//! Slot records known to this VM, and its own shares.

use std::collections::HashMap;

use super::assignment::{Slot, SlotRecord, rendezvous_weight, slot_of};
use super::wire::Process;
use super::{HeldShare, PartsPerMillion, RateShare};
use crate::clock::Instant;
use crate::document::Customer;
use crate::ids::ObjectVersion;

/// Latest known record of each slot, and the shares that this process holds.
#[derive(Debug)]
pub struct SlotTable {
    own_process: Process,
    slots: HashMap<Slot, SlotState>,
}

#[derive(Debug, Clone)]
struct SlotState {
    version: ObjectVersion,
    record: SlotRecord,
    own_share: Option<OwnShare>,
}

/// Share of a slot that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OwnShare {
    parts_per_million: PartsPerMillion,
    since: Instant,
    is_first: bool,
}

/// Change of this process's share that a record brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareChange {
    /// The share did not grow and was not lost.
    None,
    /// The process received a share, or a larger one.
    Received,
    /// The process no longer holds a share.
    Lost,
}

impl SlotTable {
    /// Creates an empty table.
    pub fn new(own_process: Process) -> Self {
        Self {
            own_process,
            slots: HashMap::new(),
        }
    }

    /// Returns the process whose shares the table tracks.
    pub fn own_process(&self) -> &Process {
        &self.own_process
    }

    /// Replaces the process after it was fenced, and drops all its shares.
    ///
    /// Shares of the new process follow from later records.
    pub fn set_own_process(&mut self, own_process: Process) {
        self.own_process = own_process;
        for known in self.slots.values_mut() {
            known.own_share = None;
        }
    }

    /// Stores a record unless it is not newer than the known one; returns the change of own share.
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
        let before = known.and_then(|known| known.own_share);
        let own_share = record
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
        let change = match (before, own_share) {
            (Some(_), None) => ShareChange::Lost,
            (None, Some(_)) => ShareChange::Received,
            (Some(before), Some(own_share))
                if own_share.parts_per_million > before.parts_per_million =>
            {
                ShareChange::Received
            }
            _ => ShareChange::None,
        };
        let known = SlotState {
            version,
            record,
            own_share,
        };
        self.slots.insert(slot, known);
        change
    }

    /// Reduces this process's share, before the record that says so is written.
    pub fn reduce_share(&mut self, slot: Slot, parts_per_million: PartsPerMillion) {
        let known = self.slots.get_mut(&slot);
        if let Some(own_share) = known.and_then(|known| known.own_share.as_mut()) {
            own_share.parts_per_million = own_share.parts_per_million.min(parts_per_million);
        }
    }

    /// Returns whether this process's share is smaller than its record says.
    pub fn is_reduced(&self, slot: Slot) -> bool {
        let Some(known) = self.slots.get(&slot) else {
            return false;
        };
        let stored = known.record.share_of(&self.own_process);
        let own_share = known.own_share.map(|own_share| own_share.parts_per_million);
        own_share.is_some_and(|own_share| {
            stored.is_some_and(|share| own_share < share.parts_per_million)
        })
    }

    /// Returns this process's share of a customer's rate, if it holds one.
    pub fn held_share(&self, id: &str, customer: &Customer) -> Option<HeldShare> {
        let own_share = self.slots.get(&slot_of(id))?.own_share?;
        Some(HeldShare {
            share: RateShare {
                rate_tokens_per_s: customer.rate_tokens_per_s,
                burst_tokens: customer.burst_tokens,
                parts_per_million: own_share.parts_per_million,
            },
            since: own_share.since,
            is_first: own_share.is_first,
        })
    }

    /// Returns the holders of a customer's rate in the order in which to borrow from them.
    ///
    /// This process comes first. The others are ordered by a hash of borrower and holder, so that
    /// the borrowers spread over the holders.
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
            let pair = format!("{}\0{}", self.own_process.vm, holder.vm);
            (*holder != self.own_process, rendezvous_weight(slot, &pair))
        });
        holders
    }

    /// Returns a slot's record with its version; the version is 0 if there is no record.
    pub fn record(&self, slot: Slot) -> (ObjectVersion, Option<&SlotRecord>) {
        match self.slots.get(&slot) {
            Some(known) => (known.version, Some(&known.record)),
            None => (0, None),
        }
    }
}

//! Decides what fits into the memory budget and what is evicted for it.

use std::collections::{BTreeSet, HashMap};

use super::limits::MemoryLimits;
use crate::clock::Instant;

/// Size up to which a body or a response is small: room for it is not taken by larger ones.
const SMALL_MAX_BYTES: usize = 16 * 1024;

/// Identifies a body or a response in the ledger.
pub type HolderId = u64;

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderKind {
    /// Body of a request.
    Request,
    /// Response to a caller.
    Response,
}

/// Holder that was evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Eviction {
    /// The holder, which is no longer in the ledger.
    pub id: HolderId,
    /// What it held memory for.
    pub kind: HolderKind,
}

/// The memory is used up by what cannot be evicted, or the holder itself was evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the memory for bodies and responses is used up")]
pub struct MemoryExhausted;

/// Part of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartName {
    Small,
    Requests,
    Responses,
}

#[derive(Debug, Default)]
struct Part {
    limit_bytes: usize,
    held_bytes: usize,
    evictable_bytes: usize,
    /// Holders that may be evicted, the one without progress for longest first.
    evictable: BTreeSet<(Instant, HolderId)>,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    kind: HolderKind,
    bytes: usize,
    progress_at: Instant,
    is_evictable: bool,
}

/// Memory held by each body and response, in the parts of the budget.
#[derive(Debug)]
pub struct MemoryLedger {
    small: Part,
    requests: Part,
    responses: Part,
    holders: HashMap<HolderId, Holder>,
    next_id: HolderId,
}

impl MemoryLedger {
    /// Creates a ledger without holders.
    pub fn new(limits: &MemoryLimits) -> Self {
        let part = |limit_bytes| Part {
            limit_bytes,
            ..Part::default()
        };
        Self {
            small: part(limits.small_bytes),
            requests: part(limits.requests_bytes),
            responses: part(limits.responses_bytes),
            holders: HashMap::new(),
            next_id: 0,
        }
    }

    /// Adds a holder that holds nothing yet.
    pub fn add(&mut self, kind: HolderKind, is_evictable: bool, now: Instant) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder {
            kind,
            bytes: 0,
            progress_at: now,
            is_evictable,
        };
        self.insert(id, holder);
        id
    }

    /// Sets the memory of a holder, which counts as progress, and returns what was evicted for it.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if the holder was evicted, or if there is no room and evicting
    /// others would not make enough; nothing changes then. Small responses always get room: their
    /// requests have run, and their number is that of the connections.
    pub fn resize(
        &mut self,
        id: HolderId,
        bytes: usize,
        now: Instant,
    ) -> Result<Vec<Eviction>, MemoryExhausted> {
        let holder = self.remove(id).ok_or(MemoryExhausted)?;
        let grown = Holder {
            bytes,
            progress_at: now,
            ..holder
        };
        let is_required = grown.kind == HolderKind::Response && bytes <= SMALL_MAX_BYTES;
        let part = self.part(part_of(&grown));
        let free_bytes = part.limit_bytes.saturating_sub(part.held_bytes);
        let is_room = bytes <= free_bytes + part.evictable_bytes || bytes <= holder.bytes;
        if !is_room && !is_required {
            self.insert(id, holder);
            return Err(MemoryExhausted);
        }
        let evicted = self.make_room(part_of(&grown), bytes);
        self.insert(id, grown);
        Ok(evicted)
    }

    /// Sets whether a holder may be evicted, which counts as progress.
    pub fn set_evictable(&mut self, id: HolderId, is_evictable: bool, now: Instant) {
        if let Some(holder) = self.remove(id) {
            let holder = Holder {
                is_evictable,
                progress_at: now,
                ..holder
            };
            self.insert(id, holder);
        }
    }

    /// Records that a holder has made progress.
    pub fn record_progress(&mut self, id: HolderId, now: Instant) {
        if let Some(holder) = self.remove(id) {
            let holder = Holder {
                progress_at: now,
                ..holder
            };
            self.insert(id, holder);
        }
    }

    /// Removes a holder and returns whether it had not been evicted.
    pub fn release(&mut self, id: HolderId) -> bool {
        self.remove(id).is_some()
    }

    /// Returns the memory held in all parts.
    pub fn held_bytes(&self) -> usize {
        self.small.held_bytes + self.requests.held_bytes + self.responses.held_bytes
    }

    fn make_room(&mut self, name: PartName, bytes: usize) -> Vec<Eviction> {
        let mut evicted = Vec::new();
        loop {
            let part = self.part(name);
            if part.held_bytes + bytes <= part.limit_bytes {
                return evicted;
            }
            let Some(&(_, id)) = part.evictable.first() else {
                return evicted;
            };
            if let Some(holder) = self.remove(id) {
                let kind = holder.kind;
                evicted.push(Eviction { id, kind });
            }
        }
    }

    fn insert(&mut self, id: HolderId, holder: Holder) {
        let part = self.part(part_of(&holder));
        part.held_bytes += holder.bytes;
        if is_listed(&holder) {
            part.evictable_bytes += holder.bytes;
            part.evictable.insert((holder.progress_at, id));
        }
        self.holders.insert(id, holder);
    }

    fn remove(&mut self, id: HolderId) -> Option<Holder> {
        let holder = self.holders.remove(&id)?;
        let part = self.part(part_of(&holder));
        part.held_bytes -= holder.bytes;
        if is_listed(&holder) {
            part.evictable_bytes -= holder.bytes;
            part.evictable.remove(&(holder.progress_at, id));
        }
        Some(holder)
    }

    fn part(&mut self, name: PartName) -> &mut Part {
        match name {
            PartName::Small => &mut self.small,
            PartName::Requests => &mut self.requests,
            PartName::Responses => &mut self.responses,
        }
    }
}

fn part_of(holder: &Holder) -> PartName {
    match holder.kind {
        _ if holder.bytes <= SMALL_MAX_BYTES => PartName::Small,
        HolderKind::Request => PartName::Requests,
        HolderKind::Response => PartName::Responses,
    }
}

/// Returns whether evicting the holder makes room.
fn is_listed(holder: &Holder) -> bool {
    holder.is_evictable && holder.bytes > 0
}

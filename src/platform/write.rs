//! Outcomes of writes, and how a lost answer is resolved by reading back.

use super::{Kind, Object};
use crate::ids::{ObjectVersion, WriteId};

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect and got this version.
    Applied(ObjectVersion),
    /// The object has another version, or is absent, and the write had no effect.
    Conflict(Option<Object>),
    /// The write had no effect and never will.
    ///
    /// **NOTE:** the object's version may have risen, with its value unchanged.
    NotApplied,
    /// It is not known whether the write took or will take effect.
    Unknown,
}

/// Outcome of a conditional deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeleteOutcome {
    /// The object was deleted at this version of the store.
    Deleted(ObjectVersion),
    /// The object has another version and stays.
    Conflict(Object),
    /// There was no such object.
    Missing,
    /// It is not known whether the deletion took or will take effect.
    Unknown,
}

/// One conditional write and the barriers sent after it.
#[derive(Debug)]
pub(super) struct ConditionalWrite {
    pub(super) kind: Kind,
    pub(super) name: String,
    pub(super) expected_version: ObjectVersion,
    pub(super) write_id: WriteId,
    pub(super) barrier_ids: Vec<WriteId>,
}

/// What the object as read back says about a write whose answer was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReadBackResult {
    /// The outcome is known, or known to be lost.
    Final(PutOutcome),
    /// The write had no effect so far but could still arrive; a barrier may exclude that.
    Pending(Object),
}

impl ConditionalWrite {
    /// Judges the object as read back.
    ///
    /// A barrier rewrites the unchanged value under the same expected version. Once it took effect,
    /// that version is gone for good and the delayed write can only conflict. An absent object has
    /// no such version: creating and deleting it would leave version 0 open to the delayed write.
    pub(super) fn classify(&self, current: Option<Object>) -> ReadBackResult {
        match current {
            Some(object) if object.write_id == self.write_id => {
                ReadBackResult::Final(PutOutcome::Applied(object.version))
            }
            Some(object) if self.barrier_ids.contains(&object.write_id) => {
                ReadBackResult::Final(PutOutcome::NotApplied)
            }
            Some(object) if object.version == self.expected_version => {
                ReadBackResult::Pending(object)
            }
            _ => ReadBackResult::Final(PutOutcome::Unknown),
        }
    }
}

/// Returns a write id that no other write has.
pub(super) fn new_write_id() -> WriteId {
    format!("{:032x}", rand::random::<u128>())
}

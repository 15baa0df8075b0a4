//! Outcomes of writes, and how the outcome is found by reading back after a lost response.

use super::{Kind, Object};
use crate::ids::{ObjectVersion, WriteId};

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write was applied, and the object now has this version.
    Applied(ObjectVersion),
    /// The object has another version or does not exist, and the write was not applied.
    ///
    /// Carries the current object, or `None` if it does not exist.
    Conflict(Option<Object>),
    /// The write was not applied and can no longer be applied.
    ///
    /// **NOTE:** the object's version may have increased with its value unchanged.
    NotApplied,
    /// It is not known whether the write was applied or will still be applied.
    Unknown,
}

/// Outcome of a conditional deletion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeleteOutcome {
    /// The object was deleted at this version of the store.
    Deleted(ObjectVersion),
    /// The object has another version and was not deleted.
    Conflict(Object),
    /// The object does not exist.
    Missing,
    /// It is not known whether the deletion was applied or will still be applied.
    Unknown,
}

/// Conditional write, and the write ids of the barriers sent after it.
#[derive(Debug)]
pub(super) struct ConditionalWrite {
    pub(super) kind: Kind,
    pub(super) name: String,
    pub(super) expected_version: ObjectVersion,
    pub(super) write_id: WriteId,
    pub(super) barrier_ids: Vec<WriteId>,
}

/// Conclusion from the object read back about a write whose response was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReadBackResult {
    /// Reading back again cannot change the outcome, which may be [`PutOutcome::Unknown`].
    Final(PutOutcome),
    /// The write was not applied so far but could still arrive; a barrier can rule that out.
    Pending(Object),
}

impl ConditionalWrite {
    /// Determines the outcome of the write from the object read back.
    ///
    /// A barrier writes the unchanged value with the same expected version. Once a barrier is
    /// applied, the object never has that version again, and the delayed write can only conflict.
    /// This is not possible for an absent object: after creating and deleting it, its version would
    /// be 0 again, and the delayed write would be applied.
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

/// Returns a random write id, unique to one write.
pub(super) fn new_write_id() -> WriteId {
    format!("{:032x}", rand::random::<u128>())
}

//! Positions in the history of a store that may be restored from an older copy.
//!
//! Load pattern: the store is away for a moment and returns from a copy that lacks the last seconds.
//! Revisions that the fleet has seen are then given out again. The store counts its restores in an
//! era, and a revision means something only together with its era. Both are kept in one number that
//! orders them, so that every comparison of positions, in mirrors, heartbeats, relays and leases,
//! compares the eras first.

use serde::{Serialize, Serializer};

use crate::ids::{ObjectVersion, StoreEra};

/// Number of low bits of a position that hold the revision.
const REVISION_BITS: u32 = 44;
/// Highest revision that a position can hold.
const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;
/// Highest era that a position can hold.
const ERA_MAX: StoreEra = u64::MAX >> REVISION_BITS;

/// Returns the position of a revision within an era; `None` if one of them is too large.
///
/// Revision 0, which stands for an absent object or listing, is position 0 in every era.
pub fn store_position(era: StoreEra, revision: u64) -> Option<ObjectVersion> {
    match revision {
        0 => Some(0),
        _ if era > ERA_MAX || revision > REVISION_MAX => None,
        _ => Some(era << REVISION_BITS | revision),
    }
}

/// Returns the era of a position.
pub fn era_of(position: ObjectVersion) -> StoreEra {
    position >> REVISION_BITS
}

/// Returns the revision of a position within its era.
pub fn revision_of(position: ObjectVersion) -> u64 {
    position & REVISION_MAX
}

/// Serializes a position for a log line: the revision alone in a store without eras, else
/// `ERA/REVISION`.
pub(crate) fn serialize_position<S: Serializer>(
    position: &ObjectVersion,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match era_of(*position) {
        0 => position.serialize(serializer),
        era => serializer.collect_str(&format_args!("{era}/{}", revision_of(*position))),
    }
}

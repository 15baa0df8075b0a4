//! Messages about the origins of streams.

use serde::{Deserialize, Serialize};

use super::origin::{StreamKey, StreamOrigin};
use super::snapshot::HistorySnapshot;
use crate::ids::ObjectVersion;

/// Request to keep the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct OriginRecord {
    pub(super) id: u64,
    pub(super) key: StreamKey,
    pub(super) origin: StreamOrigin,
    pub(super) kept_ms: u32,
}

/// Request for the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct OriginLookup {
    pub(super) id: u64,
    pub(super) key: StreamKey,
}

/// Reply to a VM that has started and asks what others have seen.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct HistoryReply {
    /// Version of the configuration that the sender has in force.
    pub(super) config: ObjectVersion,
    pub(super) snapshot: HistorySnapshot,
}

//! Record of a VM as it stands in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};
use crate::platform::Object;

/// Whether a VM may still spend what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// It may, while its lease holds.
    Active,
    /// It may, while its lease holds, and hands over what it holds.
    Leaving,
    /// It may not; what it held may be reassigned.
    Fenced,
}

/// VM that is asked before another one's record is fenced.
///
/// **NOTE:** a witness is known by its address, since two processes of one name may run at once but
/// only one can have bound an address.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WitnessId {
    /// Address of its listener for peers.
    pub peer_address: SocketAddr,
    /// Name of the VM.
    pub vm: VmId,
}

/// Content of a VM's record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation that the record speaks of.
    pub incarnation: Incarnation,
    /// Address of its listener for peers, if it has one.
    pub peer_address: Option<SocketAddr>,
    /// Where it runs.
    pub availability_zone: AvailabilityZoneId,
    /// Renewals of this incarnation.
    pub renewals: u64,
    /// Witnesses whose strict majority keeps the VM going and is needed to fence it.
    pub witnesses: Vec<WitnessId>,
    /// State of the incarnation.
    pub state: RecordState,
    /// Version of the operators' document in force at the last renewal.
    pub document_version: ObjectVersion,
}

impl VmRecord {
    /// Returns whether the incarnation may still spend what it holds.
    pub fn is_alive(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation && self.state != RecordState::Fenced
    }

    /// Returns the record in the fenced state.
    pub(crate) fn to_fenced(&self) -> Self {
        Self {
            state: RecordState::Fenced,
            ..self.clone()
        }
    }
}

/// A VM's record as read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecordObject {
    /// Version of the object; 0 where it is absent.
    pub version: ObjectVersion,
    /// Its record, or nothing where it is absent or malformed.
    pub record: Option<VmRecord>,
}

impl RecordObject {
    /// Returns whether what an incarnation held may be reassigned.
    ///
    /// An incarnation is only ever replaced after it was fenced, or by a process that bound the
    /// same address. Records are never deleted, so an absent one is a stale read and, like a
    /// malformed one, proves nothing.
    pub fn is_reclaimable(&self, incarnation: Incarnation) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| !record.is_alive(incarnation))
    }
}

impl From<Option<Object>> for RecordObject {
    fn from(object: Option<Object>) -> Self {
        object.map_or_else(Self::default, |object| Self {
            version: object.version,
            record: serde_json::from_str(&object.value).ok(),
        })
    }
}

/// Outcome of a conditional write of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordWriteOutcome {
    /// It took effect and got this version.
    Applied(ObjectVersion),
    /// It had no effect; the record stands as given.
    Conflict(RecordObject),
    /// It had no effect and never will.
    NotApplied,
    /// It may have taken effect, or may yet.
    Unknown,
}

//! Record of a VM in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};
use crate::platform::Object;

/// State of the incarnation in a [`VmRecord`], which decides whether the VM may use its resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The VM may use its resources while its lease is valid.
    Active,
    /// The VM is shutting down: it may use its resources while its lease is valid, and hands them
    /// over.
    Leaving,
    /// The VM may not use its resources, which may be reassigned.
    Fenced,
}

/// Witness of another VM: it votes before that VM's record is fenced.
///
/// A witness is identified by its address: two processes with the same VM name may run at once, but
/// only one of them can have bound the address.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WitnessId {
    /// Address of its peer listener.
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
    /// Incarnation that the record describes.
    pub incarnation: Incarnation,
    /// Address of its peer listener, if it has one.
    pub peer_address: Option<SocketAddr>,
    /// Availability zone in which the VM runs.
    pub availability_zone: AvailabilityZoneId,
    /// Number of lease renewals of this incarnation.
    pub renewals: u64,
    /// Witnesses; a strict majority of them can extend the lease, and must agree before the record
    /// is fenced.
    pub witnesses: Vec<WitnessId>,
    /// State of the incarnation.
    pub state: RecordState,
    /// Version of the operators' document in force at the last renewal.
    pub document_version: ObjectVersion,
}

impl VmRecord {
    /// Returns whether the record names this incarnation and is not fenced.
    pub fn is_alive(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation && self.state != RecordState::Fenced
    }

    /// Returns a copy of the record in the fenced state.
    pub(crate) fn to_fenced(&self) -> Self {
        Self {
            state: RecordState::Fenced,
            ..self.clone()
        }
    }
}

/// A VM's record as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecordObject {
    /// Version of the object; 0 if the object is absent.
    pub version: ObjectVersion,
    /// Parsed record; `None` if the object is absent or malformed.
    pub record: Option<VmRecord>,
}

impl RecordObject {
    /// Returns whether the resources of an incarnation may be reassigned.
    ///
    /// An incarnation is replaced only after it was fenced, or by a process that bound the same
    /// address. Records are never deleted, so an absent record is a stale read; neither an absent
    /// nor a malformed record shows that the incarnation was fenced.
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
    /// The write was applied; the record now has this version.
    Applied(ObjectVersion),
    /// The write was not applied; the stored record is the one given.
    Conflict(RecordObject),
    /// The write was not applied and never will be.
    NotApplied,
    /// The write may have been applied or may still be applied.
    Unknown,
}

//! Lease object of the steward in the store.

use std::fmt::Display;

use serde::{Deserialize, Serialize};

use crate::ids::{FencingNumber, Incarnation, ObjectVersion, VmId};
use crate::platform::Object;

/// Process that holds the lease or is a candidate for it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseHolder {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Content of the lease object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Holder of the lease; `None` once released.
    pub holder: Option<LeaseHolder>,
    /// Fencing number of the current term; it increases with each term.
    pub fencing_number: FencingNumber,
    /// Number of renewals within the term.
    pub renewal_count: u64,
    /// Time for which no holder can have acted, as of the write of this record; `None` from the
    /// moment the holder may act, and in records that do not track it.
    pub idle_ms: Option<u64>,
}

/// Lease object as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseObject {
    /// Version of the object; 0 if the object is absent.
    pub version: ObjectVersion,
    /// Parsed record; `None` if the object is absent or malformed.
    pub record: Option<LeaseRecord>,
    /// Parse error of a malformed record.
    pub parse_error: Option<String>,
}

impl LeaseObject {
    /// Creates a lease object from the result of parsing its record.
    pub fn parsed(version: ObjectVersion, record: Result<LeaseRecord, impl Display>) -> Self {
        let (record, parse_error) = match record {
            Ok(record) => (Some(record), None),
            Err(error) => (None, Some(error.to_string())),
        };
        Self {
            version,
            record,
            parse_error,
        }
    }
}

impl From<Option<Object>> for LeaseObject {
    fn from(object: Option<Object>) -> Self {
        object.map_or_else(Self::default, |object| {
            Self::parsed(object.version, serde_json::from_str(&object.value))
        })
    }
}

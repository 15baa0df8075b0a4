//! Lease as it stands in the store.

use std::fmt::Display;

use serde::{Deserialize, Serialize};

use crate::ids::{FencingNumber, Incarnation, ObjectVersion, VmId};
use crate::platform::Object;

/// Process that holds or wants the lease.
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
    /// Holder, or nothing once released.
    pub holder: Option<LeaseHolder>,
    /// Number of the present term; it rises with each new holder.
    pub fencing_number: FencingNumber,
    /// Renewals within the term.
    pub renewal_count: u64,
}

/// Lease object as read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseObject {
    /// Version of the object; 0 where it is absent.
    pub version: ObjectVersion,
    /// Its record, or nothing where it is absent or malformed.
    pub record: Option<LeaseRecord>,
    /// Why the record is malformed, where it is.
    pub parse_error: Option<String>,
}

impl LeaseObject {
    /// Creates an object from what its record was parsed to.
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

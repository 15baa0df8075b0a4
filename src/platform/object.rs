//! Objects of the store, and the validation of each response.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::StoreError;
use crate::ids::{AvailabilityZoneId, ObjectVersion, VmId, WriteId};

/// Maximum size of a value that the store accepts.
pub(crate) const VALUE_MAX_BYTES: usize = 1_048_576;

const NAME_MAX_BYTES: usize = 200;

/// Kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operators' document.
    Document,
    /// An earlier version of the operators' document.
    History,
    /// A VM's own record.
    Vm,
    /// The shares of customers' rates that VMs hold, one object per slot.
    Share,
    /// A lease.
    Lease,
    /// A claim on an idempotency key.
    Claim,
    /// State shown to operators.
    Status,
}

impl Kind {
    /// Returns the kind's name, as used in paths.
    pub fn name(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::History => "history",
            Self::Vm => "vm",
            Self::Share => "share",
            Self::Lease => "lease",
            Self::Claim => "claim",
            Self::Status => "status",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Versioned object of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: Kind,
    /// Name within the kind.
    pub name: String,
    /// Version assigned by the last write.
    pub version: ObjectVersion,
    /// Identifier of the last write.
    pub write_id: WriteId,
    /// Content.
    pub value: String,
}

/// Objects of one kind at one version of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Version of the store that the listing shows.
    pub version: ObjectVersion,
    /// Objects of the listing.
    pub items: Vec<Object>,
}

/// State of a VM as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be replaced.
    Leaving,
}

/// VM as listed by the platform. The list lags behind the real state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmListing {
    /// Name of the VM.
    pub vm: VmId,
    /// Address at which peers reach the VM.
    pub address: SocketAddr,
    /// Availability zone in which the VM runs.
    pub availability_zone: AvailabilityZoneId,
    /// State of the VM.
    pub state: VmState,
}

impl Object {
    /// Checks that this is the requested object, that its version is above 0 and that its value is
    /// within the size limit.
    pub(super) fn validate(self, kind: Kind, name: &str) -> Result<Self, StoreError> {
        if self.kind != kind || self.name != name {
            let message = format!("requested {kind}/{name}, got {}/{}", self.kind, self.name);
            return Err(StoreError::InvalidResponse(message));
        }
        if self.version == 0 {
            return Err(StoreError::InvalidResponse(
                "object has version 0: expected above 0".into(),
            ));
        }
        check_received_size(&self.value)?;
        Ok(self)
    }
}

impl Listing {
    /// Checks that the listing is not older than `after`, and that every item is of `kind` and was
    /// changed after `after` and up to the listing's version.
    pub(super) fn validate(self, kind: Kind, after: ObjectVersion) -> Result<Self, StoreError> {
        if self.version < after {
            let message = format!(
                "listing has version {}: expected at least {after}",
                self.version
            );
            return Err(StoreError::InvalidResponse(message));
        }
        for item in &self.items {
            let is_in_range = item.version > after && item.version <= self.version;
            if item.kind != kind || !is_in_range {
                let message = format!(
                    "listing of {kind} has unexpected object {}/{}",
                    item.kind, item.name
                );
                return Err(StoreError::InvalidResponse(message));
            }
            check_received_size(&item.value)?;
        }
        Ok(self)
    }
}

fn check_received_size(value: &str) -> Result<(), StoreError> {
    if value.len() > VALUE_MAX_BYTES {
        return Err(StoreError::InvalidResponse(
            "value exceeds the store's size limit".into(),
        ));
    }
    Ok(())
}

/// Checks that a value to write is within the store's size limit.
pub(super) fn check_value(value: &str) -> Result<(), StoreError> {
    if value.len() > VALUE_MAX_BYTES {
        return Err(StoreError::ValueTooLarge {
            size_bytes: value.len(),
            limit_bytes: VALUE_MAX_BYTES,
        });
    }
    Ok(())
}

/// Checks that a name needs no escaping in a path.
pub(super) fn check_name(name: &str) -> Result<(), StoreError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-~:".contains(&byte);
    let is_dots_only = name.bytes().all(|byte| byte == b'.');
    if is_dots_only || name.len() > NAME_MAX_BYTES || !name.bytes().all(is_allowed) {
        return Err(StoreError::NameInvalid(name.to_owned()));
    }
    Ok(())
}

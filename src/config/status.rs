//! Status object that an entry writes to the store whenever its state changes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::entry::App;
use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};
use crate::platform::{Kind, PutOutcome, StoreClient, StoreError};

/// Time between two checks whether the status has changed.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// State of an entry, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// The entry accepts requests.
    Serving,
    /// The entry finishes the requests in flight before it stops.
    Draining,
}

/// Status of one entry, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of the entry process, which grows with each start.
    pub incarnation: Incarnation,
    /// Availability zone in which the VM runs.
    pub availability_zone: AvailabilityZoneId,
    /// Version of the document in force; 0 before the first.
    pub document_version: ObjectVersion,
    /// State of the entry.
    pub state: EntryState,
}

/// Writes the status to the store after each change; runs until dropped.
///
/// A failed write is repeated at the next check, with the current version after a conflict.
pub async fn report_status(store: StoreClient, app: Arc<App>) {
    let mut written = None;
    let mut version = 0;
    loop {
        let status = app.status();
        if written.as_ref() != Some(&status) {
            match write_status(&store, &status, version).await {
                Ok(PutOutcome::Applied(new)) => {
                    version = new;
                    written = Some(status);
                }
                Ok(PutOutcome::Conflict(current)) => {
                    version = current.map_or(0, |object| object.version);
                }
                Ok(_) | Err(_) => {}
            }
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

async fn write_status(
    store: &StoreClient,
    status: &EntryStatus,
    version: ObjectVersion,
) -> Result<PutOutcome, StoreError> {
    let value = serde_json::to_string(status).unwrap_or_default();
    store.put(Kind::Status, &status.vm, version, &value).await
}

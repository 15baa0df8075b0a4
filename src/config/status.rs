//! Status object that an entry writes whenever its state changes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::entry::App;
use crate::ids::{AvailabilityZoneId, Incarnation, ObjectVersion, VmId};
use crate::platform::{Kind, PutOutcome, StoreClient, StoreError};

/// Time between two looks at the state.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// State of a VM as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// It takes requests.
    Serving,
    /// It finishes what it has.
    Draining,
}

/// Status object of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the VM.
    pub vm: VmId,
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Where the VM runs.
    pub availability_zone: AvailabilityZoneId,
    /// Version of the document in force; 0 before the first.
    pub document_version: ObjectVersion,
    /// State of the VM.
    pub state: EntryState,
}

/// Writes the status on each change of state until dropped.
pub async fn report_status(store: StoreClient, app: Arc<App>) {
    let mut written = None;
    let mut version = 0;
    loop {
        let status = app.status();
        if written.as_ref() != Some(&status) {
            match write(&store, &status, version).await {
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

async fn write(
    store: &StoreClient,
    status: &EntryStatus,
    version: ObjectVersion,
) -> Result<PutOutcome, StoreError> {
    let value = serde_json::to_string(status).unwrap_or_default();
    store.put(Kind::Status, &status.vm, version, &value).await
}

//! Waits until a document version is in force on every live VM.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::error::CommandError;
use super::printer::Printer;
use super::store::Store;
use crate::config::EntryStatus;
use crate::ids::{ObjectVersion, VmId};
use crate::platform::{Kind, StoreError, VmState};

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Reads the status reports of the entries; malformed ones are skipped.
pub(super) async fn read_status_reports(
    store: &impl Store,
) -> Result<BTreeMap<VmId, EntryStatus>, StoreError> {
    let listing = store.list(Kind::Status).await?;
    let statuses = listing
        .items
        .iter()
        .filter_map(|object| serde_json::from_str::<EntryStatus>(&object.value).ok())
        .map(|status| (status.vm.clone(), status));
    Ok(statuses.collect())
}

/// Polls until every live VM reports the version or a later one.
///
/// # Errors
///
/// Fails if some VM has not reported it within `timeout`, or if the state cannot be read at that
/// time. Read errors before that are ignored.
pub(super) async fn wait_until_in_force(
    store: &impl Store,
    version: ObjectVersion,
    timeout: Duration,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + timeout;
    let mut last_line = None;
    loop {
        let behind = vms_behind(store, version).await;
        let is_late = Instant::now() >= deadline;
        match behind {
            Ok((live_vms, behind)) if behind.is_empty() => {
                let line = format!("version {version} is in force on all {live_vms} live VMs");
                return Ok(printer.print_progress(&line)?);
            }
            Ok((_, behind)) if is_late => return Err(CommandError::NotInForce { version, behind }),
            Err(source) if is_late => {
                return Err(CommandError::ProgressUnknown { version, source });
            }
            Ok((_, behind)) => {
                let line = format!("waiting for {}", behind.join(", "));
                if last_line.as_ref() != Some(&line) {
                    printer.print_progress(&line)?;
                }
                last_line = Some(line);
            }
            Err(_) => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn vms_behind(
    store: &impl Store,
    version: ObjectVersion,
) -> Result<(usize, Vec<VmId>), StoreError> {
    let mut vms = store.list_vms().await?;
    vms.retain(|listing| listing.state == VmState::Live);
    let reports = read_status_reports(store).await?;
    let is_behind = |vm: &VmId| {
        let report = reports.get(vm);
        report.is_none_or(|report| report.document_version < version)
    };
    let live_vms = vms.len();
    let names = vms.into_iter().map(|listing| listing.vm);
    Ok((live_vms, names.filter(is_behind).collect()))
}

//! The `vm forget` command: attests that a VM is dead by fencing its record.

use serde_json::json;

use super::error::CommandError;
use super::printer::Printer;
use super::store::Store;
use crate::ids::VmId;
use crate::membership::{RecordObject, RecordState, VmRecord};
use crate::platform::{Kind, PutOutcome};

/// Fences the record of a VM, so that other VMs take over its shares of the customers' rates.
///
/// # Errors
///
/// Fails if there is no readable record, or if the record changes before the write, because the VM
/// may then be alive.
pub(super) async fn forget(
    store: &impl Store,
    vm: &VmId,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let object = RecordObject::from(store.get(Kind::Vm, vm).await?);
    let Some(record) = object.record else {
        let message = match object.version {
            0 => format!("no record of VM {vm} in the store"),
            _ => format!("the record of VM {vm} is malformed"),
        };
        return Err(CommandError::NotFound(message));
    };
    if record.state == RecordState::Fenced {
        return print_fenced(&record, "was already fenced", printer);
    }
    let fenced = record.to_fenced();
    let value = serde_json::to_string(&fenced).unwrap_or_default();
    match store.put(Kind::Vm, vm, object.version, &value).await? {
        PutOutcome::Applied(_) => print_fenced(&fenced, "is fenced", printer),
        PutOutcome::Conflict(_) => {
            let message =
                format!("the record of VM {vm} changed before it was fenced: the VM may be alive");
            Err(CommandError::Refused(message))
        }
        PutOutcome::NotApplied => Err(CommandError::NotApplied),
        PutOutcome::Unknown => Err(CommandError::FenceOutcomeUnknown(vm.clone())),
    }
}

fn print_fenced(
    record: &VmRecord,
    state: &str,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let VmRecord {
        vm, incarnation, ..
    } = record;
    let text = format!("{vm}: incarnation {incarnation} {state}");
    let json = json!({ "vm": vm, "incarnation": incarnation, "state": record.state });
    Ok(printer.print_result(&text, json)?)
}

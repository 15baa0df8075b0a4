//! Commands that replace the stored document: `apply`, `promote` and `rollback`.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use super::cli::ChangeArgs;
use super::error::CommandError;
use super::printer::{Printer, changes_json, changes_text};
use super::store::Store;
use super::{document_reader, history, wait};
use crate::document::{Change, Document};
use crate::error::Code;
use crate::ids::ObjectVersion;
use crate::platform::{Kind, Object, PutOutcome, StoreError};

/// Applies the document in a file.
pub(super) async fn apply(
    store: &impl Store,
    file: &Path,
    change: ChangeArgs,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let document = document_reader::read_file(file)?;
    replace(store, document, change, printer).await
}

/// Applies a document of environment `from` as a document of environment `to`.
///
/// # Errors
///
/// Refuses a document whose environment is not `from`.
pub(super) async fn promote(
    store: &impl Store,
    file: &Path,
    (from, to): (&str, &str),
    change: ChangeArgs,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let mut document = document_reader::read_file(file)?;
    if document.environment != from {
        let found = &document.environment;
        let message = format!("{}: environment is {found}, not {from}", file.display());
        return Err(CommandError::Refused(message));
    }
    to.clone_into(&mut document.environment);
    replace(store, document, change, printer).await
}

/// Applies the contents of an earlier version as a new version.
pub(super) async fn rollback(
    store: &impl Store,
    to_version: ObjectVersion,
    change: ChangeArgs,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let copy = history::read_copy(store, to_version).await?;
    let document = document_reader::parse_object(&copy)?;
    replace(store, document, change, printer).await
}

/// Replaces the stored document if it has the expected version.
///
/// A copy of the replaced document is stored for rollbacks. A document that is equal to the stored
/// one is not written.
///
/// # Errors
///
/// Fails if the document is invalid or of another environment, if the stored version differs, or if
/// a call to the store fails.
pub(super) async fn replace(
    store: &impl Store,
    document: Document,
    change: ChangeArgs,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let text = to_valid_text(&document)?;
    let current = document_reader::read_current(store).await?;
    if document_reader::version_or_zero(current.as_ref()) != change.if_version {
        return Err(conflict_error(
            change.if_version,
            current.as_ref(),
            &document,
        ));
    }
    check_environment(current.as_ref(), &document)?;
    if current.as_ref().is_some_and(|object| object.value == text) {
        return print_unchanged_and_wait(store, change, printer).await;
    }
    if let Some(object) = &current {
        history::save_copy(store, object).await?;
    }
    let version = put_document(store, &text, change.if_version, &document).await?;
    let changes = document_reader::document_or_empty(current.as_ref()).changes_to(&document);
    if let Err(error) = history::prune_copies(store).await {
        printer.print_progress(&format!(
            "warning: cannot delete old copies of the document: {error}"
        ))?;
    }
    print_applied_and_wait(store, version, &changes, change, printer).await
}

async fn put_document(
    store: &impl Store,
    text: &str,
    expected: ObjectVersion,
    document: &Document,
) -> Result<ObjectVersion, CommandError> {
    let outcome = store
        .put(
            Kind::Document,
            document_reader::CURRENT_DOCUMENT_NAME,
            expected,
            text,
        )
        .await;
    match outcome {
        Ok(PutOutcome::Applied(version)) => Ok(version),
        Ok(PutOutcome::Conflict(stored)) => {
            Err(conflict_error(expected, stored.as_ref(), document))
        }
        Ok(PutOutcome::NotApplied) => Err(CommandError::NotApplied),
        Err(error) if is_known_not_applied(&error) => Err(CommandError::Store(error)),
        Ok(PutOutcome::Unknown) | Err(_) => Err(CommandError::OutcomeUnknown),
    }
}

/// Returns whether an error of a write shows that the store did not apply it.
fn is_known_not_applied(error: &StoreError) -> bool {
    matches!(error, StoreError::Connect(_)) || error.code() == Code::ValueTooLarge
}

async fn print_applied_and_wait(
    store: &impl Store,
    version: ObjectVersion,
    changes: &[Change],
    change: ChangeArgs,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let text = format!("{}applied as version {version}", changes_text(changes));
    printer.print_result(&text, changes_json(version, changes))?;
    wait_if_requested(store, version, change, printer).await
}

async fn print_unchanged_and_wait(
    store: &impl Store,
    change: ChangeArgs,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let version = change.if_version;
    let text = format!("unchanged, version {version}");
    printer.print_result(&text, json!({ "version": version, "changes": [] }))?;
    wait_if_requested(store, version, change, printer).await
}

async fn wait_if_requested(
    store: &impl Store,
    version: ObjectVersion,
    change: ChangeArgs,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    if !change.wait {
        return Ok(());
    }
    let timeout = Duration::from_millis(change.wait_timeout_ms);
    wait::wait_until_in_force(store, version, timeout, printer).await
}

fn to_valid_text(document: &Document) -> Result<String, CommandError> {
    let text = document.to_ini();
    match Document::parse(&text) {
        Ok(_) => Ok(text),
        Err(faults) => Err(document_reader::faults_error(
            "changed document".to_owned(),
            text.len(),
            faults,
        )),
    }
}

fn conflict_error(
    expected: ObjectVersion,
    stored: Option<&Object>,
    document: &Document,
) -> CommandError {
    CommandError::Conflict {
        expected,
        found: document_reader::version_or_zero(stored),
        changes: document_reader::document_or_empty(stored).changes_to(document),
    }
}

fn check_environment(current: Option<&Object>, document: &Document) -> Result<(), CommandError> {
    let stored = document_reader::document_or_empty(current).environment;
    if stored.is_empty() || stored == document.environment {
        return Ok(());
    }
    let requested = &document.environment;
    let message = format!(
        "the store's environment is {stored}, the document's is {requested}; \
         use `celerylever promote --from {requested} --to {stored}`"
    );
    Err(CommandError::Refused(message))
}

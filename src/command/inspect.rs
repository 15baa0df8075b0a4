//! Commands that change nothing: `check`, `diff` and `show`.

use std::path::Path;

use serde_json::json;

use super::error::CommandError;
use super::printer::{Printer, changes_json, changes_text};
use super::store::Store;
use super::{document_reader, history};
use crate::ids::ObjectVersion;

/// Checks the document in a file and prints how many objects it declares.
pub(super) fn check(file: &Path, printer: &mut Printer<'_>) -> Result<(), CommandError> {
    let document = document_reader::read_file(file)?;
    let environment = &document.environment;
    let (customers, models) = (document.customers.len(), document.models.len());
    let (upstreams, routes) = (document.upstreams.len(), document.routes.len());
    let text = format!(
        "{}: valid, environment {environment}, {customers} customers, {models} models, \
         {upstreams} upstreams, {routes} routes",
        file.display()
    );
    let json = json!({
        "environment": environment,
        "customers": customers,
        "models": models,
        "upstreams": upstreams,
        "routes": routes,
    });
    Ok(printer.print_result(&text, json)?)
}

/// Prints the changes that applying the document in a file would make.
pub(super) async fn diff(
    store: &impl Store,
    file: &Path,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let document = document_reader::read_file(file)?;
    let current = document_reader::read_current(store).await?;
    let version = document_reader::version_or_zero(current.as_ref());
    let changes = document_reader::document_or_empty(current.as_ref()).changes_to(&document);
    let count = changes.len();
    let text = format!(
        "{}{count} changes from version {version}",
        changes_text(&changes)
    );
    Ok(printer.print_result(&text, changes_json(version, &changes))?)
}

/// Prints the stored document, or an earlier version of it.
///
/// Credentials are masked unless `with_credentials` is set.
pub(super) async fn show(
    store: &impl Store,
    version: Option<ObjectVersion>,
    with_credentials: bool,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let current = document_reader::read_current(store).await?;
    let current_version = document_reader::version_or_zero(current.as_ref());
    let object = match (version, current) {
        (Some(version), _) if version != current_version => {
            history::read_copy(store, version).await?
        }
        (_, Some(object)) => object,
        (_, None) => {
            return Err(CommandError::NotFound(
                "the store has no document".to_owned(),
            ));
        }
    };
    let document = document_reader::parse_object(&object)?;
    let shown = match with_credentials {
        true => document,
        false => document.masked(),
    };
    let version = version.unwrap_or(current_version);
    let text = format!("# version {version}\n{}", shown.to_ini());
    Ok(printer.print_result(
        &text,
        json!({ "version": version, "document": shown.to_ini() }),
    )?)
}

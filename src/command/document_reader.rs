//! Reading of documents from files and from the store.

use std::path::Path;

use super::error::CommandError;
use super::store::Store;
use crate::document::{DOCUMENT_MAX_BYTES, Document};
use crate::error::{Code, Faults};
use crate::ids::ObjectVersion;
use crate::platform::{Kind, Object};

/// Name of the document in force.
pub(super) const CURRENT_DOCUMENT_NAME: &str = "current";

/// Reads a document from a file.
pub(super) fn read_file(path: &Path) -> Result<Document, CommandError> {
    let text = read_text(path)?;
    let place = path.display().to_string();
    Document::parse(&text).map_err(|faults| faults_error(place, text.len(), faults))
}

/// Reads a file as text.
pub(super) fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.to_path_buf(),
        source,
    })
}

/// Reads the stored document that is in force, if there is one.
pub(super) async fn read_current(store: &impl Store) -> Result<Option<Object>, CommandError> {
    Ok(store.get(Kind::Document, CURRENT_DOCUMENT_NAME).await?)
}

/// Reads a stored document's text.
pub(super) fn parse_object(object: &Object) -> Result<Document, CommandError> {
    let place = format!("stored {}, version {}", object.name, object.version);
    Document::parse(&object.value).map_err(|faults| faults_error(place, object.value.len(), faults))
}

/// Returns the stored document to compare with; a missing or faulty one counts as empty.
pub(super) fn document_or_empty(object: Option<&Object>) -> Document {
    let document = object.and_then(|object| Document::parse(&object.value).ok());
    document.unwrap_or_default()
}

/// Returns the version of a stored object; 0 where there is none.
pub(super) fn version_or_zero(object: Option<&Object>) -> ObjectVersion {
    object.map_or(0, |object| object.version)
}

/// Returns the failure of a text with faults.
pub(super) fn faults_error(place: String, size_bytes: usize, faults: Faults) -> CommandError {
    let code = match size_bytes > DOCUMENT_MAX_BYTES {
        true => Code::ValueTooLarge,
        false => Code::DocumentInvalid,
    };
    CommandError::Faults {
        place,
        code,
        faults,
    }
}

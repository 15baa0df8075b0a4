//! Reads documents from files and from the store.

use std::path::Path;

use super::error::CommandError;
use super::store::Store;
use crate::document::{DOCUMENT_MAX_BYTES, Document};
use crate::error::{Code, Faults};
use crate::ids::ObjectVersion;
use crate::platform::{Kind, Object};

/// Name of the store object that contains the current document.
pub(super) const CURRENT_DOCUMENT_NAME: &str = "current";

/// Reads and checks the document in a file.
pub(super) fn read_file(path: &Path) -> Result<Document, CommandError> {
    let text = read_text(path)?;
    let place = path.display().to_string();
    Document::parse(&text).map_err(|faults| faults_error(place, text.len(), faults))
}

/// Reads a file as UTF-8 text.
pub(super) fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.to_path_buf(),
        source,
    })
}

/// Reads the current document from the store; `None` if the store has no document.
pub(super) async fn read_current(store: &impl Store) -> Result<Option<Object>, CommandError> {
    Ok(store.get(Kind::Document, CURRENT_DOCUMENT_NAME).await?)
}

/// Parses and checks a document read from the store.
pub(super) fn parse_object(object: &Object) -> Result<Document, CommandError> {
    let place = format!("stored {}, version {}", object.name, object.version);
    Document::parse(&object.value).map_err(|faults| faults_error(place, object.value.len(), faults))
}

/// Returns the stored document to compare with, or an empty one if it is missing or invalid.
pub(super) fn document_or_empty(object: Option<&Object>) -> Document {
    let document = object.and_then(|object| Document::parse(&object.value).ok());
    document.unwrap_or_default()
}

/// Returns the version of a stored object, or 0 if there is none.
pub(super) fn version_or_zero(object: Option<&Object>) -> ObjectVersion {
    object.map_or(0, |object| object.version)
}

/// Returns the error for a text that is not a valid document.
///
/// The result code is [`Code::ValueTooLarge`] if the text exceeds the size limit of documents.
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

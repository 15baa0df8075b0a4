//! The `key` commands: creates and revokes the API keys of callers.

use std::path::Path;

use serde_json::json;

use super::cli::ChangeArgs;
use super::error::CommandError;
use super::printer::Printer;
use super::store::Store;
use super::{apply, document_reader};
use crate::document::{Document, KeyDigest, digest_key};
use crate::ini::{format_digest, parse_digest};

const KEY_BYTES: usize = 32;
const KEY_PREFIX: &str = "ck-";

/// Creates a random key and prints it together with its digest.
pub(super) fn create_key(printer: &mut Printer<'_>) -> Result<(), CommandError> {
    let secret: [u8; KEY_BYTES] = rand::random();
    let key = format!("{KEY_PREFIX}{}", hex::encode(secret));
    let digest = format_digest(&digest_key(&key));
    let text = format!(
        "key: {key}\ndigest: {digest}\n\
         The key is shown only this once; add the digest to the customer's key_digests."
    );
    Ok(printer.print_result(&text, json!({ "key": key, "digest": digest }))?)
}

/// Removes a key digest from a document file.
///
/// Only the digest is edited, so that comments and layout stay, unless the edited text would not
/// parse to the intended document; then the whole document is written anew.
pub(super) fn revoke_in_file(
    file: &Path,
    digest: &KeyDigest,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let mut document = document_reader::read_file(file)?;
    let customer = remove_digest(&mut document, digest)?;
    let text = without_digest(&document_reader::read_text(file)?, digest);
    let new_text = match Document::parse(&text) {
        Ok(edited) if edited == document => text,
        _ => document.to_ini(),
    };
    std::fs::write(file, new_text).map_err(|source| CommandError::File {
        path: file.to_path_buf(),
        source,
    })?;
    let text = format!(
        "{}: revoked a key of customer {customer}; apply the file to put it in force",
        file.display()
    );
    Ok(printer.print_result(&text, json!({ "customer": customer }))?)
}

/// Removes a key digest from the stored document.
pub(super) async fn revoke_in_store(
    store: &impl Store,
    digest: &KeyDigest,
    change: ChangeArgs,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let Some(current) = document_reader::read_current(store).await? else {
        return Err(CommandError::NotFound(
            "the store has no document".to_owned(),
        ));
    };
    let mut document = document_reader::parse_object(&current)?;
    remove_digest(&mut document, digest)?;
    apply::replace(store, document, change, printer).await
}

fn remove_digest(document: &mut Document, digest: &KeyDigest) -> Result<String, CommandError> {
    for (id, customer) in &mut document.customers {
        if customer.key_digests.contains(digest) {
            customer.key_digests.retain(|known| known != digest);
            return Ok(id.clone());
        }
    }
    let message = format!("no customer has the digest {}", format_digest(digest));
    Err(CommandError::NotFound(message))
}

/// Returns the text of a document without a digest; lines other than `key_digests` do not change.
fn without_digest(text: &str, digest: &KeyDigest) -> String {
    let lines = text
        .split_inclusive('\n')
        .map(|line| match line.split_once('=') {
            Some((key, value)) if key.trim() == "key_digests" => {
                let kept: Vec<&str> = value
                    .split(',')
                    .map(str::trim)
                    .filter(|part| parse_digest(part).as_ref() != Some(digest))
                    .collect();
                format!("{key}= {}\n", kept.join(", "))
            }
            _ => line.to_owned(),
        });
    lines.collect()
}

//! Validity rules of single values, and the text form of key digests.

use crate::document::{KEY_DIGEST_BYTES, KeyDigest};

/// Prefix of a key digest, naming the hash algorithm.
pub const DIGEST_PREFIX: &str = "sha256:";

/// Text shown in place of a secret value; it is rejected as a credential.
pub(crate) const SECRET_MASK: &str = "***";

const NAME_MAX_BYTES: usize = 64;
const CREDENTIAL_MAX_BYTES: usize = 256;

/// Returns whether `text` is a name that is safe in section headers, HTTP headers and metrics.
pub(crate) fn is_name(text: &str) -> bool {
    let is_length_valid = (1..=NAME_MAX_BYTES).contains(&text.len());
    is_length_valid
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.bytes().all(is_name_byte)
}

/// Returns whether `text` may be sent as a bearer credential.
pub(crate) fn is_credential(text: &str) -> bool {
    let is_length_valid = (1..=CREDENTIAL_MAX_BYTES).contains(&text.len());
    let is_mask = text == SECRET_MASK;
    is_length_valid && !is_mask && text.bytes().all(|b| b.is_ascii_graphic() && b != b'\\')
}

/// Returns whether `text` is a URL path prefix of whole segments.
pub(crate) fn is_path_prefix(text: &str) -> bool {
    match text.strip_prefix('/') {
        Some("") => true,
        Some(rest) => rest.split('/').all(is_path_segment),
        None => false,
    }
}

/// Returns whether `text` may be the path of a file.
pub(crate) fn is_path(text: &str) -> bool {
    !text.is_empty() && !text.contains(|c: char| c.is_control() || c == '\\')
}

/// Returns the items of a comma-separated list, or `None` if two are equal.
pub(crate) fn distinct_items(text: &str) -> Option<Vec<&str>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    let items: Vec<&str> = text.split(',').map(str::trim).collect();
    let mut sorted = items.clone();
    sorted.sort_unstable();
    sorted.dedup();
    (sorted.len() == items.len()).then_some(items)
}

/// Parses a key digest of the form `sha256:HEX`; returns `None` if it has another form.
pub fn parse_digest(text: &str) -> Option<KeyDigest> {
    let hex_digits = text.strip_prefix(DIGEST_PREFIX)?;
    let mut digest = [0; KEY_DIGEST_BYTES];
    hex::decode_to_slice(hex_digits, &mut digest).ok()?;
    Some(digest)
}

/// Formats a key digest as `sha256:HEX`.
pub fn format_digest(digest: &KeyDigest) -> String {
    format!("{DIGEST_PREFIX}{}", hex::encode(digest))
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-')
}

fn is_path_segment(segment: &str) -> bool {
    let is_charset_valid = segment.bytes().all(|b| is_name_byte(b) || b == b'~');
    is_charset_valid && !matches!(segment, "" | "." | "..")
}

//! Headers of responses that concern the upstream's connection.

use std::time::Duration;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue};

/// Returns the idle timeout of a connection from the `keep-alive` header of a response.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Returns whether a response has neither a length nor chunks, so that its body ends with the
/// connection.
pub(super) fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether the `connection` header of a response announces that the upstream closes the
/// connection.
pub(super) fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let mut texts = values.filter_map(|value: &HeaderValue| value.to_str().ok());
    texts.any(|text| text.to_ascii_lowercase().contains("close"))
}

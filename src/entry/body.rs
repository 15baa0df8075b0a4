//! Reads request bodies within limits on size and time.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::BodyExt;

use super::connections::ConnectionRequestGuard;
use crate::error::{Code, Refusal};
use crate::settings::LimitSettings;

/// Maximum size of the part of a refused request's body that is read.
const DISCARD_MAX_BYTES: usize = 1024 * 1024;
/// Maximum time for which the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Rejects a `Transfer-Encoding` header that two HTTP parsers could interpret differently.
///
/// # Errors
///
/// Returns [`Code::HeadMalformed`] unless the header is absent or the single value `chunked`.
pub(super) fn check_framing(headers: &HeaderMap) -> Result<(), Refusal> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_unambiguous = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    match is_unambiguous {
        true => Ok(()),
        false => {
            let message = "header transfer-encoding: expected the single value chunked";
            Err(Refusal::new(Code::HeadMalformed, message))
        }
    }
}

/// Reads a whole request body.
///
/// # Errors
///
/// Returns [`Code::BodyTooLarge`], [`Code::BodyTimeout`] or [`Code::BodyMalformed`].
pub(super) async fn read_body(
    headers: &HeaderMap,
    body: Body,
    limits: &LimitSettings,
) -> Result<Bytes, Refusal> {
    check_declared_length(headers, limits.body_max_bytes)?;
    let mut body = body;
    let read = collect_body(&mut body, limits.body_max_bytes);
    match tokio::time::timeout(limits.body_timeout, read).await {
        Ok(result) => result,
        Err(_) => {
            let limit_ms = limits.body_timeout.as_millis();
            let message = format!("body: incomplete after the limit of {limit_ms} ms");
            Err(Refusal::new(Code::BodyTimeout, message))
        }
    }
}

/// Reads and discards the rest of a body, up to limits on size and time.
///
/// Closing a connection with unread bytes resets it, and the caller may then fail to read the
/// response. The request counts as in flight meanwhile.
pub(crate) async fn discard_body(mut body: Body, request: Option<Arc<ConnectionRequestGuard>>) {
    let discard = async {
        let mut discarded_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > DISCARD_MAX_BYTES {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
    drop(request);
}

/// Reads a whole body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns [`Code::BodyTooLarge`] if the body is larger, and [`Code::BodyMalformed`] if reading it
/// fails before its end.
pub(crate) async fn collect_body(body: &mut Body, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Refusal::new(
                Code::BodyMalformed,
                format!("body: failed before its end: {error}"),
            )
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_bytes {
            return Err(body_too_large(max_bytes));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

fn check_declared_length(headers: &HeaderMap, max_bytes: usize) -> Result<(), Refusal> {
    let declared = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<usize>().ok());
    match declared {
        Some(length) if length > max_bytes => Err(body_too_large(max_bytes)),
        _ => Ok(()),
    }
}

fn body_too_large(max_bytes: usize) -> Refusal {
    Refusal::new(
        Code::BodyTooLarge,
        format!("body: larger than the limit of {max_bytes} bytes"),
    )
}

//! Reads request bodies within limits on size and time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::BodyExt;
use hyper::body::Body as _;

use super::connections::ConnectionRequestGuard;
use crate::caller_memory::{CallerMemory, HeldBytes};
use crate::error::{Code, Refusal};
use crate::settings::LimitSettings;

/// Maximum size of the part of a refused request's body that is read. Callers that send a body before
/// they read the response get the refusal of one of up to this size.
const DISCARD_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time for which the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time between two parts of the body of a refused request.
const DISCARD_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// `Retry-After` of requests whose body found no room: bodies that stall are given up sooner.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

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
/// Returns [`Code::BodyTooLarge`], [`Code::BodyTimeout`], [`Code::BodyMalformed`] or
/// [`Code::Overloaded`].
pub(super) async fn read_body(
    headers: &HeaderMap,
    body: &mut Body,
    limits: &LimitSettings,
    memory: &Arc<CallerMemory>,
) -> Result<Bytes, Refusal> {
    check_declared_length(headers, limits.body_max_bytes)?;
    let read = receive_body(body, head_bytes(headers), limits.body_max_bytes, memory);
    match tokio::time::timeout(limits.body_timeout, read).await {
        Ok(result) => result?.into_contiguous().map_err(|_| no_memory()),
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
        while let Ok(Some(Ok(frame))) =
            tokio::time::timeout(DISCARD_STALL_TIMEOUT, body.frame()).await
        {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > DISCARD_MAX_BYTES {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
    drop(request);
}

/// Reads a whole body of at most `max_bytes` bytes into the memory of the VM.
///
/// `head_bytes` is the size of the request's head, which is kept as long as the body.
///
/// # Errors
///
/// Returns [`Code::BodyTooLarge`] if the body is larger, before any of it is read if its length says
/// so; [`Code::BodyMalformed`] if reading it fails before its end; and [`Code::Overloaded`] if the
/// memory is used up or what had arrived was evicted.
pub(crate) async fn receive_body(
    body: &mut Body,
    head_bytes: usize,
    max_bytes: usize,
    memory: &Arc<CallerMemory>,
) -> Result<HeldBytes, Refusal> {
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced_bytes > max_bytes {
        return Err(body_too_large(max_bytes));
    }
    let mut receiving = memory.receive_request(Some(announced_bytes));
    receiving
        .reserve_more(head_bytes)
        .map_err(|_| no_memory())?;
    loop {
        let frame = tokio::select! {
            biased;
            () = receiving.evicted() => return Err(no_memory()),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return receiving.finish().map_err(|_| no_memory());
        };
        let frame = frame.map_err(|error| {
            Refusal::new(
                Code::BodyMalformed,
                format!("body: failed before its end: {error}"),
            )
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if receiving.len() + data.len() > max_bytes {
            return Err(body_too_large(max_bytes));
        }
        receiving.push(&data).map_err(|_| no_memory())?;
    }
}

/// Returns the size of the headers of a request.
pub(crate) fn head_bytes(headers: &HeaderMap) -> usize {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    sizes.sum()
}

fn no_memory() -> Refusal {
    let message = "the memory for request bodies is used up";
    Refusal::new(Code::Overloaded, message).with_retry_after(MEMORY_RETRY_AFTER)
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

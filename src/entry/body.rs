//! Reads callers' bodies within their bounds.

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_body_util::BodyExt;

use crate::error::{Code, Refusal};
use crate::settings::LimitSettings;

/// Refuses a body whose length two readers could understand differently.
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
            let message = "header transfer-encoding: expected chunked, once";
            Err(Refusal::new(Code::HeadMalformed, message))
        }
    }
}

/// Reads a whole body.
pub(super) async fn read_body(
    headers: &HeaderMap,
    body: Body,
    limits: &LimitSettings,
) -> Result<Bytes, Refusal> {
    check_declared_length(headers, limits.body_max_bytes)?;
    let read = collect_body(body, limits.body_max_bytes);
    match tokio::time::timeout(limits.body_timeout, read).await {
        Ok(result) => result,
        Err(_) => {
            let limit_ms = limits.body_timeout.as_millis();
            let message = format!("body: not complete after {limit_ms} ms");
            Err(Refusal::new(Code::BodyTimeout, message))
        }
    }
}

/// Reads a whole body of at most some bytes.
pub(crate) async fn collect_body(mut body: Body, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Refusal::new(Code::BodyMalformed, format!("body: broken off: {error}"))
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_bytes {
            return Err(too_large(max_bytes));
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
        Some(length) if length > max_bytes => Err(too_large(max_bytes)),
        _ => Ok(()),
    }
}

fn too_large(max_bytes: usize) -> Refusal {
    Refusal::new(
        Code::BodyTooLarge,
        format!("body: the limit is {max_bytes} bytes"),
    )
}

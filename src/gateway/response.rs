//! Responses that the gateway generates itself.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use http_body_util::{BodyExt, Full};

use crate::caller_memory::CallerMemory;
use crate::error::{Code, Refusal};

/// Retry delay returned during shutdown, when the retry should reach another VM.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Returns the JSON response of a refusal.
///
/// `Retry-After` has a fractional part, as capacity often becomes free in less than a second.
pub(super) fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = text_response(
        refusal.code.status().as_u16(),
        "application/json",
        refusal.to_json(),
    );
    let retry_after = refusal.retry_after.map(format_seconds);
    if let Some(value) = retry_after.and_then(|text| HeaderValue::from_str(&text).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns a response with a text body.
pub(super) fn text_response(
    status: u16,
    content_type: &'static str,
    text: String,
) -> Response<Body> {
    let body = Full::new(text.into())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a text whose memory counts until it was sent; 503 if there is none.
pub(super) fn held_response(
    memory: &Arc<CallerMemory>,
    content_type: &'static str,
    text: String,
) -> Response<Body> {
    let mut receiving = memory.receive_response();
    let sending = receiving.push(text.as_bytes());
    match sending.and_then(|()| receiving.finish_response()) {
        Ok(body) => {
            let mut response = text_response(200, content_type, String::new());
            response.extensions_mut().insert(body.handle());
            *response.body_mut() = body.boxed_unsync();
            response
        }
        Err(error) => text_response(503, "text/plain", error.to_string()),
    }
}

/// Returns a refusal of a request that has not run and may be sent again after a delay.
pub(super) fn retryable_refusal(
    code: Code,
    message: impl Into<String>,
    after: Duration,
) -> Refusal {
    Refusal::new(code, message).with_retry_after(after)
}

/// Returns the refusal of a request that another VM should serve, as this one is shutting down.
pub(super) fn draining_refusal() -> Refusal {
    let message = "the VM is shutting down";
    retryable_refusal(Code::Draining, message, DRAINING_RETRY_AFTER)
}

fn format_seconds(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64())
}

//! Builds the responses that the entry itself sends.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};

use crate::error::{Code, Refusal};

/// Returns a body that consists of the given bytes.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a JSON body.
pub(super) fn json_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns the error response for a refusal.
pub(super) fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = json_response(refusal.code.status(), refusal.to_json());
    if refusal.code == Code::HeadMalformed {
        // The end of this request is ambiguous, so no bytes after it may be read as a new one.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Some(seconds) = refusal.retry_after_seconds() {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Returns the server-sent event that ends a failed stream.
pub(super) fn error_event(refusal: &Refusal) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", refusal.to_json()))
}

/// Returns the bytes of an HTTP error response that closes its connection.
pub(super) fn raw_refusal(refusal: &Refusal) -> Vec<u8> {
    let body = refusal.to_json();
    let retry_after = refusal
        .retry_after_seconds()
        .map_or(String::new(), |seconds| {
            format!("retry-after: {seconds}\r\n")
        });
    format!(
        "HTTP/1.1 {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n{retry_after}\
         connection: close\r\n\r\n{body}",
        refusal.code.status(),
        body.len(),
    )
    .into_bytes()
}

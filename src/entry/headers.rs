//! Headers of requests and responses, and which of them are forwarded to upstreams.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, Uri};

use crate::error::{Code, Refusal};

/// Header that identifies the request to which a response belongs.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the time left for the response, in milliseconds.
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header with the request's priority: `interactive` or `batch`.
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Header with the salt that separates customers' cached prefixes.
pub(super) const CACHE_SALT: HeaderName = HeaderName::from_static("x-cache-salt");
/// Header with the weight version that the engine must use.
pub(super) const EXPECTED_WEIGHT_VERSION: HeaderName =
    HeaderName::from_static("x-expected-weight-version");
/// Header with the weight version that the engine used.
pub(super) const WEIGHT_VERSION: HeaderName = HeaderName::from_static("x-weight-version");
/// Header with the first token position of a resumed stream.
pub(super) const RESUME_POSITION: HeaderName = HeaderName::from_static("x-resume-position");
/// Header with the number of prompt tokens found in the engine's cache.
pub(super) const CACHED_TOKENS: HeaderName = HeaderName::from_static("x-cached-tokens");

/// Header with the incarnation of the engine, a number unique to each start.
pub(super) const ENGINE_INCARNATION: HeaderName = HeaderName::from_static("x-engine-incarnation");
/// Request header that asks for an explanation of the choice of the engine.
pub(super) const EXPLAIN_REQUEST: HeaderName = HeaderName::from_static("x-celerylever-explain");
/// Response header that explains the choice of the engine.
pub(super) const ROUTING_EXPLANATION: HeaderName = HeaderName::from_static("x-celerylever-route");

const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

const CALLER_ONLY_HEADERS: [HeaderName; 3] =
    [AUTHORIZATION, HOST, HeaderName::from_static("x-api-key")];

/// Removes hop-by-hop headers, including those listed in the `Connection` header.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers.iter().chain(HOP_BY_HOP_HEADERS.iter()) {
        headers.remove(name);
    }
}

/// Returns a copy of a caller's headers without those that a plain service must not receive.
pub(super) fn service_request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    strip_hop_by_hop(&mut headers);
    for name in &CALLER_ONLY_HEADERS {
        headers.remove(name);
    }
    headers
}

/// Rejects a request that contains its API key anywhere but in the `Authorization` header.
///
/// # Errors
///
/// Returns [`Code::KeyMisplaced`] if the target, another header or the body contains the key.
pub(super) fn check_key_placement(
    key: &str,
    uri: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<(), Refusal> {
    let refuse = |place: &str| {
        let message = format!(
            "{place}: contains the API key, which is allowed in the header authorization only"
        );
        Err(Refusal::new(Code::KeyMisplaced, message))
    };
    let target = uri
        .path_and_query()
        .map(|target| target.as_str())
        .unwrap_or_default();
    let decoded = percent_encoding::percent_decode_str(target).collect::<Vec<u8>>();
    if contains(&decoded, key) || contains(target.as_bytes(), key) {
        return refuse("path or query");
    }
    let elsewhere = headers.iter().filter(|(name, _)| **name != AUTHORIZATION);
    for (name, value) in elsewhere {
        if contains(value.as_bytes(), key) {
            return refuse(&format!("header {name}"));
        }
    }
    match contains(body, key) {
        true => refuse("body"),
        false => Ok(()),
    }
}

fn contains(text: &[u8], key: &str) -> bool {
    memchr::memmem::find(text, key.as_bytes()).is_some()
}

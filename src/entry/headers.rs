//! Which headers pass between callers and upstreams.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, Uri};

use crate::error::{Code, Refusal};

/// Header that ties an answer to its request.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the milliseconds left for an answer.
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header with the priority at the engine.
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Header that keeps customers' cached prefixes apart.
pub(super) const CACHE_SALT: HeaderName = HeaderName::from_static("x-cache-salt");
/// Header with the weight version that must answer.
pub(super) const EXPECTED_WEIGHT_VERSION: HeaderName =
    HeaderName::from_static("x-expected-weight-version");
/// Header with the weight version that answered.
pub(super) const WEIGHT_VERSION: HeaderName = HeaderName::from_static("x-weight-version");
/// Header with the first position of a resumed stream.
pub(super) const RESUME_POSITION: HeaderName = HeaderName::from_static("x-resume-position");
/// Header with the prompt tokens found in the engine's cache.
pub(super) const CACHED_TOKENS: HeaderName = HeaderName::from_static("x-cached-tokens");

/// Header with the number of the engine's start.
pub(super) const ENGINE_INCARNATION: HeaderName = HeaderName::from_static("x-engine-incarnation");
/// Header that asks why the request went where it did.
pub(super) const EXPLAIN_REQUEST: HeaderName = HeaderName::from_static("x-celerylever-explain");
/// Header that says why the request went where it did.
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

/// Removes what concerns a single connection, including headers that `Connection` names.
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

/// Returns a caller's headers as a plain service may see them.
pub(super) fn service_request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    strip_hop_by_hop(&mut headers);
    for name in &CALLER_ONLY_HEADERS {
        headers.remove(name);
    }
    headers
}

/// Refuses a request that shows its key anywhere but in the authorization header.
pub(super) fn check_key_placement(
    key: &str,
    uri: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<(), Refusal> {
    let refuse = |place: &str| {
        let message = format!("{place}: the key may stand in the header authorization only");
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

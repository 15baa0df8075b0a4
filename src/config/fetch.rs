//! Reading of a document from a peer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::ObjectVersion;
use crate::peer::{CallError, Links, Reply, Request};

/// Bound on the fetch of a document.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Document as a peer has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncheckedDocument {
    /// Its version.
    pub version: ObjectVersion,
    /// Its text, unchecked.
    pub text: String,
}

/// Asks a peer for its document; nothing where it has none above a version.
///
/// # Errors
///
/// Returns why there is no usable reply.
pub async fn fetch_document(
    links: &Links,
    from: SocketAddr,
    above_version: ObjectVersion,
) -> Result<Option<UncheckedDocument>, CallError> {
    let request = Request::FetchDocument { above_version };
    match links.call(from, request, FETCH_TIMEOUT).await? {
        Reply::Document { version, text } => Ok(Some(UncheckedDocument { version, text })),
        Reply::None => Ok(None),
        _ => Err(CallError::Unknown("a reply of another kind".to_owned())),
    }
}

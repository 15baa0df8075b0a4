//! Fetch of the configuration document from a peer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::ObjectVersion;
use crate::peer::{CallError, Links, Reply, Request};

/// Time limit for fetching a document from a peer.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Text of a document, read from the store or from a peer and not yet checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncheckedDocument {
    /// Version of the document.
    pub version: ObjectVersion,
    /// INI text of the document.
    pub text: String,
}

/// Fetches the document of the peer at `from`.
///
/// Returns `None` if the peer has no version above `above_version`.
///
/// # Errors
///
/// Returns an error if the call fails or times out, or if the reply is of an unexpected kind.
pub async fn fetch_document(
    links: &Links,
    from: SocketAddr,
    above_version: ObjectVersion,
) -> Result<Option<UncheckedDocument>, CallError> {
    let request = Request::FetchDocument { above_version };
    match links.call(from, request, FETCH_TIMEOUT).await? {
        Reply::Document { version, text } => Ok(Some(UncheckedDocument { version, text })),
        Reply::None => Ok(None),
        _ => Err(CallError::Unknown(
            "unexpected kind of reply to a document request".to_owned(),
        )),
    }
}

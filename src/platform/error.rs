//! Errors of calls to the store.

use crate::error::Code;

/// Reason why a call to the store returned no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// No connection could be made, so the request was not sent.
    #[error("cannot connect to the store: {0}")]
    Connect(String),
    /// The call failed after the request may have been sent.
    #[error("call to the store failed: {0}")]
    Broken(String),
    /// No complete response arrived within the timeout.
    #[error("the store did not respond within the timeout")]
    Timeout,
    /// The store responded with an unexpected HTTP status.
    #[error("the store responded with unexpected status {0}")]
    Status(u16),
    /// The response does not match the store's published format.
    #[error("the store's response is invalid: {0}")]
    InvalidResponse(String),
    /// The value exceeds the store's limit.
    #[error("the value has {size_bytes} bytes: expected at most {limit_bytes}")]
    ValueTooLarge {
        /// Size of the value in bytes.
        size_bytes: usize,
        /// Maximum size in bytes that the store accepts.
        limit_bytes: usize,
    },
    /// The object's name contains characters that are not allowed in a path.
    #[error(
        "invalid object name {0:?}: expected 1 to 200 letters, digits and . _ - ~ :, not only dots"
    )]
    NameInvalid(String),
}

impl StoreError {
    /// Returns the result code.
    pub fn code(&self) -> Code {
        match self {
            Self::Connect(_) | Self::Broken(_) | Self::Timeout | Self::Status(_) => {
                Code::StoreUnreachable
            }
            Self::InvalidResponse(_) => Code::StoreAnswerInvalid,
            Self::ValueTooLarge { .. } => Code::ValueTooLarge,
            Self::NameInvalid(_) => Code::Internal,
        }
    }
}

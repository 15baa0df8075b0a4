//! Failures of calls to the store.

use crate::error::Code;

/// Why a call to the store gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StoreError {
    /// No connection could be made, so nothing was sent.
    #[error("cannot connect to the store: {0}")]
    Connect(String),
    /// The call failed after it may have been sent.
    #[error("call to the store failed: {0}")]
    Broken(String),
    /// No whole answer came in time.
    #[error("the store did not answer in time")]
    Timeout,
    /// The store answered with an unexpected status.
    #[error("the store answered with status {0}")]
    Status(u16),
    /// The answer is not of the published shape.
    #[error("the store's answer is invalid: {0}")]
    InvalidResponse(String),
    /// The value exceeds the store's limit.
    #[error("the value has {size_bytes} bytes; at most {limit_bytes} are allowed")]
    ValueTooLarge {
        /// Size of the value.
        size_bytes: usize,
        /// The store's limit.
        limit_bytes: usize,
    },
    /// The object's name cannot stand in a path.
    #[error("invalid object name {0:?}: allowed are 1 to 200 letters, digits and . _ - ~ :")]
    NameInvalid(String),
}

impl StoreError {
    /// Returns the numbered result code.
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

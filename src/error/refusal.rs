//! Error response to a caller and its JSON format.

use std::time::Duration;

use serde::Serialize;

use super::{Code, ExecutionStatus};

/// Refusal or failure of a request, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{} {}: {message}", code.number(), code.name())]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Message that says where the fault is and which value caused it.
    pub message: String,
    /// Whether an upstream executed the request.
    pub ran: ExecutionStatus,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the default execution status of the code.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: code.ran(),
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Replaces the default execution status of the code by a more precise one.
    pub fn with_ran(mut self, ran: ExecutionStatus) -> Self {
        self.ran = ran;
        self
    }

    /// Returns the `Retry-After` value in whole seconds, rounded up and at least one.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| (wait.as_millis().div_ceil(1_000) as u64).max(1))
    }

    /// Returns the JSON body of the response.
    pub fn to_json(&self) -> String {
        let body = ErrorBody {
            error: ErrorDetails {
                code: self.code.number(),
                name: self.code.name(),
                message: &self.message,
                ran: self.ran,
                retry_after_seconds: self.retry_after_seconds(),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    code: u16,
    name: &'static str,
    message: &'a str,
    ran: ExecutionStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_seconds: Option<u64>,
}

//! Answer that refuses or fails a request, and its JSON form.

use std::time::Duration;

use serde::Serialize;

use super::{Code, ExecutionStatus};

/// Refusal or failure as told to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("{} {}: {message}", code.number(), code.name())]
pub struct Refusal {
    /// What went wrong.
    pub code: Code,
    /// Message that names the offending place and value.
    pub message: String,
    /// Whether the request ran.
    pub ran: ExecutionStatus,
    /// When coming back may help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the code's own statement of whether the request ran.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: code.ran(),
            retry_after: None,
        }
    }

    /// Sets when the caller may come back.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets whether the request ran, where the context knows better than the code.
    pub fn with_ran(mut self, ran: ExecutionStatus) -> Self {
        self.ran = ran;
        self
    }

    /// Returns the `Retry-After` value in whole seconds, rounded up, at least one.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| (wait.as_millis().div_ceil(1_000) as u64).max(1))
    }

    /// Returns the JSON body sent to the caller.
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

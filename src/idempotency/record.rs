//! Stored value of a claim, and the refusal of later requests that follows from it.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::error::{Code, ExecutionStatus, Refusal};
use crate::ids::RequestId;

/// State of the request that holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may have run.
    Started,
    /// The request ran to its end.
    Ran,
}

/// Value of a claim, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Identifier of the request that holds the claim.
    pub request_id: RequestId,
    /// Digest of that request.
    pub fingerprint: Fingerprint,
    /// State of that request.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Returns the refusal for a later request with the same key and the given fingerprint.
    pub fn conflict(&self, fingerprint: &str) -> Refusal {
        let (ran, message) = match self.state {
            _ if self.fingerprint != fingerprint => (
                ExecutionStatus::NotRun,
                "the idempotency key belongs to an earlier request with different content",
            ),
            ClaimState::Started => (
                ExecutionStatus::Unknown,
                "the earlier request with this idempotency key may have run",
            ),
            ClaimState::Ran => (
                ExecutionStatus::Ran,
                "the earlier request with this idempotency key ran",
            ),
        };
        Refusal::new(Code::IdempotencyConflict, message).with_ran(ran)
    }

    pub(super) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    pub(super) fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

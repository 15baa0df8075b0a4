//! Value of a claim in the store, and what it tells a later request.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::error::{Code, Ran, Refusal};
use crate::ids::RequestId;

/// What is known of the request that holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may have run.
    Started,
    /// It ran to its end.
    Ran,
}

/// Value of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Request that holds the claim.
    pub request_id: RequestId,
    /// Digest of what it asks for.
    pub fingerprint: Fingerprint,
    /// What is known of it.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Returns what a later request under the same key is told.
    pub fn conflict(&self, fingerprint: &str) -> Refusal {
        let (ran, message) = match self.state {
            _ if self.fingerprint != fingerprint => (
                Ran::NotRun,
                "the idempotency key belongs to an earlier request of other contents",
            ),
            ClaimState::Started => (
                Ran::Unknown,
                "the earlier request under the idempotency key may have run",
            ),
            ClaimState::Ran => (
                Ran::Ran,
                "the earlier request under the idempotency key ran",
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

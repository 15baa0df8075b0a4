//! Refusals built from what the outcome ledger says.

use std::time::Duration;

use crate::error::Refusal;
use crate::outcome::Outcome;

/// When a caller may come back whose request was not run.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the refusal that tells a caller what is known.
pub(super) fn from_outcome(outcome: Outcome, message: impl Into<String>) -> Refusal {
    let refusal = Refusal::new(outcome.code, message).with_ran(outcome.ran);
    match outcome.is_retryable {
        true => refusal.with_retry_after(NOT_RUN_RETRY_AFTER),
        false => refusal,
    }
}

//! Builds refusals from the outcomes of failed requests.

use std::time::Duration;

use crate::error::Refusal;
use crate::outcome::Outcome;

/// `Retry-After` of requests that were not run and may be sent again.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the refusal that reports `outcome` to the caller.
pub(super) fn from_outcome(outcome: Outcome, message: impl Into<String>) -> Refusal {
    let refusal = Refusal::new(outcome.code, message).with_ran(outcome.ran);
    match outcome.is_retryable {
        true => refusal.with_retry_after(NOT_RUN_RETRY_AFTER),
        false => refusal,
    }
}

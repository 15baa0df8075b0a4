//! Decides on retries of a failed request and on the outcome that is reported to its caller.
//!
//! Every way to fail is an [`AttemptFailure`] or a [`StopReason`]; a test compares them with the
//! list in docs/OUTCOMES.md.

mod attempt_history;
mod failure;
mod stop_reason;

pub use attempt_history::{AttemptHistory, NextStep, Outcome};
pub use failure::{AttemptFailure, RetryRule};
pub use stop_reason::StopReason;

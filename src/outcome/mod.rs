//! What a caller is told about its request, from its first byte to its last.
//!
//! Every failure point is a [`AttemptFailure`] or a [`StopReason`]; docs/OUTCOMES.md lists them, and a test
//! compares the two.

mod attempt_history;
mod failure;
mod stop_reason;

pub use attempt_history::{AttemptHistory, NextStep, Outcome};
pub use failure::{AttemptFailure, RetryRule};
pub use stop_reason::StopReason;

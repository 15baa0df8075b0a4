//! History of one request's attempts, which decides on retries and on the reported outcome.

use super::{AttemptFailure, RetryRule, StopReason};
use crate::error::{Code, ExecutionStatus};

/// History of one request's attempts.
///
/// Only this type decides whether another attempt may follow and which outcome the caller receives
/// otherwise.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    attempt_count: usize,
    last_failure: Option<AttemptFailure>,
    last_unknown_failure: Option<AttemptFailure>,
    is_attempt_open: bool,
    is_delivered: bool,
}

/// Next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt may be made.
    Retry,
    /// No further attempt is allowed; the caller receives the outcome.
    Finish(Outcome),
}

/// Outcome of a failed request, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Result code.
    pub code: Code,
    /// Whether an upstream ran the request.
    pub ran: ExecutionStatus,
    /// Whether the caller may send the request again.
    pub is_retryable: bool,
}

impl AttemptHistory {
    /// Records that an attempt starts.
    pub fn start_attempt(&mut self) {
        self.attempt_count += 1;
        self.is_attempt_open = true;
    }

    /// Returns the number of attempts.
    ///
    /// Each forwarded part of a response resets the count to 1.
    pub fn attempt_count(&self) -> usize {
        self.attempt_count
    }

    /// Records that a part of the response was forwarded to the caller.
    pub fn record_delivery(&mut self) {
        self.attempt_count = 1;
        self.is_delivered = true;
    }

    fn may_have_run(&self) -> bool {
        self.is_attempt_open || self.is_delivered || self.last_unknown_failure.is_some()
    }

    /// Returns whether an attempt is allowed at an upstream; `is_repeatable` states whether the
    /// upstream accepts repeated requests.
    pub fn allows_attempt(&self, is_repeatable: bool) -> bool {
        is_repeatable || !self.may_have_run()
    }

    /// Records how an attempt failed and returns the next step; `is_repeatable` states whether the
    /// upstream accepts repeated requests.
    pub fn record_failure(&mut self, failure: AttemptFailure, is_repeatable: bool) -> NextStep {
        self.is_attempt_open = false;
        self.last_failure = Some(failure);
        if failure.ran() != ExecutionStatus::NotRun {
            self.last_unknown_failure = Some(failure);
        }
        match failure.retry_rule() {
            RetryRule::Always => NextStep::Retry,
            RetryRule::IfRepeatable if is_repeatable => NextStep::Retry,
            RetryRule::Never | RetryRule::IfRepeatable => {
                NextStep::Finish(self.outcome_for(failure.code()))
            }
        }
    }

    /// Returns the outcome if the attempts end for the reason `stop`.
    pub fn outcome_at_stop(&self, stop: StopReason) -> Outcome {
        match (stop, self.last_unknown_failure.or(self.last_failure)) {
            (StopReason::NoUpstream | StopReason::AttemptsUsed, Some(failure)) => {
                self.outcome_for(failure.code())
            }
            (StopReason::DeadlinePassed, Some(_)) if self.may_have_run() => {
                self.outcome_for(Code::UpstreamTimeout)
            }
            _ => self.outcome_for(stop.code()),
        }
    }

    fn outcome_for(&self, code: Code) -> Outcome {
        let ran = match self.may_have_run() {
            true => ExecutionStatus::Unknown,
            false => ExecutionStatus::NotRun,
        };
        let code = match code {
            Code::KeyWithdrawn => code,
            _ if self.is_delivered => Code::StreamBroken,
            _ => code,
        };
        let is_final = matches!(code, Code::UpstreamRejected | Code::Internal);
        Outcome {
            code,
            ran,
            is_retryable: ran == ExecutionStatus::NotRun && !is_final,
        }
    }
}

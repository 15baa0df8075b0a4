//! Reasons to end the attempts of a request.

use crate::error::Code;

macro_rules! stop_reasons {
    ($($variant:ident = $name:literal, $code:ident, $meaning:literal;)*) => {
        /// Reason to end the attempts of a request, other than the failure of an attempt.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(thiserror::Error)]
        pub enum StopReason {
            $(#[doc = $meaning] #[error($meaning)] $variant,)*
        }

        impl StopReason {
            /// All reasons.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name used in the documentation.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the result code reported to the caller if no attempt failed before.
            pub fn code(self) -> Code {
                match self { $(Self::$variant => Code::$code,)* }
            }
        }
    };
}

stop_reasons! {
    NoUpstream = "no_upstream", UpstreamNone, "No usable upstream is left.";
    AttemptsUsed = "attempts_used", UpstreamNone, "The maximum number of attempts is reached.";
    BudgetEmpty = "budget_empty", RetryBudget, "The retry budget is exhausted.";
    DeadlinePassed = "deadline_passed", DeadlineExceeded, "The deadline has passed.";
    Draining = "draining", Draining, "The process shuts down before the end of the stream.";
    KeyWithdrawn = "key_withdrawn", KeyWithdrawn, "The caller's API key was withdrawn.";
}

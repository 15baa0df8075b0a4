//! Reasons to try no further.

use crate::error::Code;

macro_rules! stop_reasons {
    ($($variant:ident = $name:literal, $code:ident, $meaning:literal;)*) => {
        /// Reason to try no further, other than an attempt's own failure.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(thiserror::Error)]
        pub enum StopReason {
            $(#[doc = $meaning] #[error($meaning)] $variant,)*
        }

        impl StopReason {
            /// Every reason.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name used in the documentation.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the code told where no attempt failed before.
            pub fn code(self) -> Code {
                match self { $(Self::$variant => Code::$code,)* }
            }
        }
    };
}

stop_reasons! {
    NoUpstream = "no_upstream", UpstreamNone, "No usable upstream is left.";
    AttemptsUsed = "attempts_used", UpstreamNone, "The bound on attempts is reached.";
    BudgetEmpty = "budget_empty", RetryBudget, "The retry budget is used up.";
    DeadlinePassed = "deadline_passed", DeadlineExceeded, "The deadline has passed.";
    Draining = "draining", Draining, "The entry stops before the stream's end.";
    KeyWithdrawn = "key_withdrawn", KeyWithdrawn, "The caller's key was withdrawn.";
}

//! Closed set of the ways in which one attempt at an upstream fails.

use crate::error::{Code, Ran};
use crate::telemetry::RetryReason;

/// Whether a failed attempt may be followed by another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryRule {
    /// Another attempt would fail alike.
    Never,
    /// Another attempt is allowed, as this one certainly was not run.
    Always,
    /// Another attempt is allowed only where the upstream's calls may be repeated.
    IfRepeatable,
}

impl RetryRule {
    /// Returns the name used in the documentation.
    pub fn name(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::Always => "always",
            Self::IfRepeatable => "repeatable",
        }
    }
}

macro_rules! attempt_failures {
    ($($variant:ident = $name:literal, $ran:ident, $retry_rule:ident, $reason:ident, $code:ident, $meaning:literal;)*) => {
        /// Way in which one attempt failed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(thiserror::Error)]
        pub enum AttemptFailure {
            $(#[doc = $meaning] #[error($meaning)] $variant,)*
        }

        impl AttemptFailure {
            /// Every failure, in the order in which an attempt meets them.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name used in the documentation.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns what is known of the attempt's run.
            pub fn ran(self) -> Ran {
                match self { $(Self::$variant => Ran::$ran,)* }
            }

            /// Returns whether another attempt may follow.
            pub fn retry_rule(self) -> RetryRule {
                match self { $(Self::$variant => RetryRule::$retry_rule,)* }
            }

            /// Returns the label under which a retry is counted.
            pub fn retry_reason(self) -> RetryReason {
                match self { $(Self::$variant => RetryReason::$reason,)* }
            }

            /// Returns the code told where no other attempt follows.
            pub fn code(self) -> Code {
                match self { $(Self::$variant => Code::$code,)* }
            }
        }
    };
}

attempt_failures! {
    NotBuilt = "not_built", NotRun, Never, Refused, Internal, "The request could not be built.";
    ConnectFailed = "connect_failed", NotRun, Always, Connect, UpstreamConnect, "No connection could be made.";
    Refused = "refused", NotRun, Always, Refused, UpstreamRefused, "The upstream refused the request.";
    WeightVersionRefused = "weight_version_refused", NotRun, Always, WeightVersion, WeightVersionMismatch, "The upstream refused as it holds another weight version.";
    Rejected = "rejected", NotRun, Never, Refused, UpstreamRejected, "The upstream rejected the request as wrong.";
    ErrorStatus = "error_status", Unknown, IfRepeatable, Status, UpstreamUnknown, "The upstream answered an error.";
    HeadTimeout = "head_timeout", Unknown, IfRepeatable, Timeout, UpstreamTimeout, "The head of the answer did not come in time.";
    ConnectionBroken = "connection_broken", Unknown, IfRepeatable, Broken, UpstreamUnknown, "The connection failed before the head of the answer.";
    WrongRequestId = "wrong_request_id", Unknown, IfRepeatable, AnswerMismatch, AnswerMismatch, "The answer belongs to another request.";
    WrongWeightVersion = "wrong_weight_version", Unknown, IfRepeatable, WeightVersion, WeightVersionMismatch, "Another weight version answered.";
    BodyBroken = "body_broken", Unknown, IfRepeatable, Broken, UpstreamUnknown, "The answer broke off.";
    BodyTimeout = "body_timeout", Unknown, IfRepeatable, Timeout, UpstreamTimeout, "The answer stopped.";
    BodyTooLarge = "body_too_large", Unknown, Never, Broken, UpstreamUnknown, "The answer is larger than the limit.";
    BodyMalformed = "body_malformed", Unknown, IfRepeatable, AnswerMismatch, AnswerMismatch, "The answer is not of the published shape.";
    StreamBroken = "stream_broken", Unknown, IfRepeatable, StreamBroken, StreamBroken, "The stream broke off.";
    StreamEnded = "stream_ended", Unknown, IfRepeatable, StreamBroken, StreamBroken, "The stream ended before its last event.";
    StreamIdle = "stream_idle", Unknown, IfRepeatable, StreamIdle, StreamBroken, "The stream fell silent.";
    StreamMalformed = "stream_malformed", Unknown, IfRepeatable, AnswerMismatch, StreamBroken, "A position of the stream is missing or malformed.";
}

impl AttemptFailure {
    /// Returns whether the connection may be at fault rather than the upstream.
    pub fn may_be_connection_fault(self) -> bool {
        match self {
            Self::HeadTimeout
            | Self::ConnectionBroken
            | Self::WrongRequestId
            | Self::BodyBroken
            | Self::BodyTimeout
            | Self::StreamBroken
            | Self::StreamEnded
            | Self::StreamIdle
            | Self::StreamMalformed => true,
            Self::NotBuilt
            | Self::ConnectFailed
            | Self::Refused
            | Self::WeightVersionRefused
            | Self::Rejected
            | Self::ErrorStatus
            | Self::WrongWeightVersion
            | Self::BodyTooLarge
            | Self::BodyMalformed => false,
        }
    }
}

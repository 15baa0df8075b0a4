//! Ways in which one attempt at an upstream can fail.

use crate::error::{Code, ExecutionStatus};
use crate::telemetry::RetryReason;

/// Rule for whether another attempt may follow a failed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryRule {
    /// No further attempt, as it would fail in the same way.
    Never,
    /// Another attempt is allowed, as the request was certainly not run.
    Always,
    /// Another attempt is allowed only if the upstream accepts repeated requests.
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
        /// Way in which one attempt at an upstream failed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(thiserror::Error)]
        pub enum AttemptFailure {
            $(#[doc = $meaning] #[error($meaning)] $variant,)*
        }

        impl AttemptFailure {
            /// All failures, in the order in which they can occur during an attempt.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name used in the documentation.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns whether the upstream ran the request, as far as that is known.
            pub fn ran(self) -> ExecutionStatus {
                match self { $(Self::$variant => ExecutionStatus::$ran,)* }
            }

            /// Returns the rule for whether another attempt may follow.
            pub fn retry_rule(self) -> RetryRule {
                match self { $(Self::$variant => RetryRule::$retry_rule,)* }
            }

            /// Returns the metric label of a retry after this failure.
            pub fn retry_reason(self) -> RetryReason {
                match self { $(Self::$variant => RetryReason::$reason,)* }
            }

            /// Returns the result code reported to the caller if no further attempt follows.
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
    WeightVersionRefused = "weight_version_refused", NotRun, Always, WeightVersion, WeightVersionMismatch, "The upstream refused the request because it serves another weight version.";
    Rejected = "rejected", NotRun, Never, Refused, UpstreamRejected, "The upstream rejected the request as invalid.";
    ErrorStatus = "error_status", Unknown, IfRepeatable, Status, UpstreamUnknown, "The upstream responded with an error status.";
    HeadTimeout = "head_timeout", Unknown, IfRepeatable, Timeout, UpstreamTimeout, "The response head did not arrive in time.";
    ConnectionBroken = "connection_broken", Unknown, IfRepeatable, Broken, UpstreamUnknown, "The connection failed before the response head arrived.";
    WrongRequestId = "wrong_request_id", Unknown, IfRepeatable, AnswerMismatch, AnswerMismatch, "The response belongs to another request.";
    WrongWeightVersion = "wrong_weight_version", Unknown, IfRepeatable, WeightVersion, WeightVersionMismatch, "The response comes from another weight version.";
    BodyBroken = "body_broken", Unknown, IfRepeatable, Broken, UpstreamUnknown, "The connection failed before the end of the response.";
    BodyTimeout = "body_timeout", Unknown, IfRepeatable, Timeout, UpstreamTimeout, "The response sent no data within the idle timeout.";
    BodyTooLarge = "body_too_large", Unknown, Never, Broken, UpstreamUnknown, "The response is larger than the limit.";
    BodyMalformed = "body_malformed", Unknown, IfRepeatable, AnswerMismatch, AnswerMismatch, "The response does not have the documented format.";
    StreamBroken = "stream_broken", Unknown, IfRepeatable, StreamBroken, StreamBroken, "The connection failed before the end of the stream.";
    StreamEnded = "stream_ended", Unknown, IfRepeatable, StreamBroken, StreamBroken, "The stream ended before its last event.";
    StreamIdle = "stream_idle", Unknown, IfRepeatable, StreamIdle, StreamBroken, "The stream sent no data within the idle timeout.";
    StreamMalformed = "stream_malformed", Unknown, IfRepeatable, AnswerMismatch, StreamBroken, "The stream lacks a position or contains a malformed event.";
}

impl AttemptFailure {
    /// Returns whether the cause may be the connection rather than the upstream.
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

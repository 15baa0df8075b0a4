//! Result codes of requests and operators' commands.
//!
//! A test checks that docs/RESULT-CODES.md lists exactly these codes.

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// Whether an upstream executed the request that a response refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// No upstream executed the request, and none will.
    NotRun,
    /// An upstream executed the request to completion.
    Ran,
    /// An upstream may have executed the request, partly or completely.
    Unknown,
}

impl ExecutionStatus {
    /// Returns the name that is used in error bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! define_codes {
    ($($variant:ident = $number:literal, $name:literal, $status:ident, $ran:ident, $meaning:literal;)*) => {
        /// Numbered result of a request or of an operator's command.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[non_exhaustive]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $meaning] $variant = $number,)*
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$variant,)*];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Returns the name of the code, as used in response bodies and metrics.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the HTTP status of responses with this code.
            pub fn status(self) -> StatusCode {
                match self { $(Self::$variant => StatusCode::$status,)* }
            }

            /// Returns the default execution status of requests with this code.
            ///
            /// `Refusal::with_ran` replaces it where a more precise status is known.
            pub fn ran(self) -> ExecutionStatus {
                match self { $(Self::$variant => ExecutionStatus::$ran,)* }
            }

            /// Returns a one-line description for operators and callers.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$variant => $meaning,)* }
            }
        }
    };
}

define_codes! {
    KeyMissing = 1001, "key_missing", UNAUTHORIZED, NotRun, "The request carries no bearer key.";
    KeyUnknown = 1002, "key_unknown", UNAUTHORIZED, NotRun, "The key is wrong, unknown or withdrawn.";
    KeyWithdrawn = 1003, "key_withdrawn", UNAUTHORIZED, Unknown, "The key was withdrawn while a response was being streamed for it.";
    BodyMalformed = 1101, "body_malformed", BAD_REQUEST, NotRun, "The body does not match the documented format.";
    BodyTooLarge = 1102, "body_too_large", PAYLOAD_TOO_LARGE, NotRun, "The body is larger than the limit.";
    ModelUnknown = 1103, "model_unknown", NOT_FOUND, NotRun, "The customer has no model of that name.";
    RouteUnknown = 1104, "route_unknown", NOT_FOUND, NotRun, "No route covers the path.";
    MethodNotAllowed = 1105, "method_not_allowed", METHOD_NOT_ALLOWED, NotRun, "The route does not allow the method.";
    HeaderInvalid = 1106, "header_invalid", BAD_REQUEST, NotRun, "A header is malformed or conflicts with another.";
    PromptTooLong = 1107, "prompt_too_long", BAD_REQUEST, NotRun, "The prompt exceeds the model's context.";
    BodyTimeout = 1108, "body_timeout", REQUEST_TIMEOUT, NotRun, "The body did not arrive in time.";
    KeyMisplaced = 1109, "key_misplaced", BAD_REQUEST, NotRun, "The key was sent outside the authorization header.";
    HeadTimeout = 1110, "head_timeout", REQUEST_TIMEOUT, NotRun, "The head of the request did not arrive in time.";
    HeadMalformed = 1111, "head_malformed", BAD_REQUEST, NotRun, "The head of the request is not valid HTTP.";
    HeadTooLarge = 1112, "head_too_large", REQUEST_HEADER_FIELDS_TOO_LARGE, NotRun, "The head of the request is larger than the limit.";
    RateExceeded = 2001, "rate_exceeded", TOO_MANY_REQUESTS, NotRun, "The customer's rate and burst are exhausted.";
    CostAboveBurst = 2002, "cost_above_burst", BAD_REQUEST, NotRun, "The request may cost more than the customer's burst.";
    ShareUnavailable = 2003, "share_unavailable", SERVICE_UNAVAILABLE, NotRun, "No holder of a share of the customer's rate can be reached at present.";
    Overloaded = 2004, "overloaded", SERVICE_UNAVAILABLE, NotRun, "The queue for the upstreams is full.";
    DeadlineExceeded = 2005, "deadline_exceeded", SERVICE_UNAVAILABLE, NotRun, "The request would not start before its deadline.";
    Draining = 2006, "draining", SERVICE_UNAVAILABLE, NotRun, "The entry is shutting down.";
    ConfigurationMissing = 2007, "configuration_missing", SERVICE_UNAVAILABLE, NotRun, "No configuration has been received yet.";
    Isolated = 2008, "isolated", SERVICE_UNAVAILABLE, NotRun, "The entry is isolated and cannot confirm that keys are still valid.";
    UpstreamNone = 3001, "upstream_none", SERVICE_UNAVAILABLE, NotRun, "No usable upstream serves the model or route.";
    UpstreamConnect = 3002, "upstream_connect", BAD_GATEWAY, NotRun, "No connection to an upstream could be made.";
    UpstreamUnknown = 3003, "upstream_unknown", BAD_GATEWAY, Unknown, "The upstream failed after the request may have reached it.";
    UpstreamTimeout = 3004, "upstream_timeout", GATEWAY_TIMEOUT, Unknown, "The upstream did not respond in time.";
    StreamBroken = 3005, "stream_broken", BAD_GATEWAY, Unknown, "The stream broke and could not be resumed.";
    UpstreamRefused = 3006, "upstream_refused", SERVICE_UNAVAILABLE, NotRun, "Every upstream that was tried refused the request.";
    WeightVersionMismatch = 3007, "weight_version_mismatch", SERVICE_UNAVAILABLE, NotRun, "No upstream has the expected weight version loaded.";
    AnswerMismatch = 3008, "answer_mismatch", BAD_GATEWAY, Unknown, "The upstream's response belongs to another request.";
    RetryBudget = 3009, "retry_budget", SERVICE_UNAVAILABLE, NotRun, "The request may be retried, but the retry budget is exhausted.";
    IdempotencyUnavailable = 3010, "idempotency_unavailable", SERVICE_UNAVAILABLE, NotRun, "The idempotency key cannot be claimed at present.";
    IdempotencyConflict = 3011, "idempotency_conflict", CONFLICT, Unknown, "The idempotency key was used by an earlier request.";
    UpstreamRejected = 3012, "upstream_rejected", BAD_REQUEST, NotRun, "The upstream rejected the request as invalid.";
    PromptQuarantined = 3013, "prompt_quarantined", SERVICE_UNAVAILABLE, NotRun, "The request, or a part of its prompt, crashes the upstreams that run it.";
    StreamOriginUnknown = 3014, "stream_origin_unknown", SERVICE_UNAVAILABLE, NotRun, "It is not known which software began the stream that is to go on.";
    StoreUnreachable = 4001, "store_unreachable", SERVICE_UNAVAILABLE, Unknown, "The platform's store cannot be reached.";
    VersionConflict = 4002, "version_conflict", CONFLICT, NotRun, "The object has another version than expected.";
    WriteUnknown = 4003, "write_unknown", BAD_GATEWAY, Unknown, "It is not known whether the write took effect.";
    ValueTooLarge = 4004, "value_too_large", PAYLOAD_TOO_LARGE, NotRun, "The value exceeds the store's limit of one megabyte.";
    DocumentInvalid = 4005, "document_invalid", BAD_REQUEST, NotRun, "The operators' document is invalid.";
    SettingsInvalid = 4006, "settings_invalid", BAD_REQUEST, NotRun, "The settings are invalid.";
    ObjectMissing = 4007, "object_missing", NOT_FOUND, NotRun, "The store has no such object.";
    StoreAnswerInvalid = 4008, "store_answer_invalid", BAD_GATEWAY, Unknown, "The store's response does not match the published format.";
    Internal = 5001, "internal", INTERNAL_SERVER_ERROR, Unknown, "The entry failed because of an unexpected internal error.";
}

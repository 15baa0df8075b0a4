//! Failures of attempts at upstreams and their causes.

use std::fmt;

use serde::Serialize;

/// Reason why an attempt returned no response that can be forwarded.
#[derive(Debug)]
pub(super) enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, as its permit for a brittle upstream had expired.
    PermitExpired,
    /// The upstream stated with this status that it did not run the request.
    NotRun(u16),
    /// The request may have run.
    Unknown(FailureCause, String),
    /// The deadline of the request has passed.
    Timeout,
}

/// What ended an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FailureCause {
    /// No connection to the upstream could be used.
    Unreachable,
    /// The permit to send the request had expired.
    PermitExpired,
    /// The upstream stated that it did not run the request.
    Rejected,
    /// The connection failed, or ended in the middle of a response.
    Connection,
    /// The upstream sent no event in time; its run was given up.
    Stalled,
    /// The upstream had not answered when its run was given up for that of a silent one.
    Unanswered,
    /// The request had not begun when the engine's weights were replaced for too long.
    Withdrawn,
    /// The response does not belong to the request or cannot be forwarded.
    UnusableResponse,
    /// The upstream refused the request for its own time or rate, without a statement whether it
    /// ran.
    #[serde(rename = "unusable_response")]
    UnstatedRefusal,
    /// The deadline of the request passed.
    Deadline,
}

impl FailureCause {
    /// Returns the name that is used in log lines and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::PermitExpired => "permit_expired",
            Self::Rejected => "rejected",
            Self::Connection => "connection",
            Self::Stalled => "stalled",
            Self::Unanswered => "unanswered",
            Self::Withdrawn => "withdrawn",
            Self::UnusableResponse | Self::UnstatedRefusal => "unusable_response",
            Self::Deadline => "deadline",
        }
    }
}

impl AttemptFailure {
    /// Returns the failure of a response that cannot be forwarded.
    pub(super) fn unusable(reason: impl Into<String>) -> Self {
        Self::Unknown(FailureCause::UnusableResponse, reason.into())
    }

    /// Returns the failure of a connection after the request was sent.
    pub(super) fn connection(reason: impl Into<String>) -> Self {
        Self::Unknown(FailureCause::Connection, reason.into())
    }

    /// Returns the failure of an engine whose run is given up because it sent no event in time.
    pub(super) fn stalled() -> Self {
        Self::Unknown(FailureCause::Stalled, "no event in time".into())
    }

    /// Returns the failure of an engine whose run is given up before it could have answered.
    pub(super) fn unanswered() -> Self {
        Self::Unknown(
            FailureCause::Unanswered,
            "no answer in the time that two engines may have the request".into(),
        )
    }

    /// Returns the label of the outcome: whether the request was sent and may have run.
    pub(super) fn outcome(&self) -> &'static str {
        match self {
            Self::NotSent(_) | Self::PermitExpired => "not_sent",
            Self::NotRun(_) => "not_run",
            Self::Unknown(..) => "unknown",
            Self::Timeout => "timeout",
        }
    }

    pub(super) fn cause(&self) -> FailureCause {
        match self {
            Self::NotSent(_) => FailureCause::Unreachable,
            Self::PermitExpired => FailureCause::PermitExpired,
            Self::NotRun(_) => FailureCause::Rejected,
            Self::Unknown(cause, _) => *cause,
            Self::Timeout => FailureCause::Deadline,
        }
    }
}

impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) | Self::Unknown(_, reason) => f.write_str(reason),
            Self::PermitExpired => f.write_str("the permit to send the request has expired"),
            Self::NotRun(status) => {
                write!(f, "upstream did not run the request, status {status}")
            }
            Self::Timeout => f.write_str("no response before the deadline"),
        }
    }
}

//! Kinds of log lines, each of which has a rate limit of its own.

use super::LogEvent;

impl LogEvent<'_> {
    /// Returns the kind of the event, each of which has a rate limit of its own.
    pub(in crate::gateway) fn kind(&self) -> &'static str {
        match self {
            Self::Admitted { .. } => "admitted",
            Self::Queued { .. } => "queued",
            Self::Placed { .. } => "placed",
            Self::Forwarded { .. } => "forwarded",
            Self::Answered { .. } => "answered",
            Self::Refused { .. } => "refused",
            Self::Shed { .. } => "shed",
            Self::OriginUnknown { .. } => "origin_unknown",
            Self::AttemptFailed { .. } | Self::TakenUp { .. } | Self::Resumed { .. } => "failed",
            // Not suppressed by the attempts that fail at the same time.
            Self::StreamBroken { .. } | Self::Aborted { .. } => "broken",
            Self::OlderWeightsUsed { .. } => "older_weights_used",
            Self::CallerLeft { .. } => "caller_left",
            Self::UpstreamRejected { .. } => "rejected",
            Self::UpstreamListed { .. }
            | Self::UpstreamGone { .. }
            | Self::UpstreamLeaving { .. }
            | Self::UpstreamCrashed { .. }
            | Self::UpstreamHeldOff { .. }
            | Self::ServerLoadUnreadable { .. }
            | Self::UpstreamLimit { .. } => "upstream",
            Self::ObjectUnusable { .. } => "object_unusable",
            // Up to 50 a second at each listener while descriptors are used up.
            Self::AcceptFailed { .. } => "accept_failed",
            Self::CallerMemoryFull { .. } => "caller_memory",
            Self::StoreLost { .. } | Self::StoreBack { .. } | Self::StoreRestored { .. } => "store",
            _ => "state",
        }
    }
}

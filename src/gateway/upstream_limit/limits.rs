//! Limits that are known at this VM.

use std::collections::HashMap;
use std::time::Duration;

use super::announced::{AnnouncedLimit, RequestRate};
use crate::clock::Instant;
use crate::gateway::crash_watch::ProcessHash;

/// Minimum time since a limit was last named from which a response that names none ends it.
const END_DELAY_MIN: Duration = Duration::from_secs(1);
/// Maximum of that time, for low limits.
const END_DELAY_MAX: Duration = Duration::from_secs(8);
/// Number of responses that the limit allows in that time.
const RESPONSES_BEFORE_END: f64 = 2.0;

/// Change of the limit of an upstream, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// Process of the upstream.
    pub process: ProcessHash,
    /// New limit; `None` if it names none any more.
    pub rate: Option<RequestRate>,
}

/// Limits by process of the upstream.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    limits: HashMap<ProcessHash, KnownLimit>,
}

#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    /// `None` after the limit has ended.
    rate: Option<RequestRate>,
    /// Time of the last response that named the limit, or with which it ended.
    stated_at: Instant,
}

impl UpstreamLimits {
    /// Records what a response says; returns the change, if it is one.
    ///
    /// Responses may arrive in another order than they were made, so one without a limit ends it
    /// only if none has named it for a while.
    pub fn record_response(
        &mut self,
        process: ProcessHash,
        announced: AnnouncedLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.limits.get(&process).copied();
        let current = known.and_then(|known| known.rate);
        let rate = match (announced, known) {
            (AnnouncedLimit::Rate(rate), _) => Some(rate),
            // The upstream is still in need.
            (
                AnnouncedLimit::Unreadable,
                Some(KnownLimit {
                    rate: Some(rate), ..
                }),
            ) => Some(rate),
            (
                AnnouncedLimit::Absent,
                Some(KnownLimit {
                    rate: Some(rate),
                    stated_at,
                }),
            ) if now.saturating_sub(stated_at) >= end_delay(rate) => None,
            _ => return None,
        };
        let stated_at = now;
        self.limits.insert(process, KnownLimit { rate, stated_at });
        (rate != current).then_some(LimitChange { process, rate })
    }

    /// Returns the limit of a process.
    pub fn rate(&self, process: ProcessHash) -> Option<RequestRate> {
        self.limits.get(&process)?.rate
    }

    /// Returns the number of processes with a limit.
    pub fn limited_count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.rate.is_some()).count()
    }

    /// Returns whether nothing is known of any process.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Drops what is known of processes that are gone.
    pub fn retain(&mut self, is_listed: impl Fn(ProcessHash) -> bool) {
        self.limits.retain(|process, _| is_listed(*process));
    }
}

/// Returns the time since a limit was last named from which a response without it ends it.
fn end_delay(rate: RequestRate) -> Duration {
    let delay = Duration::try_from_secs_f64(RESPONSES_BEFORE_END / rate.per_s());
    let delay = delay.unwrap_or(END_DELAY_MAX);
    delay.clamp(END_DELAY_MIN, END_DELAY_MAX)
}

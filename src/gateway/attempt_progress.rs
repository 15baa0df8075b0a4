//! What the attempts of a request have led to.

use super::crash_guard::quarantine_check::TrialPermit;
use crate::ids::UpstreamId;

/// Counts and outcomes of the attempts so far.
#[derive(Debug, Default)]
pub(super) struct AttemptProgress {
    /// Number of sends.
    pub(super) sends: u32,
    /// Number of upstreams that ran the request or may have run it.
    pub(super) runs: u32,
    /// Outcome label of the last failed attempt.
    pub(super) last_failure: Option<&'static str>,
    /// Whether an upstream may have run the request, so that a refusal must not state that it did
    /// not run.
    pub(super) may_have_run: bool,
    /// Whether the next attempts must be made even if the retry budget is exhausted: this VM has
    /// closed an engine that was alive, and no other one has the request yet.
    pub(super) must_retry: bool,
    /// Upstream that was closed while it could have gone on, in favor of one that rejected the
    /// request. It may still do so if all others reject it too.
    pub(super) closed_upstream: Option<UpstreamId>,
    /// What is held and the request is the trial of.
    pub(super) trial: Option<TrialPermit>,
    /// Whether another attempt could crash another engine.
    pub(super) is_suspected: bool,
    /// Number of upstreams to which no connection could be used.
    pub(super) unreachable_upstreams: u32,
}

impl AttemptProgress {
    /// Records whether an engine may have the request, if it is a trial.
    pub(super) fn record_trial(&mut self, is_sent: bool) {
        if let Some(trial) = &mut self.trial {
            trial.is_sent = is_sent;
        }
    }
}

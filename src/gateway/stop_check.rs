//! Refusal of requests that a shutdown would cut.

use super::placement::DispatchedRequest;
use super::request::AdmittedRequest;
use super::response::draining_refusal;
use super::shutdown::ShutdownPlan;
use crate::error::Refusal;

impl AdmittedRequest {
    /// Checks that the request can be expected to end before a shutdown aborts it, if an engine may
    /// run it once at most.
    ///
    /// A request that may be repeated can be run elsewhere after it was cut.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub(super) fn check_time_before_stop(&self) -> Result<(), Refusal> {
        let gateway = &self.gateway;
        let Some(since_stop) = gateway.time_since_stop() else {
            return Ok(());
        };
        if self.is_repeatable() || self.progress.may_have_run {
            return Ok(());
        }
        let now = gateway.now();
        let longest = gateway.state().run_times.longest(&self.route.name, now);
        // It ends at its deadline at the latest.
        let run_time = longest.min(self.deadline.saturating_sub(now));
        let plan = ShutdownPlan::within(gateway.settings.bounds.shutdown_timeout);
        match plan.has_time_for(run_time, since_stop) {
            true => Ok(()),
            false => Err(draining_refusal()),
        }
    }

    /// Records how long an engine took for the request.
    pub(super) fn record_run_time(&self, dispatched: &DispatchedRequest) {
        if self.is_repeatable() {
            return;
        }
        let now = self.gateway.now();
        let time = now.saturating_sub(dispatched.placed_at);
        let mut state = self.gateway.state();
        state.run_times.record(&self.route.name, time, now);
    }
}

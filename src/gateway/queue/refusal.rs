//! Refusals of requests that a queue did not place.

use super::placing::PlacementError;
use super::shedding::Shed;
use crate::error::{Code, Refusal};
use crate::gateway::event_log::LogEvent;
use crate::gateway::request::{AdmittedRequest, UPSTREAM_RETRY_AFTER};
use crate::gateway::response::retryable_refusal;

impl AdmittedRequest {
    /// Returns the refusal of a request that was not placed.
    pub(in crate::gateway) fn refuse_unplaced(&self, error: PlacementError) -> Refusal {
        match error {
            // Without a time after which to return: upstreams of that software seldom join.
            PlacementError::NoUpstream if self.is_bound() && !self.progress.may_have_run => {
                Refusal::new(
                    Code::UpstreamNone,
                    "no upstream runs the software that began the stream",
                )
            }
            PlacementError::NoUpstream => self.refuse(
                Code::UpstreamNone,
                "the service has no upstream left to try",
            ),
            // Without a time after which to return: it will be held then too.
            PlacementError::Quarantined(suspect) if !self.progress.may_have_run => {
                Refusal::new(Code::PromptQuarantined, self.quarantine_reason(suspect))
            }
            PlacementError::Quarantined(suspect) => {
                self.refuse(Code::PromptQuarantined, &self.quarantine_reason(suspect))
            }
            PlacementError::WouldMissDeadline(wait) if !self.progress.may_have_run => {
                let wait = wait.max(UPSTREAM_RETRY_AFTER);
                retryable_refusal(
                    Code::Overloaded,
                    "the request would not start before its deadline",
                    wait,
                )
            }
            PlacementError::WouldMissDeadline(_) => self.refuse(
                Code::Overloaded,
                "no upstream of the service has free capacity",
            ),
            PlacementError::Shed(shed) => self.refuse_shed(shed),
            PlacementError::DeadlinePassed => self.refuse(
                Code::Overloaded,
                "no upstream had free capacity before the deadline",
            ),
        }
    }

    /// Logs and counts that the queue refuses the request; returns the refusal for the caller.
    fn refuse_shed(&self, shed: Shed) -> Refusal {
        let cause = shed.cause.name();
        let left = self.deadline.saturating_sub(self.gateway.now());
        self.gateway.metrics.count_shed(cause, self.priority());
        let event = LogEvent::Shed {
            service: &self.placement_request.service,
            cause,
            priority: self.priority(),
            left_ms: left.as_millis() as u64,
            retry_after_ms: shed.retry_after.as_millis() as u64,
        };
        self.gateway.event_log.log_request(&self.id, &event);
        let reason = format!("no upstream has capacity for the request in time ({cause})");
        match self.progress.may_have_run {
            true => self.refuse(Code::Overloaded, &reason),
            false => retryable_refusal(Code::Overloaded, reason, shed.retry_after),
        }
    }
}

//! Log lines and metrics of a request's responses.

use http::StatusCode;

use super::event_log::LogEvent;
use super::placement::DispatchedRequest;
use super::request::AdmittedRequest;

impl AdmittedRequest {
    /// Records a response that is forwarded to the caller.
    pub(super) fn record_response(&self, dispatched: &DispatchedRequest, status: StatusCode) {
        let after = self.gateway.now().saturating_sub(self.arrived_at);
        self.gateway.metrics.record_response(status.as_u16(), after);
        if status.is_success() {
            self.record_end(dispatched);
            self.record_run_time(dispatched);
        }
        self.gateway.event_log.log_request(
            &self.id,
            &LogEvent::Answered {
                upstream: &dispatched.instance.id,
                status: status.as_u16(),
                after_ms: after.as_millis() as u64,
            },
        );
    }

    /// Records the first event of a stream; logs it if the engine lacks target weights.
    pub(super) fn record_first_event(&self, dispatched: &DispatchedRequest) {
        let Some(behind_since) = self.behind_since(dispatched) else {
            return;
        };
        let now = self.gateway.now();
        let behind = now.saturating_sub(behind_since);
        self.gateway.metrics.record_older_weights(behind);
        self.gateway.event_log.log_request(
            &self.id,
            &LogEvent::OlderWeightsUsed {
                upstream: &dispatched.instance.id,
                weights: dispatched.weights,
                behind_ms: behind.as_millis() as u64,
                after_ms: now.saturating_sub(dispatched.placed_at).as_millis() as u64,
            },
        );
    }
}

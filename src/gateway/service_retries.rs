//! Retry budgets of the services at this VM.

use super::state::Gateway;

impl Gateway {
    /// Counts a request for a service, which increases the service's retry budget.
    pub(super) fn count_request(&self, service: &str) {
        let now = self.now();
        let mut state = self.state();
        let fleet_size = state.fleet_size();
        state.retry_budgets.record_request(service, fleet_size, now);
    }

    /// Returns whether a service's retry budget allows a retry, without deducting one.
    pub(super) fn has_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.state();
        let fleet_size = state.fleet_size();
        state.retry_budgets.has_retry(service, fleet_size, now)
    }

    /// Deducts one retry that must be made from a service's retry budget, at the cost of later ones.
    pub(super) fn force_retry(&self, service: &str) {
        let now = self.now();
        let mut state = self.state();
        let fleet_size = state.fleet_size();
        state.retry_budgets.force_take(service, fleet_size, now);
    }

    /// Deducts one retry from a service's retry budget; returns whether the budget allows it.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.state();
        let fleet_size = state.fleet_size();
        state.retry_budgets.try_take(service, fleet_size, now)
    }
}

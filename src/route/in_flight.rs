//! Guard of a request that is in flight at an engine, which feeds its outcome back to the router.

use std::sync::atomic::{AtomicBool, Ordering};

use super::{Choice, EngineFailure, HealthChange, Reason, ResponseHead, Router, RoutingRequest};
use crate::ids::UpstreamId;

/// Request in flight at a chosen engine; counted there until dropped.
#[derive(Debug)]
pub struct InFlight {
    router: Router,
    choice: Choice,
    is_settled: AtomicBool,
}

impl InFlight {
    pub(super) fn new(router: Router, choice: Choice) -> Self {
        Self {
            router,
            choice,
            is_settled: AtomicBool::new(false),
        }
    }

    /// Returns the upstream that the request was sent to.
    pub fn upstream(&self) -> &UpstreamId {
        &self.choice.upstream
    }

    /// Returns the engine with the estimates behind its choice.
    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Returns why the engine was chosen.
    pub fn reason(&self) -> Reason {
        self.choice.reason
    }

    /// Records the head of the response, unless an outcome was recorded before.
    pub fn record_response(&self, request: &RoutingRequest, head: &ResponseHead) {
        if self.settle() {
            let now = self.router.now();
            let mut state = self.router.lock();
            state
                .chooser
                .record_response(request, &self.choice, head, now);
        }
    }

    /// Records a failure, which is `None` if it does not concern the engine.
    pub fn record_failure(&self, failure: Option<EngineFailure>) {
        let now = self.router.now();
        let is_first = self.settle();
        let mut state = self.router.lock();
        let change = match (is_first, failure) {
            (true, failure) => state.chooser.record_failure(&self.choice, failure, now),
            (false, Some(failure)) => {
                state
                    .chooser
                    .record_engine_failure(self.choice.engine, failure, now)
            }
            (false, None) => None,
        };
        if change == Some(HealthChange::Down) {
            state.wake_all(now);
        }
        drop(state);
        self.router.count_health_change(change);
    }

    /// Records that the engine refused the request because it has other weights loaded.
    pub fn record_weight_refusal(&self) {
        let now = self.router.now();
        self.router
            .lock()
            .chooser
            .record_weight_refusal(&self.choice, now);
        self.record_failure(None);
    }

    fn settle(&self) -> bool {
        !self.is_settled.swap(true, Ordering::SeqCst)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let is_first = self.settle();
        let now = self.router.now();
        let mut state = self.router.lock();
        if is_first {
            state.chooser.record_failure(&self.choice, None, now);
        }
        state.chooser.record_finish(self.choice.engine);
        state.wake(self.choice.engine, now);
    }
}

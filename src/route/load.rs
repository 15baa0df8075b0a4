//! Counts of this process's requests in flight at each upstream that is not an engine.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::ids::UpstreamId;

/// Counts of requests in flight, shared by all traffic threads.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    counts: Arc<Mutex<HashMap<UpstreamId, usize>>>,
}

/// Guard that counts one request at an upstream until dropped.
#[derive(Debug)]
pub struct ServiceInFlight {
    table: LoadTable,
    upstream: UpstreamId,
}

impl LoadTable {
    /// Starts a request at the least loaded candidate; of equally loaded ones, the first.
    pub fn start_at_least_loaded<'a>(
        &self,
        candidates: impl IntoIterator<Item = &'a UpstreamId>,
    ) -> Option<ServiceInFlight> {
        let mut counts = self.lock();
        let chosen = candidates
            .into_iter()
            .min_by_key(|id| counts.get(*id).copied().unwrap_or_default())?
            .clone();
        *counts.entry(chosen.clone()).or_default() += 1;
        Some(ServiceInFlight {
            table: self.clone(),
            upstream: chosen,
        })
    }

    /// Returns the number of requests in flight at an upstream.
    pub fn in_flight(&self, upstream: &str) -> usize {
        self.lock().get(upstream).copied().unwrap_or_default()
    }

    fn finish(&self, upstream: &str) {
        let mut counts = self.lock();
        if let Some(count) = counts.get_mut(upstream) {
            *count = count.saturating_sub(1);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<UpstreamId, usize>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceInFlight {
    /// Returns the upstream that the request was sent to.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }
}

impl Drop for ServiceInFlight {
    fn drop(&mut self) {
        self.table.finish(&self.upstream);
    }
}

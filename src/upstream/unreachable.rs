//! Upstreams that could not be reached a moment ago.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::clock::{Instant, SharedClock};
use crate::ids::UpstreamId;

/// Time for which an upstream is avoided after its first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Longest time for which it is avoided.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Memory of upstreams to which no connection could be made; clones share it.
///
/// An unreachable upstream has nothing under way, so that a choice by load alone would take it
/// first each time.
#[derive(Debug, Clone)]
pub struct UnreachableUpstreams {
    clock: SharedClock,
    backoffs: Arc<Mutex<HashMap<UpstreamId, Backoff>>>,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Instant,
    duration: Duration,
}

impl UnreachableUpstreams {
    /// Creates a memory without failures.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            backoffs: Arc::default(),
        }
    }

    /// Notes that no connection to an upstream could be made.
    pub fn record_connect_failure(&self, id: &str) {
        let now = self.clock.now();
        let mut backoffs = self.lock();
        let before = backoffs.get(id).map(|state| state.duration);
        let duration = before.map_or(BACKOFF_MIN, |duration| (duration * 2).min(BACKOFF_MAX));
        let until = now + duration;
        backoffs.insert(id.to_owned(), Backoff { until, duration });
    }

    /// Notes that an upstream answered.
    pub fn record_response(&self, id: &str) {
        self.lock().remove(id);
    }

    /// Returns whether an upstream is avoided; once its time is over, one request tries it.
    pub fn is_avoided(&self, id: &str) -> bool {
        let now = self.clock.now();
        match self.lock().get_mut(id) {
            None => false,
            Some(state) if state.until > now => true,
            Some(state) => {
                state.until = now + state.duration;
                false
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<UpstreamId, Backoff>> {
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

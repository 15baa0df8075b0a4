//! Tracks upstreams that recently could not be reached.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::clock::{Instant, SharedClock};
use crate::ids::UpstreamId;

/// Backoff after the first failed connection to an upstream.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Maximum backoff, which doubles with each further failure.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Set of upstreams to which no connection could be made; clones share it.
///
/// An unreachable upstream has no requests in flight, so a choice by load alone would always choose
/// it first.
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
    /// Creates an empty set.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            backoffs: Arc::default(),
        }
    }

    /// Records a failed connection to an upstream and doubles its backoff.
    pub fn record_connect_failure(&self, id: &str) {
        let now = self.clock.now();
        let mut backoffs = self.lock();
        let previous = backoffs.get(id).map(|state| state.duration);
        let duration = previous.map_or(BACKOFF_MIN, |duration| (duration * 2).min(BACKOFF_MAX));
        let until = now + duration;
        backoffs.insert(id.to_owned(), Backoff { until, duration });
    }

    /// Records a response from an upstream, which ends its backoff.
    pub fn record_response(&self, id: &str) {
        self.lock().remove(id);
    }

    /// Returns whether an upstream is to be avoided.
    ///
    /// Once the backoff has passed, one call returns `false` and restarts it, so that a single
    /// request probes the upstream.
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

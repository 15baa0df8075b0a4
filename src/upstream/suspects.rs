//! Tracks upstreams whose pooled connections may no longer respond.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::uri::Authority;

use crate::clock::{Instant, SharedClock};

/// Margin added to the pool's idle timeout, so that its connections are certainly closed.
const POOL_EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Set of upstreams that get new connections until their pooled ones have expired.
#[derive(Debug, Clone)]
pub(super) struct SuspectUpstreams {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ttl: Duration,
    clock: SharedClock,
    expiries: Mutex<HashMap<String, Instant>>,
    len: AtomicUsize,
}

impl SuspectUpstreams {
    /// Creates an empty set that keeps each upstream longer than the pool keeps an idle connection.
    pub(super) fn new(pool_idle: Duration, clock: SharedClock) -> Self {
        let inner = Inner {
            ttl: pool_idle + POOL_EXPIRY_MARGIN,
            clock,
            expiries: Mutex::default(),
            len: AtomicUsize::new(0),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    pub(super) fn insert(&self, authority: &str) {
        let now = self.inner.clock.now();
        let mut expiries = self.lock();
        expiries.retain(|_, expiry| *expiry > now);
        expiries.insert(authority.to_owned(), now + self.inner.ttl);
        self.inner.len.store(expiries.len(), Ordering::Relaxed);
    }

    pub(super) fn contains(&self, authority: &Authority) -> bool {
        if self.inner.len.load(Ordering::Relaxed) == 0 {
            return false;
        }
        let now = self.inner.clock.now();
        let expiry = self.lock().get(authority.as_str()).copied();
        expiry.is_some_and(|expiry| expiry > now)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Instant>> {
        self.inner
            .expiries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

//! State of a graceful shutdown, with the counts of requests in flight and open connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, watch};

/// Shutdown state shared by listeners and requests; clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    is_started: watch::Sender<bool>,
    is_closing_idle: AtomicBool,
    is_refusing: watch::Sender<bool>,
    request_count: AtomicUsize,
    connection_count: AtomicUsize,
    idle_notify: Notify,
    is_aborting: watch::Sender<bool>,
}

/// Counts one request until dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    drain: Drain,
}

/// Counts one caller's connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    drain: Drain,
}

impl Drain {
    /// Starts the shutdown: the readiness check fails and responses close their connections.
    pub fn start(&self) {
        self.inner.is_started.send_replace(true);
    }

    /// Returns whether the shutdown has started.
    pub fn is_started(&self) -> bool {
        *self.inner.is_started.borrow()
    }

    /// Waits until the shutdown has started.
    pub(crate) async fn wait_for_start(&self) {
        let mut is_started = self.inner.is_started.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = is_started.wait_for(|is_started| *is_started).await;
    }

    /// Makes idle connections close from now on.
    pub fn close_idle_connections(&self) {
        self.inner.is_closing_idle.store(true, Ordering::SeqCst);
    }

    /// Returns whether idle connections are to be closed.
    pub(crate) fn is_closing_idle(&self) -> bool {
        self.inner.is_closing_idle.load(Ordering::SeqCst)
    }

    /// Makes new requests be refused from now on, and those that no upstream has received yet.
    pub fn refuse_requests(&self) {
        self.inner.is_refusing.send_replace(true);
    }

    /// Returns whether new requests are refused.
    pub(crate) fn is_refusing(&self) -> bool {
        *self.inner.is_refusing.borrow()
    }

    /// Waits until new requests are refused.
    pub(crate) async fn wait_until_refusing(&self) {
        let mut is_refusing = self.inner.is_refusing.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = is_refusing.wait_for(|is_refusing| *is_refusing).await;
    }

    /// Aborts the requests still in flight; streams end with an error event.
    pub fn abort_requests(&self) {
        self.inner.is_aborting.send_replace(true);
    }

    /// Waits until requests in flight are aborted.
    pub(crate) async fn wait_for_abort(&self) {
        let mut is_aborting = self.inner.is_aborting.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = is_aborting.wait_for(|is_aborted| *is_aborted).await;
    }

    /// Returns the number of requests in flight.
    pub fn request_count(&self) -> usize {
        self.inner.request_count.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections of callers.
    pub fn connection_count(&self) -> usize {
        self.inner.connection_count.load(Ordering::SeqCst)
    }

    /// Counts a connection until the guard is dropped, or returns `None` if `limit` is reached.
    pub(crate) fn count_connection(&self, limit: usize) -> Option<ConnectionGuard> {
        let before = self.inner.connection_count.fetch_add(1, Ordering::SeqCst);
        let guard = ConnectionGuard {
            drain: self.clone(),
        };
        (before < limit).then_some(guard)
    }

    /// Waits until no request is in flight and no connection is open, so that every response has
    /// been sent; returns whether that happened within `timeout`.
    pub async fn wait_idle(&self, timeout: Duration) -> bool {
        let idle = async {
            loop {
                let mut notified = std::pin::pin!(self.inner.idle_notify.notified());
                notified.as_mut().enable();
                if self.request_count() == 0 && self.connection_count() == 0 {
                    return;
                }
                notified.await;
            }
        };
        tokio::time::timeout(timeout, idle).await.is_ok()
    }

    /// Counts a request until the guard is dropped, or returns `None` if `limit` is reached.
    pub(crate) fn count_request(&self, limit: usize) -> Option<RequestGuard> {
        let before = self.inner.request_count.fetch_add(1, Ordering::SeqCst);
        let guard = RequestGuard {
            drain: self.clone(),
        };
        (before < limit).then_some(guard)
    }
}

impl RequestGuard {
    /// Returns whether requests in flight are aborted.
    pub(crate) fn is_aborted(&self) -> bool {
        *self.drain.inner.is_aborting.borrow()
    }

    /// Waits until requests in flight are aborted.
    pub(crate) async fn wait_for_abort(&self) {
        self.drain.wait_for_abort().await;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let before = self
            .drain
            .inner
            .request_count
            .fetch_sub(1, Ordering::SeqCst);
        if before == 1 {
            self.drain.inner.idle_notify.notify_waiters();
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let before = self
            .drain
            .inner
            .connection_count
            .fetch_sub(1, Ordering::SeqCst);
        if before == 1 {
            self.drain.inner.idle_notify.notify_waiters();
        }
    }
}

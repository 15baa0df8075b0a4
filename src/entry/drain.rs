//! State of a graceful shutdown and the count of requests under way.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, watch};

/// Shutdown state shared by listeners and requests.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    started: AtomicBool,
    closing: AtomicBool,
    request_count: AtomicUsize,
    connection_count: AtomicUsize,
    idle: Notify,
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
    /// Starts the shutdown: readiness fails and answers close their connections.
    pub fn start(&self) {
        self.inner.started.store(true, Ordering::SeqCst);
    }

    /// Returns whether the shutdown has started.
    pub fn is_started(&self) -> bool {
        self.inner.started.load(Ordering::SeqCst)
    }

    /// Closes idle connections from now on.
    pub fn close_idle_connections(&self) {
        self.inner.closing.store(true, Ordering::SeqCst);
    }

    /// Returns whether idle connections are closed.
    pub(crate) fn is_closing_idle(&self) -> bool {
        self.inner.closing.load(Ordering::SeqCst)
    }

    /// Ends the streams still under way, each with an error event.
    pub fn abort_requests(&self) {
        self.inner.is_aborting.send_replace(true);
    }

    /// Waits until requests still under way have to end.
    pub(crate) async fn wait_for_abort(&self) {
        let mut is_aborting = self.inner.is_aborting.subscribe();
        // The sender lives as long as this.
        let _ = is_aborting.wait_for(|is_aborted| *is_aborted).await;
    }

    /// Returns the number of requests under way.
    pub fn request_count(&self) -> usize {
        self.inner.request_count.load(Ordering::SeqCst)
    }

    /// Returns the number of callers' connections.
    pub fn connection_count(&self) -> usize {
        self.inner.connection_count.load(Ordering::SeqCst)
    }

    /// Counts a connection, unless the limit is reached.
    pub(crate) fn count_connection(&self, limit: usize) -> Option<ConnectionGuard> {
        let before = self.inner.connection_count.fetch_add(1, Ordering::SeqCst);
        let guard = ConnectionGuard {
            drain: self.clone(),
        };
        (before < limit).then_some(guard)
    }

    /// Waits until no request is under way and every connection is closed, so that all answers were
    /// sent; returns whether that came within the bound.
    pub async fn wait_idle(&self, bound: Duration) -> bool {
        let idle = async {
            loop {
                let mut notified = std::pin::pin!(self.inner.idle.notified());
                notified.as_mut().enable();
                if self.request_count() == 0 && self.connection_count() == 0 {
                    return;
                }
                notified.await;
            }
        };
        tokio::time::timeout(bound, idle).await.is_ok()
    }

    /// Counts a request, unless the limit is reached.
    pub(crate) fn count_request(&self, limit: usize) -> Option<RequestGuard> {
        let before = self.inner.request_count.fetch_add(1, Ordering::SeqCst);
        let guard = RequestGuard {
            drain: self.clone(),
        };
        (before < limit).then_some(guard)
    }
}

impl RequestGuard {
    /// Returns whether what is still under way has to end now.
    pub(crate) fn is_aborted(&self) -> bool {
        *self.drain.inner.is_aborting.borrow()
    }

    /// Waits until what is still under way has to end.
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
            self.drain.inner.idle.notify_waiters();
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
            self.drain.inner.idle.notify_waiters();
        }
    }
}

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
    under_way: AtomicUsize,
    connections: AtomicUsize,
    idle: Notify,
    cut: watch::Sender<bool>,
}

/// Counts one request until dropped.
#[derive(Debug)]
pub(crate) struct UnderWay {
    drain: Drain,
}

/// Counts one caller's connection until dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
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
    pub fn close_idle(&self) {
        self.inner.closing.store(true, Ordering::SeqCst);
    }

    /// Returns whether idle connections are closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.inner.closing.load(Ordering::SeqCst)
    }

    /// Ends the streams still under way, each with an error event.
    pub fn cut(&self) {
        self.inner.cut.send_replace(true);
    }

    /// Waits until requests still under way have to end.
    pub(crate) async fn cut_requested(&self) {
        let mut cut = self.inner.cut.subscribe();
        // The sender lives as long as this.
        let _ = cut.wait_for(|is_cut| *is_cut).await;
    }

    /// Returns the number of requests under way.
    pub fn under_way(&self) -> usize {
        self.inner.under_way.load(Ordering::SeqCst)
    }

    /// Returns the number of callers' connections.
    pub fn connections(&self) -> usize {
        self.inner.connections.load(Ordering::SeqCst)
    }

    /// Counts a connection, unless the limit is reached.
    pub(crate) fn connect(&self, limit: usize) -> Option<OpenConnection> {
        let before = self.inner.connections.fetch_add(1, Ordering::SeqCst);
        let guard = OpenConnection {
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
                if self.under_way() == 0 && self.connections() == 0 {
                    return;
                }
                notified.await;
            }
        };
        tokio::time::timeout(bound, idle).await.is_ok()
    }

    /// Counts a request, unless the limit is reached.
    pub(crate) fn enter(&self, limit: usize) -> Option<UnderWay> {
        let before = self.inner.under_way.fetch_add(1, Ordering::SeqCst);
        let guard = UnderWay {
            drain: self.clone(),
        };
        (before < limit).then_some(guard)
    }
}

impl UnderWay {
    /// Returns whether what is still under way has to end now.
    pub(crate) fn is_cut(&self) -> bool {
        *self.drain.inner.cut.borrow()
    }

    /// Waits until what is still under way has to end.
    pub(crate) async fn cut(&self) {
        self.drain.cut_requested().await;
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let before = self.drain.inner.under_way.fetch_sub(1, Ordering::SeqCst);
        if before == 1 {
            self.drain.inner.idle.notify_waiters();
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let before = self.drain.inner.connections.fetch_sub(1, Ordering::SeqCst);
        if before == 1 {
            self.drain.inner.idle.notify_waiters();
        }
    }
}

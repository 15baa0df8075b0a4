//! Callers' connections: how many are open, and how long each may go without a request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use futures_util::task::AtomicWaker;

use super::drain::{Drain, OpenConnection};
use super::phase::{Limits, Phase, Verdict};
use crate::clock::SharedClock;
use crate::settings::LimitSettings;

/// Time between two looks for connections that are over their time.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// All connections of callers; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    limits: Limits,
    connections_max: usize,
    clock: SharedClock,
    drain: Drain,
    is_swept: AtomicBool,
    open: Mutex<HashMap<SocketAddr, Arc<Shared>>>,
}

/// State of a connection that its stream and its requests share.
#[derive(Debug, Default)]
struct Shared {
    phase: Mutex<Phase>,
    is_due: AtomicBool,
    has_served: AtomicBool,
    is_write_blocked: AtomicBool,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

/// Connection on the side of its stream; counted until dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    peer: SocketAddr,
    shared: Arc<Shared>,
    connections: Connections,
    _open: OpenConnection,
}

/// Request under way on a connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionRequest {
    shared: Arc<Shared>,
    clock: SharedClock,
}

impl Connections {
    pub(crate) fn new(limits: &LimitSettings, clock: SharedClock, drain: Drain) -> Self {
        let inner = Inner {
            limits: Limits {
                idle: limits.connection_idle,
                head: HEAD_TIMEOUT.min(limits.connection_idle),
            },
            connections_max: limits.connections_max,
            clock,
            drain,
            is_swept: AtomicBool::new(false),
            open: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Counts a connection, unless too many are open.
    pub(crate) fn accept(&self, peer: SocketAddr) -> Option<Connection> {
        self.start_sweeps();
        let open = self.inner.drain.connect(self.inner.connections_max)?;
        let shared = Arc::new(Shared {
            phase: Mutex::new(Phase::idle(self.inner.clock.now())),
            ..Default::default()
        });
        self.lock().insert(peer, shared.clone());
        Some(Connection {
            peer,
            shared,
            connections: self.clone(),
            _open: open,
        })
    }

    /// Notes that a request arrived on the connection from `peer`.
    pub(crate) fn request(&self, peer: SocketAddr) -> Option<ConnectionRequest> {
        let shared = self.lock().get(&peer)?.clone();
        lock(&shared.phase).request();
        shared.has_served.store(true, Ordering::SeqCst);
        Some(ConnectionRequest {
            shared,
            clock: self.inner.clock.clone(),
        })
    }

    fn start_sweeps(&self) {
        if !self.inner.is_swept.swap(true, Ordering::SeqCst) {
            tokio::spawn(sweep(Arc::downgrade(&self.inner)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Shared>>> {
        lock(&self.inner.open)
    }
}

impl Inner {
    /// Wakes the streams of the connections that are over their time.
    fn wake_due(&self) {
        let now = self.clock.now();
        let is_closing = self.drain.is_closing();
        for shared in lock(&self.open).values() {
            let verdict = lock(&shared.phase).verdict(now, &self.limits, is_closing);
            if verdict != Verdict::Keep {
                shared.is_due.store(true, Ordering::SeqCst);
                shared.reader.wake();
            }
        }
    }
}

async fn sweep(inner: Weak<Inner>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        match inner.upgrade() {
            Some(inner) => inner.wake_due(),
            None => return,
        }
    }
}

impl Connection {
    /// Registers the task to wake and returns what is to become of the connection.
    pub(crate) fn verdict(&self, context: &std::task::Context<'_>) -> Verdict {
        self.shared.reader.register(context.waker());
        if !self.shared.is_due.swap(false, Ordering::SeqCst) {
            return Verdict::Keep;
        }
        let inner = &self.connections.inner;
        let is_closing = inner.drain.is_closing();
        lock(&self.shared.phase).verdict(inner.clock.now(), &inner.limits, is_closing)
    }

    /// Notes bytes that arrived; returns the bytes of the head so far, where one is arriving.
    pub(crate) fn received(&self, bytes: usize) -> Option<usize> {
        let now = self.connections.inner.clock.now();
        lock(&self.shared.phase).received(bytes, now)
    }

    /// Returns whether a request is under way.
    pub(crate) fn is_busy(&self) -> bool {
        lock(&self.shared.phase).is_busy()
    }

    /// Returns whether the head of a request is arriving.
    pub(crate) fn is_in_head(&self) -> bool {
        matches!(*lock(&self.shared.phase), Phase::Head { .. })
    }

    /// Returns whether a request has arrived before.
    pub(crate) fn has_served(&self) -> bool {
        self.shared.has_served.load(Ordering::SeqCst)
    }
}

impl Connection {
    /// Notes whether bytes wait for the caller to read.
    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        let was_blocked = self
            .shared
            .is_write_blocked
            .swap(is_blocked, Ordering::SeqCst);
        if was_blocked && !is_blocked {
            self.shared.writer.wake();
        }
    }

    /// Returns whether bytes wait for the caller to read.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.shared.is_write_blocked.load(Ordering::SeqCst)
    }
}

impl ConnectionRequest {
    /// Returns whether more of the answer has to wait until the caller has read what was written.
    pub(crate) fn must_wait(&self, context: &std::task::Context<'_>) -> bool {
        if !self.shared.is_write_blocked.load(Ordering::SeqCst) {
            return false;
        }
        self.shared.writer.register(context.waker());
        self.shared.is_write_blocked.load(Ordering::SeqCst)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = self.connections.lock();
        let is_own = open
            .get(&self.peer)
            .is_some_and(|shared| Arc::ptr_eq(shared, &self.shared));
        if is_own {
            open.remove(&self.peer);
        }
    }
}

impl Drop for ConnectionRequest {
    fn drop(&mut self) {
        lock(&self.shared.phase).answered(self.clock.now());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Tracks callers' connections, limits their number and closes those that time out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use futures_util::task::AtomicWaker;

use super::connection_phase::{ConnectionAction, ConnectionPhase, ConnectionTimeouts};
use super::drain::{ConnectionGuard, Drain};
use crate::clock::SharedClock;
use crate::settings::LimitSettings;

/// Interval between two checks for connections that have timed out.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// All open connections of callers; clones share the same state.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    timeouts: ConnectionTimeouts,
    connections_max: usize,
    clock: SharedClock,
    drain: Drain,
    is_sweeper_started: AtomicBool,
    open_connections: Mutex<HashMap<SocketAddr, Arc<ConnectionState>>>,
}

/// State of a connection, shared by its stream and its requests.
#[derive(Debug, Default)]
struct ConnectionState {
    phase: Mutex<ConnectionPhase>,
    needs_check: AtomicBool,
    has_received_request: AtomicBool,
    is_write_blocked: AtomicBool,
    read_waker: AtomicWaker,
    write_waker: AtomicWaker,
}

/// Handle that a connection's stream holds; the connection counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    peer: SocketAddr,
    state: Arc<ConnectionState>,
    connections: Connections,
    _guard: ConnectionGuard,
}

/// Guard of a request on a connection; the request counts as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionRequestGuard {
    state: Arc<ConnectionState>,
    clock: SharedClock,
}

impl Connections {
    pub(crate) fn new(limits: &LimitSettings, clock: SharedClock, drain: Drain) -> Self {
        let inner = Inner {
            timeouts: ConnectionTimeouts {
                idle: limits.connection_idle_timeout,
                head: HEAD_TIMEOUT.min(limits.connection_idle_timeout),
            },
            connections_max: limits.connections_max,
            clock,
            drain,
            is_sweeper_started: AtomicBool::new(false),
            open_connections: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Registers a connection, or returns `None` if `connections_max` are already open.
    pub(crate) fn accept(&self, peer: SocketAddr) -> Option<Connection> {
        self.start_sweeper();
        let guard = self
            .inner
            .drain
            .count_connection(self.inner.connections_max)?;
        let state = Arc::new(ConnectionState {
            phase: Mutex::new(ConnectionPhase::idle(self.inner.clock.now())),
            ..Default::default()
        });
        self.lock().insert(peer, state.clone());
        Some(Connection {
            peer,
            state,
            connections: self.clone(),
            _guard: guard,
        })
    }

    /// Records that a request arrived on the connection from `peer`.
    ///
    /// Returns `None` if no such connection is registered.
    pub(crate) fn start_request(&self, peer: SocketAddr) -> Option<ConnectionRequestGuard> {
        let state = self.lock().get(&peer)?.clone();
        lock(&state.phase).start_request();
        state.has_received_request.store(true, Ordering::SeqCst);
        Some(ConnectionRequestGuard {
            state,
            clock: self.inner.clock.clone(),
        })
    }

    fn start_sweeper(&self) {
        if !self.inner.is_sweeper_started.swap(true, Ordering::SeqCst) {
            tokio::spawn(sweep_connections(Arc::downgrade(&self.inner)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<ConnectionState>>> {
        lock(&self.inner.open_connections)
    }
}

impl Inner {
    /// Wakes the streams of connections that have timed out or are idle during a shutdown.
    fn wake_expired(&self) {
        let now = self.clock.now();
        let is_closing_idle = self.drain.is_closing_idle();
        for state in lock(&self.open_connections).values() {
            let action = lock(&state.phase).action(now, &self.timeouts, is_closing_idle);
            if action != ConnectionAction::Keep {
                state.needs_check.store(true, Ordering::SeqCst);
                state.read_waker.wake();
            }
        }
    }
}

async fn sweep_connections(inner: Weak<Inner>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        match inner.upgrade() {
            Some(inner) => inner.wake_expired(),
            None => return,
        }
    }
}

impl Connection {
    /// Registers the task to wake and returns what to do with the connection now.
    pub(crate) fn action(&self, context: &std::task::Context<'_>) -> ConnectionAction {
        self.state.read_waker.register(context.waker());
        if !self.state.needs_check.swap(false, Ordering::SeqCst) {
            return ConnectionAction::Keep;
        }
        let inner = &self.connections.inner;
        let is_closing_idle = inner.drain.is_closing_idle();
        lock(&self.state.phase).action(inner.clock.now(), &inner.timeouts, is_closing_idle)
    }

    /// Records received bytes and returns the size of the request head so far, in bytes.
    ///
    /// Returns `None` while a request is in flight, as the bytes then belong to its body.
    pub(crate) fn receive_bytes(&self, bytes: usize) -> Option<usize> {
        let now = self.connections.inner.clock.now();
        lock(&self.state.phase).receive_bytes(bytes, now)
    }

    /// Returns whether a request is in flight.
    pub(crate) fn is_busy(&self) -> bool {
        lock(&self.state.phase).is_busy()
    }

    /// Returns whether part of a request head has arrived.
    pub(crate) fn is_receiving_head(&self) -> bool {
        matches!(*lock(&self.state.phase), ConnectionPhase::Head { .. })
    }

    /// Returns whether a complete request head has arrived on the connection before.
    pub(crate) fn has_received_request(&self) -> bool {
        self.state.has_received_request.load(Ordering::SeqCst)
    }
}

impl Connection {
    /// Records whether a write is blocked until the caller reads.
    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        let was_blocked = self
            .state
            .is_write_blocked
            .swap(is_blocked, Ordering::SeqCst);
        if was_blocked && !is_blocked {
            self.state.write_waker.wake();
        }
    }

    /// Returns whether a write is blocked until the caller reads.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.state.is_write_blocked.load(Ordering::SeqCst)
    }
}

impl ConnectionRequestGuard {
    /// Returns whether a write is blocked, and if so registers the task to wake when it completes.
    pub(crate) fn is_write_pending(&self, context: &std::task::Context<'_>) -> bool {
        if !self.state.is_write_blocked.load(Ordering::SeqCst) {
            return false;
        }
        self.state.write_waker.register(context.waker());
        self.state.is_write_blocked.load(Ordering::SeqCst)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open_connections = self.connections.lock();
        let is_own = open_connections
            .get(&self.peer)
            .is_some_and(|state| Arc::ptr_eq(state, &self.state));
        if is_own {
            open_connections.remove(&self.peer);
        }
    }
}

impl Drop for ConnectionRequestGuard {
    fn drop(&mut self) {
        lock(&self.state.phase).finish_request(self.clock.now());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

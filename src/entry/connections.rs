//! Tracks callers' connections, limits their number and closes those that time out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use futures_util::task::AtomicWaker;
use tokio::sync::Notify;

use super::connection_phase::{ConnectionAction, ConnectionPhase, ConnectionTimeouts};
use super::drain::{ConnectionGuard, Drain};
use super::eviction::{Candidate, choose_eviction};
use crate::clock::{Instant, SharedClock};

/// Interval between two checks for connections that have timed out.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the listener waits for a connection to close before it accepts one above the limit,
/// which is then refused.
const ROOM_TIMEOUT: Duration = Duration::from_millis(50);

/// Limits on the connections of a listener.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionLimits {
    /// Maximum time between two requests.
    pub(crate) idle_timeout: Duration,
    /// Open connections.
    pub(crate) connections_max: usize,
    /// Open connections and requests in flight, which may have a connection to an upstream each.
    pub(crate) descriptors_max: usize,
    /// Unfinished heads of all connections together.
    pub(crate) heads_max_bytes: usize,
    /// Whether idle connections are closed to make room for new ones.
    pub(crate) may_close_idle: bool,
}

/// All open connections of callers; clones share the same state.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    timeouts: ConnectionTimeouts,
    limits: ConnectionLimits,
    clock: SharedClock,
    drain: Drain,
    is_sweeper_started: AtomicBool,
    open_connections: Mutex<HashMap<SocketAddr, Arc<ConnectionState>>>,
    /// Size of all unfinished heads.
    heads_bytes: AtomicUsize,
    /// Connections that were closed to make room since the start of the process.
    closed_count: AtomicU64,
    connection_closed: Notify,
}

/// State of a connection, shared by its stream and its requests.
#[derive(Debug, Default)]
struct ConnectionState {
    phase: Mutex<ConnectionPhase>,
    needs_check: AtomicBool,
    has_received_request: AtomicBool,
    is_write_blocked: AtomicBool,
    write_blocked_since: Mutex<Instant>,
    /// Time of the last progress of a request body that is being received.
    body_progress_at: Mutex<Option<Instant>>,
    /// Whether the connection is to be closed at once.
    is_closing: AtomicBool,
    read_waker: AtomicWaker,
    write_waker: AtomicWaker,
}

/// Handle that a connection's stream holds; the connection counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    peer: SocketAddr,
    state: Arc<ConnectionState>,
    connections: Connections,
    /// Present until the drop.
    guard: Option<ConnectionGuard>,
}

/// Guard of a request on a connection; the request counts as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionRequestGuard {
    state: Arc<ConnectionState>,
    clock: SharedClock,
}

impl Connections {
    pub(crate) fn new(limits: ConnectionLimits, clock: SharedClock, drain: Drain) -> Self {
        let inner = Inner {
            timeouts: ConnectionTimeouts {
                idle: limits.idle_timeout,
                head: HEAD_TIMEOUT.min(limits.idle_timeout),
            },
            limits,
            clock,
            drain,
            is_sweeper_started: AtomicBool::new(false),
            open_connections: Mutex::default(),
            heads_bytes: AtomicUsize::new(0),
            closed_count: AtomicU64::new(0),
            connection_closed: Notify::new(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the number of connections that were closed to make room.
    pub(crate) fn closed_count(&self) -> u64 {
        self.inner.closed_count.load(Ordering::Relaxed)
    }

    /// Waits until one more connection fits, for which it closes the one that has held an unfinished
    /// head or body for longest; it gives up after a time.
    pub(crate) async fn wait_for_room(&self) {
        let inner = &self.inner;
        let wait = async {
            loop {
                let closed = inner.connection_closed.notified();
                let open = inner.drain.connection_count();
                let limit = inner.limit();
                if open < limit {
                    return;
                }
                if open.saturating_sub(inner.closing_count()) >= limit {
                    inner.close_one();
                }
                closed.await;
            }
        };
        // The connection is refused if none could be closed.
        let _ = tokio::time::timeout(ROOM_TIMEOUT, wait).await;
    }

    /// Registers a connection, or returns `None` if no further one is allowed.
    pub(crate) fn accept(&self, peer: SocketAddr) -> Option<Connection> {
        self.start_sweeper();
        let guard = self.inner.drain.count_connection(self.inner.limit())?;
        let state = Arc::new(ConnectionState {
            phase: Mutex::new(ConnectionPhase::idle(self.inner.clock.now())),
            ..Default::default()
        });
        self.lock().insert(peer, state.clone());
        Some(Connection {
            peer,
            state,
            connections: self.clone(),
            guard: Some(guard),
        })
    }

    /// Records that a request arrived on the connection from `peer`.
    ///
    /// Returns `None` if no such connection is registered.
    pub(crate) fn start_request(&self, peer: SocketAddr) -> Option<ConnectionRequestGuard> {
        let state = self.lock().get(&peer)?.clone();
        let mut phase = lock(&state.phase);
        self.inner.forget_head(&phase);
        phase.start_request();
        drop(phase);
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
    fn limit(&self) -> usize {
        let requests = self.drain.request_count();
        let descriptors_max = self.limits.descriptors_max;
        let connections_max = self.limits.connections_max;
        connections_max.min(descriptors_max.saturating_sub(requests))
    }

    /// Subtracts the head of a connection that ends or has its head complete.
    fn forget_head(&self, phase: &ConnectionPhase) {
        if let ConnectionPhase::Head { bytes, .. } = *phase {
            self.heads_bytes.fetch_sub(bytes, Ordering::SeqCst);
        }
    }

    /// Returns the number of connections that are being closed.
    fn closing_count(&self) -> usize {
        let open_connections = lock(&self.open_connections);
        let states = open_connections.values();
        let closing = states.filter(|state| state.is_closing.load(Ordering::SeqCst));
        closing.count()
    }

    /// Closes the connection that is to make room, if one may be closed.
    fn close_one(&self) {
        let now = self.clock.now();
        let open_connections = lock(&self.open_connections);
        let candidates = open_connections.values().filter_map(|state| {
            let is_closing = state.is_closing.load(Ordering::SeqCst);
            (!is_closing).then(|| (state.candidate(), state))
        });
        let Some(state) = choose_eviction(candidates, self.limits.may_close_idle, now) else {
            return;
        };
        let mut phase = lock(&state.phase);
        self.forget_head(&phase);
        if let ConnectionPhase::Head { bytes, .. } = &mut *phase {
            *bytes = 0;
        }
        drop(phase);
        self.closed_count.fetch_add(1, Ordering::Relaxed);
        state.close();
    }

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

impl ConnectionState {
    fn candidate(&self) -> Candidate {
        let is_write_blocked = self.is_write_blocked.load(Ordering::SeqCst);
        Candidate {
            phase: *lock(&self.phase),
            has_received_request: self.has_received_request.load(Ordering::SeqCst),
            body_progress_at: *lock(&self.body_progress_at),
            write_blocked_since: is_write_blocked.then(|| *lock(&self.write_blocked_since)),
        }
    }

    fn close(&self) {
        self.is_closing.store(true, Ordering::SeqCst);
        self.read_waker.wake();
    }
}

impl Connection {
    /// Registers the task to wake when the connection is to be closed, and returns whether it is.
    pub(crate) fn is_closing(&self, context: &std::task::Context<'_>) -> bool {
        self.state.read_waker.register(context.waker());
        self.state.is_closing.load(Ordering::SeqCst)
    }

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
        let inner = &self.connections.inner;
        let now = inner.clock.now();
        let total_bytes = lock(&self.state.phase).receive_bytes(bytes, now)?;
        let heads_bytes = inner.heads_bytes.fetch_add(bytes, Ordering::SeqCst) + bytes;
        if heads_bytes > inner.limits.heads_max_bytes {
            inner.close_one();
        }
        Some(total_bytes)
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
        if is_blocked && !was_blocked {
            *lock(&self.state.write_blocked_since) = self.connections.inner.clock.now();
        }
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
    /// Returns a function that closes the connection.
    pub(crate) fn closer(&self) -> impl FnOnce() + Send + 'static {
        let state = Arc::downgrade(&self.state);
        move || {
            if let Some(state) = state.upgrade() {
                state.close();
            }
        }
    }

    /// Records that bytes of the request body have arrived, or that the rest is awaited.
    pub(crate) fn record_body_progress(&self) {
        *lock(&self.state.body_progress_at) = Some(self.clock.now());
    }

    /// Records that no more of the request body is awaited.
    pub(crate) fn finish_body(&self) {
        *lock(&self.state.body_progress_at) = None;
    }

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
        let inner = &self.connections.inner;
        inner.forget_head(&lock(&self.state.phase));
        let mut open_connections = self.connections.lock();
        let is_own = open_connections
            .get(&self.peer)
            .is_some_and(|state| Arc::ptr_eq(state, &self.state));
        if is_own {
            open_connections.remove(&self.peer);
        }
        drop(open_connections);
        drop(self.guard.take());
        inner.connection_closed.notify_one();
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

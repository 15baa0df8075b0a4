//! Pool of HTTP/1.1 connections to upstreams, each used for one request at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::bounded_io::{BoundedIo, HeadLimit};
use super::upstream_registry::UpstreamInstance;
use crate::caller_memory::OutgoingBody;
use crate::clock::{Instant, SharedClock};

/// Timeout of opening a connection; shorter than the second after which TCP retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time before the first TCP keep-alive probe, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;
/// Time after which unacknowledged data closes the connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which an idle connection is kept if the upstream announces no idle timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Time before the upstream's idle timeout at which a connection is no longer reused.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Maximum number of idle connections to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Timeout for a connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum size of the read buffer of a connection, and of the head of a response.
const READ_BUFFER_MAX_BYTES: usize = 16 * 1024;

/// Failure to send a request.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum SendFailure {
    /// No byte of the request was sent.
    #[error("connection unusable: {0}")]
    NotSent(String),
    /// The connection failed after the request may have reached the upstream.
    #[error("connection failed after the request was sent: {0}")]
    Broken(String),
}

/// Connection in use by a request; closed on drop unless it is returned to the pool.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<OutgoingBody>,
    task: AbortHandle,
    head_limit: Arc<HeadLimit>,
    /// Whether an earlier request was sent over it.
    is_reused: bool,
}

impl Connection {
    /// Returns whether the peer has not closed the connection.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns whether an earlier request was sent over the connection.
    pub(super) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request, once the previous one has ended, and waits for the head of the response.
    pub(super) async fn request(
        &mut self,
        request: Request<impl Into<OutgoingBody>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.ready().await?;
        self.head_limit.start();
        let response = self.sender.send_request(request.map(Into::into)).await;
        self.head_limit.stop();
        response
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    reusable_until: Instant,
}

/// Idle connections to all upstreams, by instance.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    clock: SharedClock,
    idle: Mutex<HashMap<UpstreamInstance, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    pub(super) fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// Returns an idle or a new connection to an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if no connection could be opened in time.
    pub(super) async fn connection(
        &self,
        instance: &UpstreamInstance,
        address: SocketAddr,
    ) -> Result<Connection, SendFailure> {
        match self.take_idle(instance) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    /// Sends a request over a connection, or over another one if the upstream has closed it, and
    /// waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] only if no byte of the request was sent, else
    /// [`SendFailure::Broken`].
    pub(super) async fn send(
        &self,
        mut connection: Connection,
        instance: &UpstreamInstance,
        address: SocketAddr,
        mut request: Request<OutgoingBody>,
    ) -> Result<(Response<Incoming>, Connection), SendFailure> {
        loop {
            connection.head_limit.start();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.head_limit.stop();
                    return Ok((response, connection));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if connection.is_reused => request = unsent,
                    Some(_) => {
                        return Err(SendFailure::NotSent(
                            "the connection closed before the request was written".into(),
                        ));
                    }
                    None => return Err(SendFailure::Broken(error.into_error().to_string())),
                },
            }
            connection = self.connection(instance, address).await?;
        }
    }

    /// Returns a connection to the pool once its response has been read to the end.
    ///
    /// `idle_timeout` is the timeout that the upstream announced.
    pub(super) async fn return_connection(
        &self,
        instance: &UpstreamInstance,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let idle_timeout = idle_timeout.unwrap_or(IDLE_TIMEOUT_DEFAULT + IDLE_TIMEOUT_MARGIN);
        let reusable_until = self.clock.now() + idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        let mut idle = self.lock();
        let connections = idle.entry(instance.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connection.is_reused = true;
            connections.push(IdleConnection {
                connection,
                reusable_until,
            });
        }
    }

    /// Closes the idle connections to an upstream.
    pub(super) fn close_idle(&self, instance: &UpstreamInstance) {
        self.lock().remove(instance);
    }

    /// Closes connections that the upstream has closed or that have reached their idle timeout.
    pub(super) fn sweep(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, connections| {
            connections
                .retain(|idle| idle.reusable_until > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Returns an idle connection to an upstream.
    pub(super) fn take_idle(&self, instance: &UpstreamInstance) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let connections = idle.get_mut(instance)?;
        while let Some(idle) = connections.pop() {
            if idle.reusable_until > now && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<UpstreamInstance, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns [`SendFailure::NotSent`] if no connection could be opened in time.
pub(super) async fn connect(address: SocketAddr) -> Result<Connection, SendFailure> {
    let not_sent = |error: &dyn std::fmt::Display| SendFailure::NotSent(error.to_string());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|error| not_sent(&error))?
        .map_err(|error| not_sent(&error))?;
    configure(&stream).map_err(|error| not_sent(&error))?;
    let head_limit = Arc::new(HeadLimit::default());
    let stream = BoundedIo::new(stream, head_limit.clone());
    let (sender, driver) = Builder::new()
        .max_buf_size(READ_BUFFER_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(&error))?;
    let task = tokio::spawn(async move {
        // The future of the request returns the error as well.
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        head_limit,
        is_reused: false,
    })
}

/// Sets the socket options that detect an unresponsive upstream, and disables Nagle's algorithm.
pub(super) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

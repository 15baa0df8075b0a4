//! Connections to upstreams, each used for one request at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::upstream_registry::UpstreamInstance;
use crate::clock::{Instant, SharedClock};

/// Bound on making a connection; a dropped opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// TCP keep-alive probes start after this much silence.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered TCP keep-alive probes after which a connection is dead.
const KEEPALIVE_PROBES_MAX: u32 = 2;
/// Bytes that stay unacknowledged for this long end their connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which an unused connection is kept where the upstream states none.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Time before the upstream's own idle timeout at which a connection is given up.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// Unused connections kept to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// Time for a connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Failure to send a request.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum SendFailure {
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have arrived.
    #[error("connection failed: {0}")]
    Broken(String),
}

/// Connection that carries a request; closed on drop unless it is given back.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub(super) async fn request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
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

/// Unused connections to all upstreams.
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

    /// Sends a request over an unused connection, or a new one, and waits for the head.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] only where no byte of the request was sent.
    pub(super) async fn send(
        &self,
        instance: &UpstreamInstance,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendFailure> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(instance) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendFailure::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut connection = connect(address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendFailure::NotSent("closed before the request".into()),
                None => SendFailure::Broken(error.into_error().to_string()),
            }),
        }
    }

    /// Gives a connection back whose answer was read to its end.
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
            connections.push(IdleConnection {
                connection,
                reusable_until,
            });
        }
    }

    /// Closes the unused connections to an upstream.
    pub(super) fn close_idle(&self, instance: &UpstreamInstance) {
        self.lock().remove(instance);
    }

    /// Closes connections that have been unused for too long.
    pub(super) fn sweep(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, connections| {
            connections
                .retain(|idle| idle.reusable_until > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn take_idle(&self, instance: &UpstreamInstance) -> Option<Connection> {
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

/// Makes a connection.
///
/// # Errors
///
/// Returns [`SendFailure::NotSent`] where none could be made in time.
pub(super) async fn connect(address: SocketAddr) -> Result<Connection, SendFailure> {
    let not_sent = |error: &dyn std::fmt::Display| SendFailure::NotSent(error.to_string());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|error| not_sent(&error))?
        .map_err(|error| not_sent(&error))?;
    configure(&stream).map_err(|error| not_sent(&error))?;
    let (sender, driver) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(&error))?;
    let task = tokio::spawn(async move {
        // The request's own future learns of the failure.
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
    })
}

/// Sets what finds out that the other side has gone silent.
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

//! HTTP client whose errors distinguish requests that were certainly not sent from those that may
//! have been.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::suspects::SuspectUpstreams;
use crate::clock::SharedClock;
use crate::outcome::AttemptFailure;
use crate::settings::UpstreamSettings;

/// Idle time after which TCP keep-alive probes start.
const KEEPALIVE_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time after which a connection with unacknowledged bytes is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections kept per upstream.
const IDLE_CONNECTIONS_PER_UPSTREAM_MAX: usize = 256;
/// Maximum size of a connection's read buffer.
const READ_BUFFER_MAX_BYTES: usize = 16_384;

/// Whether a call may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// May use a pooled connection that has served other requests.
    Pooled,
    /// Uses a new connection for this call only.
    Fresh,
}

/// Failure of a call before its response head arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum SendError {
    /// No connection could be made.
    #[error("no connection could be made")]
    Connect,
    /// The connection failed after the request may have been sent.
    #[error("the connection failed after the request may have been sent")]
    Broken,
    /// The response head did not arrive in time.
    #[error("the response head did not arrive in time")]
    Timeout,
}

impl From<SendError> for AttemptFailure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Connect => Self::ConnectFailed,
            SendError::Broken => Self::ConnectionBroken,
            SendError::Timeout => Self::HeadTimeout,
        }
    }
}

/// Response whose head has arrived.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Response head, and the body yet to be read.
    pub response: Response<Incoming>,
    connection: CaptureConnection,
}

impl UpstreamResponse {
    /// Closes the connection when the response is dropped, as another response may be outstanding.
    pub fn close_connection(self) {
        if let Some(connection) = &*self.connection.connection_metadata() {
            connection.poison();
        }
    }
}

/// HTTP client for all upstreams; clones share its connections.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
    suspects: SuspectUpstreams,
}

impl UpstreamClient {
    /// Creates a client with an empty pool.
    pub fn new(settings: &UpstreamSettings, clock: SharedClock) -> Self {
        Self {
            pooled: build_client(settings, IDLE_CONNECTIONS_PER_UPSTREAM_MAX),
            fresh: build_client(settings, 0),
            suspects: SuspectUpstreams::new(settings.pool_idle_timeout, clock),
        }
    }

    /// Sends a request and returns its response once the head has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] only if no byte of the request was sent,
    /// [`SendError::Timeout`] if the response head does not arrive within `timeout`, and
    /// [`SendError::Broken`] otherwise.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        reuse: ConnectionReuse,
        timeout: Duration,
    ) -> Result<UpstreamResponse, SendError> {
        let authority = request.uri().authority().cloned();
        let is_suspect = authority
            .as_ref()
            .is_some_and(|authority| self.suspects.contains(authority));
        let client = match reuse {
            ConnectionReuse::Pooled if !is_suspect => &self.pooled,
            ConnectionReuse::Pooled | ConnectionReuse::Fresh => &self.fresh,
        };
        let connection = capture_connection(&mut request);
        let error = match tokio::time::timeout(timeout, client.request(request)).await {
            Ok(Ok(response)) => {
                return Ok(UpstreamResponse {
                    response,
                    connection,
                });
            }
            Ok(Err(error)) if error.is_connect() => return Err(SendError::Connect),
            Ok(Err(_)) => SendError::Broken,
            Err(_) => SendError::Timeout,
        };
        self.mark_suspect(
            authority
                .as_ref()
                .map_or("", |authority| authority.as_str()),
        );
        Err(error)
    }

    /// Prevents the reuse of all connections to an upstream that are open now.
    pub fn mark_suspect(&self, authority: &str) {
        self.suspects.insert(authority);
    }
}

fn build_client(
    settings: &UpstreamSettings,
    idle_connections_max: usize,
) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(settings.connect_timeout));
    connector.set_keepalive(Some(KEEPALIVE_IDLE_TIMEOUT));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(settings.pool_idle_timeout)
        .pool_max_idle_per_host(idle_connections_max)
        .http1_max_buf_size(READ_BUFFER_MAX_BYTES)
        .retry_canceled_requests(false)
        .build(connector)
}

//! HTTP client that tells a request that was certainly not run from one that may have been.

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

/// TCP keep-alive probes start after this much silence.
const KEEPALIVE_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two TCP keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered TCP keep-alive probes after which a connection is dead.
const KEEPALIVE_RETRIES: u32 = 3;
/// Bytes that stay unacknowledged for this long end their connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Unused connections kept to one upstream.
const IDLE_CONNECTIONS_PER_UPSTREAM_MAX: usize = 256;
/// Largest read buffer of a connection.
const READ_BUFFER_MAX_BYTES: usize = 16_384;

/// Whether a call may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// A connection that served another request before may be used.
    Pooled,
    /// The call gets a connection of its own.
    Fresh,
}

/// Failure of a call before the head of its answer arrived.
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
    /// No answer arrived in time.
    #[error("no answer arrived in time")]
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

/// Answer whose head has arrived.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head and the body to come.
    pub response: Response<Incoming>,
    connection: CaptureConnection,
}

impl UpstreamResponse {
    /// Closes the connection once the answer is dropped, as another answer may be outstanding.
    pub fn close_connection(self) {
        if let Some(connection) = &*self.connection.connection_metadata() {
            connection.poison();
        }
    }
}

/// Client for all upstreams.
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
            suspects: SuspectUpstreams::new(settings.pool_idle, clock),
        }
    }

    /// Sends a request and returns its answer once the head has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] only if no byte of the request was sent.
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

    /// Uses no connection to an upstream again that is open at this moment.
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
        .pool_idle_timeout(settings.pool_idle)
        .pool_max_idle_per_host(idle_connections_max)
        .http1_max_buf_size(READ_BUFFER_MAX_BYTES)
        .retry_canceled_requests(false)
        .build(connector)
}

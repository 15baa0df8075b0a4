//! HTTP calls to the store, each with a timeout and a maximum response size.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::StoreError;
use crate::settings::PlatformSettings;

const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle time before the first TCP keep-alive probe, and between probes. The probes detect that the
/// connection of a waiting watch is lost.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;
/// Time after which a connection with unacknowledged data is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum size of a connection's read buffer, and of the head of a response. Interim responses are
/// consumed a buffer at a time, between which the timeout of the call is checked.
const READ_BUFFER_MAX_BYTES: usize = 16_384;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Request to the store.
#[derive(Debug)]
pub struct StoreRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request body, sent as JSON.
    pub body: Bytes,
    /// Timeout of the whole call, from connecting to the end of the response body.
    pub timeout: Duration,
    /// Maximum size of the response body.
    pub response_max_bytes: usize,
}

/// Complete response of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// HTTP client whose connection pool is replaced as a whole after each failed call.
///
/// A connection on which the store no longer responds therefore fails at most one call, and the
/// other connections of the same pool, which may be lost as well, are not used again.
#[derive(Debug, Clone)]
pub struct Transport {
    client: Arc<ArcSwap<HttpClient>>,
    settings: PlatformSettings,
}

impl Transport {
    /// Creates a transport, which connects on the first call.
    pub fn new(settings: PlatformSettings) -> Self {
        let client = ArcSwap::from_pointee(new_client(&settings));
        Self {
            client: Arc::new(client),
            settings,
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrived within the timeout and the size limit. The
    /// status of the response is not checked.
    pub async fn call(&self, request: StoreRequest) -> Result<StoreResponse, StoreError> {
        let mut guard = ReplaceClientOnFailure {
            transport: self,
            is_complete: false,
        };
        let exchange = self.send(&request);
        let response = tokio::time::timeout(request.timeout, exchange)
            .await
            .unwrap_or(Err(StoreError::Timeout))?;
        guard.is_complete = true;
        Ok(response)
    }

    async fn send(&self, request: &StoreRequest) -> Result<StoreResponse, StoreError> {
        let http_request = self.build_request(request)?;
        let client = self.client.load_full();
        let response = client.request(http_request).await.map_err(|error| {
            let message = error_chain(&error);
            match error.is_connect() {
                true => StoreError::Connect(message),
                false => StoreError::Broken(message),
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, request.response_max_bytes)
            .collect()
            .await
            .map_err(|error| body_error(&*error))?
            .to_bytes();
        Ok(StoreResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn build_request(&self, request: &StoreRequest) -> Result<Request<Full<Bytes>>, StoreError> {
        let uri = format!("http://{}{}", self.settings.store_address, request.path);
        Request::builder()
            .method(request.method.clone())
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()))
            .map_err(|error| StoreError::NameInvalid(error.to_string()))
    }
}

/// Guard that replaces the connection pool if a call fails, times out or is dropped before it is
/// complete.
struct ReplaceClientOnFailure<'a> {
    transport: &'a Transport,
    is_complete: bool,
}

impl Drop for ReplaceClientOnFailure<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            let client = new_client(&self.transport.settings);
            self.transport.client.store(Arc::new(client));
        }
    }
}

fn new_client(settings: &PlatformSettings) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(settings.request_timeout / 2));
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES_MAX));
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .http1_max_buf_size(READ_BUFFER_MAX_BYTES)
        .retry_canceled_requests(false)
        .build(connector)
}

fn body_error(error: &(dyn std::error::Error + 'static)) -> StoreError {
    match error.is::<LengthLimitError>() {
        true => StoreError::InvalidResponse("response body exceeds the size limit".into()),
        false => StoreError::Broken(error_chain(error)),
    }
}

fn error_chain(error: &(dyn std::error::Error + 'static)) -> String {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        message.push_str(": ");
        message.push_str(&cause.to_string());
        source = cause.source();
    }
    message
}

//! HTTP calls to the store, each bounded in time and size.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::StoreError;
use crate::settings::PlatformSettings;

const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Silence before and between TCP keep-alive probes, which find a waiting watch cut off.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is dead.
const KEEPALIVE_PROBES_MAX: u32 = 2;
/// Bytes that stay unacknowledged for this long end their connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Call to make.
#[derive(Debug)]
pub struct StoreRequest {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Bound on the whole call.
    pub timeout: Duration,
    /// Largest body of the answer.
    pub response_max_bytes: usize,
}

/// Whole answer.
#[derive(Debug)]
pub struct StoreResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Pool of connections that is replaced as a whole after each failure.
///
/// A connection that went silent is thereby used for at most one call, and so are the pooled ones
/// beside it.
#[derive(Debug, Clone)]
pub struct Transport {
    client: Arc<ArcSwap<HttpClient>>,
    settings: PlatformSettings,
}

impl Transport {
    /// Creates a transport; it connects with the first call.
    pub fn new(settings: PlatformSettings) -> Self {
        let client = ArcSwap::from_pointee(new_client(&settings));
        Self {
            client: Arc::new(client),
            settings,
        }
    }

    /// Makes the call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns why no whole answer came.
    pub async fn call(&self, call: StoreRequest) -> Result<StoreResponse, StoreError> {
        let mut guard = ReplaceClientOnFailure {
            transport: self,
            is_complete: false,
        };
        let exchange = self.send(&call);
        let response = tokio::time::timeout(call.timeout, exchange)
            .await
            .unwrap_or(Err(StoreError::Timeout))?;
        guard.is_complete = true;
        Ok(response)
    }

    async fn send(&self, call: &StoreRequest) -> Result<StoreResponse, StoreError> {
        let request = self.build_request(call)?;
        let client = self.client.load_full();
        let response = client.request(request).await.map_err(|error| {
            let message = error_chain(&error);
            match error.is_connect() {
                true => StoreError::Connect(message),
                false => StoreError::Broken(message),
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, call.response_max_bytes)
            .collect()
            .await
            .map_err(|error| body_error(&*error))?
            .to_bytes();
        Ok(StoreResponse {
            status: head.status,
            body,
        })
    }

    fn build_request(&self, call: &StoreRequest) -> Result<Request<Full<Bytes>>, StoreError> {
        let uri = format!("http://{}{}", self.settings.store_address, call.path);
        Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body.clone()))
            .map_err(|error| StoreError::NameInvalid(error.to_string()))
    }
}

/// Replaces the pool when a call failed, timed out or was dropped half way.
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
        .retry_canceled_requests(false)
        .build(connector)
}

fn body_error(error: &(dyn std::error::Error + 'static)) -> StoreError {
    match error.is::<LengthLimitError>() {
        true => StoreError::InvalidResponse("answer above the size limit".into()),
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

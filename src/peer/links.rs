//! Peer links of a VM: its listener and its outgoing connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Endpoint, ServerConfig, TransportConfig, VarInt};
use tokio::runtime::Handle;

use super::connection_pool::{CallError, ConnectionPool};
use super::tls_identity::{TlsIdentity, TlsIdentityError};
use super::wire::{Reply, Request};
use crate::clock::SharedClock;
use crate::settings::PeerSettings;
use crate::telemetry::Metrics;

/// Time after which an unused connection is closed.
///
/// No keep-alive packets are sent, so that traffic depends on the calls and not on the number of
/// peers ever called; a broken connection is detected by the first call on it.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// Concurrent requests on one connection.
const REQUEST_STREAMS_MAX: u32 = 64;
/// Flow control window of a stream: bytes of one message in flight.
const STREAM_WINDOW_BYTES: u32 = 256 * 1_024;
/// Flow control window of a connection: bytes in flight on all of its streams.
const CONNECTION_WINDOW_BYTES: u32 = 1_024 * 1_024;

/// Default limit on the requests that one peer may send, per second.
pub const REQUESTS_PER_S: u64 = 2_000;

/// Settings of [`Links`].
#[derive(Debug)]
pub struct LinksSettings {
    /// Addresses and certificate files.
    pub peer: PeerSettings,
    /// This VM's certificate.
    pub identity: TlsIdentity,
    /// Protocol version announced to peers; differs from [`super::PROTOCOL_VERSION`] only in tests.
    pub protocol_version: u16,
    /// Requests that one peer may send, per second; a burst may be twice as many.
    pub requests_per_s: u64,
    /// Source of time.
    pub clock: SharedClock,
    /// Metrics that count dropped messages.
    pub metrics: Metrics,
}

/// Peer links to the other VMs; clones share the listener and the connections.
#[derive(Debug, Clone)]
pub struct Links {
    inner: Arc<LinksInner>,
}

#[derive(Debug)]
struct LinksInner {
    listener: Endpoint,
    address: SocketAddr,
    connection_pool: ConnectionPool,
    runtime: Handle,
    clock: SharedClock,
    metrics: Metrics,
    protocol_version: u16,
    requests_per_s: u64,
}

/// Error of creating [`Links`].
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum LinksError {
    /// A socket cannot be bound to the address.
    #[error("cannot bind a socket to [peer] address: {0}")]
    Io(#[from] io::Error),
    /// The certificate cannot be used.
    #[error(transparent)]
    TlsIdentity(#[from] TlsIdentityError),
}

impl Links {
    /// Starts to listen for peers; connections run on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is missing or cannot be bound, or if the TLS configuration
    /// is invalid.
    pub fn bind(settings: LinksSettings) -> Result<Self, LinksError> {
        let address = settings.peer.address;
        let address = address.ok_or(TlsIdentityError::MissingSetting("address"))?;
        let transport = Arc::new(transport_config());
        let mut server = ServerConfig::with_crypto(Arc::new(settings.identity.server_config()?));
        server.transport_config(transport.clone());
        let mut client = quinn::ClientConfig::new(Arc::new(settings.identity.client_config()?));
        client.transport_config(transport);
        let listener = Endpoint::server(server, address)?;
        let address = listener.local_addr()?;
        settings
            .metrics
            .set_peer_certificate_expiry(settings.identity.not_after_s());
        let connection_pool = ConnectionPool::new(
            client,
            SocketAddr::new(address.ip(), 0),
            settings.protocol_version,
            settings.clock.clone(),
            settings.metrics.clone(),
        )?;
        Ok(Self {
            inner: Arc::new(LinksInner {
                listener,
                address,
                connection_pool,
                runtime: Handle::current(),
                clock: settings.clock,
                metrics: settings.metrics,
                protocol_version: settings.protocol_version,
                requests_per_s: settings.requests_per_s,
            }),
        })
    }

    /// Returns the address of the peer listener.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Sends a request to the VM at an address and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrives; it states whether the request may have been handled.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let links = self.clone();
        // Connections must be driven by the runtime of the links, which may not be the caller's.
        let call = async move {
            links
                .inner
                .connection_pool
                .call(to, &request, timeout)
                .await
        };
        let mut task = AbortOnDrop(self.inner.runtime.spawn(call));
        (&mut task.0)
            .await
            .unwrap_or_else(|error| Err(CallError::Unknown(error.to_string())))
    }

    /// Returns the bytes sent and received on the open outgoing connections, including QUIC headers
    /// but not UDP and IP headers.
    pub fn open_bytes(&self) -> u64 {
        self.inner.connection_pool.open_bytes()
    }

    pub(super) fn listener(&self) -> &Endpoint {
        &self.inner.listener
    }

    pub(super) fn clock(&self) -> &SharedClock {
        &self.inner.clock
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    pub(super) fn protocol_version(&self) -> u16 {
        self.inner.protocol_version
    }

    pub(super) fn requests_per_s(&self) -> u64 {
        self.inner.requests_per_s
    }
}

/// Task that is aborted when its waiter is dropped, which closes the stream of its call.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(VarInt::from_u32(REQUEST_STREAMS_MAX))
        .max_concurrent_uni_streams(VarInt::from_u32(1))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .datagram_receive_buffer_size(None)
        // MTU probes cost more than the rest of a new connection.
        .mtu_discovery_config(None);
    transport
}

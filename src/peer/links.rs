//! Calls to other VMs.

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

/// Longest time that an unused connection is kept.
///
/// **NOTE:** there are no keep-alive packets, so that traffic follows the calls and not the number
/// of peers ever called; a connection that fell silent is found by the first call on it.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// Requests of one peer handled at once.
const REQUEST_STREAMS_MAX: u32 = 64;
/// Bytes of one message that may be under way.
const STREAM_WINDOW_BYTES: u32 = 256 * 1_024;
/// Bytes of one connection that may be under way.
const CONNECTION_WINDOW_BYTES: u32 = 1_024 * 1_024;

/// Requests that one peer may send, per second.
pub const REQUESTS_PER_S: u64 = 2_000;

/// What links are made of.
#[derive(Debug)]
pub struct LinksSettings {
    /// Addresses and files.
    pub peer: PeerSettings,
    /// This VM's certificate.
    pub identity: TlsIdentity,
    /// Version told to peers; other than [`super::PROTOCOL_VERSION`] only in tests.
    pub protocol_version: u16,
    /// Requests that one peer may send, per second; at once it may send twice as many.
    pub requests_per_s: u64,
    /// Source of time.
    pub clock: SharedClock,
    /// Counts dropped messages.
    pub metrics: Metrics,
}

/// Links to the other VMs; clones share them.
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

/// Why links could not be made.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum LinksError {
    /// The address cannot be used.
    #[error("[peer] address: {0}")]
    Io(#[from] io::Error),
    /// The certificate cannot be used.
    #[error(transparent)]
    TlsIdentity(#[from] TlsIdentityError),
}

impl Links {
    /// Listens for peers; connections run on the runtime that this is called on.
    ///
    /// # Errors
    ///
    /// Returns why the address or the certificate cannot be used.
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
            .peer_certificate_expiry(settings.identity.not_after_s());
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

    /// Returns the address for peers.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Sends a request to the VM at an address and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been handled.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let links = self.clone();
        // Connections belong to the runtime that drives them, not to that of the caller.
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

    /// Returns the bytes sent and received on the connections that are open to peers, with the
    /// headers of QUIC and without those of UDP and IP.
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

/// Task that ends with its waiter, which closes the stream of its call.
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
        // Probes for larger packets cost more than the rest of a new connection.
        .mtu_discovery_config(None);
    transport
}

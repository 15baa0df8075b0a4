//! Pool of outgoing connections, one per peer, which are replaced when a peer stops responding.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quinn::{ClientConfig, Connection, ConnectionError, Endpoint, ReadToEndError};

use super::close::{close_code, close_connection};
use super::wire::{MESSAGE_MAX_BYTES, Reply, Request};
use crate::clock::{Instant, SharedClock};
use crate::telemetry::{Metrics, PeerDropReason};

/// Error of a call without a reply.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// The request was not sent, so the peer cannot have handled it.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The peer may have handled the request.
    #[error("request outcome unknown: {0}")]
    Unknown(String),
}

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Connections in the pool at most; the least recently used one is evicted.
const OUTGOING_CONNECTIONS_MAX: usize = 512;
/// Shortest time between two changes of the local port.
const PORT_ROTATION_INTERVAL_MIN: Duration = Duration::from_millis(1_000);

/// Pool of connections to other VMs.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    config: ClientConfig,
    bind_address: SocketAddr,
    protocol_version: u16,
    clock: SharedClock,
    metrics: Metrics,
    endpoint: Mutex<LocalEndpoint>,
    connections: Mutex<HashMap<SocketAddr, Arc<PooledConnection>>>,
}

#[derive(Debug)]
struct LocalEndpoint {
    endpoint: Endpoint,
    rotated_at: Instant,
}

/// Pool entry of a peer, with at most one connection; its lock is held while connecting.
#[derive(Debug)]
struct PooledConnection {
    connection: tokio::sync::Mutex<Option<Connection>>,
    last_used_at: Mutex<Instant>,
}

impl ConnectionPool {
    pub(super) fn new(
        config: ClientConfig,
        bind_address: SocketAddr,
        protocol_version: u16,
        clock: SharedClock,
        metrics: Metrics,
    ) -> io::Result<Self> {
        let endpoint = LocalEndpoint {
            endpoint: Endpoint::client(bind_address)?,
            rotated_at: clock.now(),
        };
        Ok(Self {
            config,
            bind_address,
            protocol_version,
            clock,
            metrics,
            endpoint: Mutex::new(endpoint),
            connections: Mutex::default(),
        })
    }

    pub(super) async fn call(
        &self,
        to: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let message = postcard::to_stdvec(request).map_err(not_sent)?;
        if message.len() > MESSAGE_MAX_BYTES {
            return Err(not_sent("request exceeds the message size limit"));
        }
        let started_at = self.clock.now();
        let pooled = self.pooled_connection(to, started_at);
        let connecting = self.get_or_connect(&pooled, to);
        let connection = tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), connecting)
            .await
            .unwrap_or_else(|_| Err(not_sent("no connection within the timeout")))?;
        let remaining = timeout.saturating_sub(self.clock.now().saturating_sub(started_at));
        let exchange = exchange_message(&connection, &message, request.reply_max_bytes());
        match tokio::time::timeout(remaining, exchange).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(failure)) => Err(self.call_error(&pooled, &connection, failure).await),
            Err(_) => {
                self.discard_connection(&pooled, &connection).await;
                Err(CallError::Unknown("no reply within the timeout".to_owned()))
            }
        }
    }

    pub(super) fn open_bytes(&self) -> u64 {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connections = connections.values().filter_map(|pooled| {
            let connection = pooled.connection.try_lock().ok()?;
            let stats = connection.as_ref()?.stats();
            Some(stats.udp_tx.bytes + stats.udp_rx.bytes)
        });
        connections.sum()
    }

    fn pooled_connection(&self, to: SocketAddr, now: Instant) -> Arc<PooledConnection> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if connections.len() >= OUTGOING_CONNECTIONS_MAX && !connections.contains_key(&to) {
            let least_recently_used = connections
                .iter()
                .min_by_key(|(_, pooled)| pooled.last_used_at());
            if let Some(address) = least_recently_used.map(|(address, _)| *address) {
                connections.remove(&address);
            }
        }
        let pooled = connections
            .entry(to)
            .or_insert_with(|| Arc::new(PooledConnection::new(now)));
        *pooled
            .last_used_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = now;
        pooled.clone()
    }

    async fn get_or_connect(
        &self,
        pooled: &PooledConnection,
        to: SocketAddr,
    ) -> Result<Connection, CallError> {
        let mut current = pooled.connection.lock().await;
        match current.as_ref() {
            Some(connection) if connection.close_reason().is_none() => {
                return Ok(connection.clone());
            }
            Some(connection) if connection.close_reason() == Some(ConnectionError::TimedOut) => {
                self.rotate_local_port();
            }
            _ => {}
        }
        *current = None;
        let connection = self.connect(to).await?;
        *current = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, CallError> {
        let endpoint = self.endpoint();
        let name = to.ip().to_string();
        let connecting = endpoint
            .connect_with(self.config.clone(), to, &name)
            .map_err(not_sent)?;
        let connection = match connecting.await {
            Ok(connection) => connection,
            Err(error) => {
                if is_tls_alert(&error) {
                    self.metrics
                        .record_peer_message_drop(PeerDropReason::Foreign);
                }
                return Err(not_sent(error));
            }
        };
        let mut hello = connection.open_uni().await.map_err(not_sent)?;
        let version = self.protocol_version.to_be_bytes();
        hello.write_all(&version).await.map_err(not_sent)?;
        hello.finish().map_err(not_sent)?;
        Ok(connection)
    }

    async fn call_error(
        &self,
        pooled: &PooledConnection,
        connection: &Connection,
        failure: ExchangeError,
    ) -> CallError {
        match failure {
            ExchangeError::NotSent(message) => not_sent(message),
            ExchangeError::ReplyDropped(reason) => {
                self.metrics.record_peer_message_drop(reason);
                self.discard_connection(pooled, connection).await;
                CallError::Unknown(format!("reply dropped: {}", reason.label()))
            }
            // A peer that rejected the connection has handled no request on it.
            ExchangeError::ConnectionBroken(message) => match connection.close_reason() {
                Some(error) if is_connection_rejected(&error) => {
                    self.metrics
                        .record_peer_message_drop(PeerDropReason::Foreign);
                    not_sent(error)
                }
                _ => CallError::Unknown(message),
            },
        }
    }

    /// Closes a connection that failed to deliver a reply, so that the next call opens a new one.
    async fn discard_connection(&self, pooled: &PooledConnection, connection: &Connection) {
        self.rotate_local_port();
        close_connection(connection, close_code::REPLACED);
        let mut current = pooled.connection.lock().await;
        if current.as_ref().map(Connection::stable_id) == Some(connection.stable_id()) {
            *current = None;
        }
    }

    fn endpoint(&self) -> Endpoint {
        let port = self.endpoint.lock().unwrap_or_else(PoisonError::into_inner);
        port.endpoint.clone()
    }

    /// Binds another local port for new connections; existing connections keep theirs.
    ///
    /// A middlebox that has lost its state for a pair of ports keeps dropping packets of that pair.
    fn rotate_local_port(&self) {
        let now = self.clock.now();
        let mut port = self.endpoint.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_sub(port.rotated_at) < PORT_ROTATION_INTERVAL_MIN {
            return;
        }
        if let Ok(endpoint) = Endpoint::client(self.bind_address) {
            port.endpoint = endpoint;
            port.rotated_at = now;
        }
    }
}

impl PooledConnection {
    fn new(now: Instant) -> Self {
        Self {
            connection: tokio::sync::Mutex::default(),
            last_used_at: Mutex::new(now),
        }
    }

    fn last_used_at(&self) -> Instant {
        *self
            .last_used_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.get_mut() {
            close_connection(connection, close_code::REPLACED);
        }
    }
}

/// Error of sending a request and receiving its reply on a connection.
enum ExchangeError {
    NotSent(String),
    ConnectionBroken(String),
    ReplyDropped(PeerDropReason),
}

async fn exchange_message(
    connection: &Connection,
    message: &[u8],
    reply_max_bytes: usize,
) -> Result<Reply, ExchangeError> {
    let (mut send, mut receive) = connection
        .open_bi()
        .await
        .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
    let broken = |error: &dyn std::fmt::Display| ExchangeError::ConnectionBroken(error.to_string());
    send.write_all(message).await.map_err(|e| broken(&e))?;
    send.finish().map_err(|e| broken(&e))?;
    let reply = match receive.read_to_end(reply_max_bytes).await {
        Ok(reply) => reply,
        Err(ReadToEndError::TooLong) => {
            return Err(ExchangeError::ReplyDropped(PeerDropReason::Oversized));
        }
        Err(ReadToEndError::Read(error)) => return Err(broken(&error)),
    };
    postcard::from_bytes(&reply).map_err(|_| ExchangeError::ReplyDropped(PeerDropReason::Malformed))
}

/// Returns whether a handshake failed with a TLS alert, as when one side's certificate was not
/// issued by the fleet's authority.
pub(super) fn is_tls_alert(error: &ConnectionError) -> bool {
    const TLS_ALERTS: std::ops::Range<u64> = 0x100..0x200;
    match error {
        ConnectionError::TransportError(error) => TLS_ALERTS.contains(&u64::from(error.code)),
        ConnectionError::ConnectionClosed(frame) => {
            TLS_ALERTS.contains(&u64::from(frame.error_code))
        }
        _ => false,
    }
}

fn is_connection_rejected(error: &ConnectionError) -> bool {
    match error {
        ConnectionError::ApplicationClosed(frame) => {
            frame.error_code.into_inner() == u64::from(close_code::PROTOCOL_MISMATCH)
        }
        error => is_tls_alert(error),
    }
}

fn not_sent(error: impl ToString) -> CallError {
    CallError::NotSent(error.to_string())
}

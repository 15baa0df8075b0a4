//! Connections to other VMs, one for each, replaced when they fall silent.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quinn::{ClientConfig, Connection, ConnectionError, Endpoint, ReadToEndError};

use super::close::{close, close_code};
use super::wire::{MESSAGE_MAX_BYTES, Reply, Request};
use crate::clock::{Instant, SharedClock};
use crate::telemetry::{Metrics, PeerDropReason};

/// Why a call brought no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// The request was not sent, and the peer will never see it.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The peer may have handled the request.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

/// Bound on making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Connections kept; the one unused for longest makes room.
const CONNECTIONS_MAX: usize = 512;
/// Least time between two changes of the local port.
const PORT_RENEWAL_MIN: Duration = Duration::from_millis(1_000);

/// Connections to other VMs.
#[derive(Debug)]
pub(super) struct Outgoing {
    config: ClientConfig,
    bind_address: SocketAddr,
    protocol_version: u16,
    clock: SharedClock,
    metrics: Metrics,
    endpoint: Mutex<LocalPort>,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

#[derive(Debug)]
struct LocalPort {
    endpoint: Endpoint,
    renewed_at: Instant,
}

/// Place of the one connection to a peer; its lock is held while connecting.
#[derive(Debug)]
struct Slot {
    connection: tokio::sync::Mutex<Option<Connection>>,
    used_at: Mutex<Instant>,
}

impl Outgoing {
    pub(super) fn new(
        config: ClientConfig,
        bind_address: SocketAddr,
        protocol_version: u16,
        clock: SharedClock,
        metrics: Metrics,
    ) -> io::Result<Self> {
        let endpoint = LocalPort {
            endpoint: Endpoint::client(bind_address)?,
            renewed_at: clock.now(),
        };
        Ok(Self {
            config,
            bind_address,
            protocol_version,
            clock,
            metrics,
            endpoint: Mutex::new(endpoint),
            slots: Mutex::default(),
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
            return Err(not_sent("the request is above the size limit"));
        }
        let started_at = self.clock.now();
        let slot = self.slot(to, started_at);
        let connecting = self.connection(&slot, to);
        let connection = tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), connecting)
            .await
            .unwrap_or_else(|_| Err(not_sent("no connection in time")))?;
        let left = timeout.saturating_sub(self.clock.now().saturating_sub(started_at));
        let exchange = exchange(&connection, &message, request.reply_max_bytes());
        match tokio::time::timeout(left, exchange).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(failure)) => Err(self.failed(&slot, &connection, failure).await),
            Err(_) => {
                self.replace(&slot, &connection).await;
                Err(CallError::Unknown("no reply in time".to_owned()))
            }
        }
    }

    pub(super) fn open_bytes(&self) -> u64 {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = slots.values().filter_map(|slot| {
            let connection = slot.connection.try_lock().ok()?;
            let stats = connection.as_ref()?.stats();
            Some(stats.udp_tx.bytes + stats.udp_rx.bytes)
        });
        connections.sum()
    }

    fn slot(&self, to: SocketAddr, now: Instant) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if slots.len() >= CONNECTIONS_MAX && !slots.contains_key(&to) {
            let unused = slots.iter().min_by_key(|(_, slot)| slot.used_at());
            if let Some(address) = unused.map(|(address, _)| *address) {
                slots.remove(&address);
            }
        }
        let slot = slots.entry(to).or_insert_with(|| Arc::new(Slot::new(now)));
        *slot.used_at.lock().unwrap_or_else(PoisonError::into_inner) = now;
        slot.clone()
    }

    async fn connection(&self, slot: &Slot, to: SocketAddr) -> Result<Connection, CallError> {
        let mut current = slot.connection.lock().await;
        match current.as_ref() {
            Some(connection) if connection.close_reason().is_none() => {
                return Ok(connection.clone());
            }
            Some(connection) if connection.close_reason() == Some(ConnectionError::TimedOut) => {
                self.renew_port();
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
                if is_foreign(&error) {
                    self.metrics.peer_message_dropped(PeerDropReason::Foreign);
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

    async fn failed(&self, slot: &Slot, connection: &Connection, failure: Failure) -> CallError {
        match failure {
            Failure::NotSent(message) => not_sent(message),
            Failure::Reply(reason) => {
                self.metrics.peer_message_dropped(reason);
                self.replace(slot, connection).await;
                CallError::Unknown(format!("reply dropped: {}", reason.label()))
            }
            // A peer that turned the whole connection away has handled nothing of it.
            Failure::Broken(message) => match connection.close_reason() {
                Some(error) if is_turned_away(&error) => {
                    self.metrics.peer_message_dropped(PeerDropReason::Foreign);
                    not_sent(error)
                }
                _ => CallError::Unknown(message),
            },
        }
    }

    /// Drops a connection on which a reply stayed out, so that the next call makes a new one.
    async fn replace(&self, slot: &Slot, connection: &Connection) {
        self.renew_port();
        close(connection, close_code::REPLACED);
        let mut current = slot.connection.lock().await;
        if current.as_ref().map(Connection::stable_id) == Some(connection.stable_id()) {
            *current = None;
        }
    }

    fn endpoint(&self) -> Endpoint {
        let port = self.endpoint.lock().unwrap_or_else(PoisonError::into_inner);
        port.endpoint.clone()
    }

    /// Takes another local port for new connections.
    ///
    /// Something between two VMs that has lost track of one pair of ports goes on dropping what
    /// comes from the same pair; connections that still work keep theirs.
    fn renew_port(&self) {
        let now = self.clock.now();
        let mut port = self.endpoint.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_sub(port.renewed_at) < PORT_RENEWAL_MIN {
            return;
        }
        if let Ok(endpoint) = Endpoint::client(self.bind_address) {
            port.endpoint = endpoint;
            port.renewed_at = now;
        }
    }
}

impl Slot {
    fn new(now: Instant) -> Self {
        Self {
            connection: tokio::sync::Mutex::default(),
            used_at: Mutex::new(now),
        }
    }

    fn used_at(&self) -> Instant {
        *self.used_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.get_mut() {
            close(connection, close_code::REPLACED);
        }
    }
}

/// Why an exchange on a connection failed.
enum Failure {
    NotSent(String),
    Broken(String),
    Reply(PeerDropReason),
}

async fn exchange(
    connection: &Connection,
    message: &[u8],
    reply_max_bytes: usize,
) -> Result<Reply, Failure> {
    let (mut send, mut receive) = connection
        .open_bi()
        .await
        .map_err(|error| Failure::NotSent(error.to_string()))?;
    let broken = |error: &dyn std::fmt::Display| Failure::Broken(error.to_string());
    send.write_all(message).await.map_err(|e| broken(&e))?;
    send.finish().map_err(|e| broken(&e))?;
    let reply = match receive.read_to_end(reply_max_bytes).await {
        Ok(reply) => reply,
        Err(ReadToEndError::TooLong) => return Err(Failure::Reply(PeerDropReason::Oversized)),
        Err(ReadToEndError::Read(error)) => return Err(broken(&error)),
    };
    postcard::from_bytes(&reply).map_err(|_| Failure::Reply(PeerDropReason::Malformed))
}

/// Returns whether a handshake failed as one side's certificate is not of the fleet.
pub(super) fn is_foreign(error: &ConnectionError) -> bool {
    const TLS_ALERTS: std::ops::Range<u64> = 0x100..0x200;
    match error {
        ConnectionError::TransportError(error) => TLS_ALERTS.contains(&u64::from(error.code)),
        ConnectionError::ConnectionClosed(frame) => {
            TLS_ALERTS.contains(&u64::from(frame.error_code))
        }
        _ => false,
    }
}

fn is_turned_away(error: &ConnectionError) -> bool {
    match error {
        ConnectionError::ApplicationClosed(frame) => {
            frame.error_code.into_inner() == u64::from(close_code::PROTOCOL)
        }
        error => is_foreign(error),
    }
}

fn not_sent(error: impl ToString) -> CallError {
    CallError::NotSent(error.to_string())
}

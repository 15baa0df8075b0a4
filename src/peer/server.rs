//! Server for the requests of other VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, Incoming, ReadToEndError, RecvStream, SendStream, VarInt};
use rustls_pki_types::CertificateDer;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::close::{close_code, close_connection};
use super::connection_pool::is_tls_alert;
use super::links::Links;
use super::peer_limits::{ConnectionPermit, PeerLimits};
use super::tls_identity::certificate_vm;
use super::wire::{MESSAGE_MAX_BYTES, Reply, Request};
use crate::ids::VmId;
use crate::telemetry::PeerDropReason;

/// Connections of all peers at most.
const INCOMING_CONNECTIONS_MAX: usize = 2_048;
/// Time limit for the handshake and the protocol version message.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time limit for receiving one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// VM that sent a request, authenticated by its certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Name of the VM.
    pub vm: VmId,
    /// Remote address of its connection, which is not the address of its peer listener.
    pub source: SocketAddr,
}

/// Serves the requests of other VMs with `handler` until the future is dropped.
///
/// If the handler returns `None`, the request is dropped and its stream reset.
pub async fn serve<F>(links: Links, handler: impl Fn(Caller, Request) -> F + Send + Sync + 'static)
where
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    let limits = PeerLimits::new(links.clock().clone(), links.requests_per_s());
    let connection_slots = Arc::new(Semaphore::new(INCOMING_CONNECTIONS_MAX));
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    while let Some(incoming) = links.listener().accept().await {
        while connections.try_join_next().is_some() {}
        let Ok(connection_slot) = connection_slots.clone().try_acquire_owned() else {
            count_dropped_message(&links, PeerDropReason::QueueFull);
            incoming.refuse();
            continue;
        };
        let session = ConnectionSession {
            links: links.clone(),
            limits: limits.clone(),
            handler: handler.clone(),
        };
        connections.spawn(async move {
            session.run(incoming).await;
            drop(connection_slot);
        });
    }
}

struct ConnectionSession<H> {
    links: Links,
    limits: PeerLimits,
    handler: Arc<H>,
}

impl<H, F> ConnectionSession<H>
where
    H: Fn(Caller, Request) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    async fn run(self, incoming: Incoming) {
        let accepting = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.accept_connection(incoming));
        let Ok(Some((connection, caller))) = accepting.await else {
            return;
        };
        let Some(permit) = self.limits.admit(&caller.vm) else {
            count_dropped_message(&self.links, PeerDropReason::RateExceeded);
            return close_connection(&connection, close_code::RATE_EXCEEDED);
        };
        self.serve_requests(&connection, &caller, &permit).await;
    }

    /// Completes the handshake and checks the protocol version, which is the first message.
    async fn accept_connection(&self, incoming: Incoming) -> Option<(Connection, Caller)> {
        let source = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(error) => {
                if is_tls_alert(&error) {
                    count_dropped_message(&self.links, PeerDropReason::Foreign);
                }
                return None;
            }
        };
        let Some(vm) = peer_vm(&connection) else {
            count_dropped_message(&self.links, PeerDropReason::Foreign);
            close_connection(&connection, close_code::PROTOCOL_MISMATCH);
            return None;
        };
        let mut hello = connection.accept_uni().await.ok()?;
        let version = self.links.protocol_version().to_be_bytes();
        if hello.read_to_end(version.len()).await.ok()? != version {
            count_dropped_message(&self.links, PeerDropReason::Foreign);
            close_connection(&connection, close_code::PROTOCOL_MISMATCH);
            return None;
        }
        Some((connection, Caller { vm, source }))
    }

    async fn serve_requests(
        &self,
        connection: &Connection,
        caller: &Caller,
        permit: &ConnectionPermit,
    ) {
        let mut running = JoinSet::new();
        while let Ok((mut send, mut receive)) = connection.accept_bi().await {
            while running.try_join_next().is_some() {}
            if !permit.try_take_request() {
                count_dropped_message(&self.links, PeerDropReason::RateExceeded);
                reset(&mut send, &mut receive, close_code::RATE_EXCEEDED);
                continue;
            }
            let (links, handler) = (self.links.clone(), self.handler.clone());
            let caller = caller.clone();
            running.spawn(async move {
                match read_request(&mut receive).await {
                    Ok(request) => match handler(caller, request).await {
                        Some(reply) => write_reply(&mut send, &reply).await,
                        None => reset(&mut send, &mut receive, close_code::MESSAGE_UNUSABLE),
                    },
                    Err(Some(reason)) => {
                        count_dropped_message(&links, reason);
                        reset(&mut send, &mut receive, close_code::MESSAGE_UNUSABLE);
                    }
                    Err(None) => {}
                }
            });
        }
    }
}

/// Reads a request; an error without a reason means that the peer closed the stream.
async fn read_request(receive: &mut RecvStream) -> Result<Request, Option<PeerDropReason>> {
    let message = receive.read_to_end(MESSAGE_MAX_BYTES);
    let message = match tokio::time::timeout(REQUEST_TIMEOUT, message).await {
        Ok(Ok(message)) => message,
        Ok(Err(ReadToEndError::TooLong)) => return Err(Some(PeerDropReason::Oversized)),
        Ok(Err(ReadToEndError::Read(_))) => return Err(None),
        Err(_) => return Err(Some(PeerDropReason::Malformed)),
    };
    let (request, rest) =
        postcard::take_from_bytes(&message).map_err(|_| Some(PeerDropReason::Malformed))?;
    match rest.is_empty() {
        true => Ok(request),
        false => Err(Some(PeerDropReason::Malformed)),
    }
}

async fn write_reply(send: &mut SendStream, reply: &Reply) {
    let Ok(message) = postcard::to_stdvec(reply) else {
        return;
    };
    // A write error means that the peer has closed the stream and expects no reply.
    if send.write_all(&message).await.is_ok() {
        let _ = send.finish();
    }
}

fn reset(send: &mut SendStream, receive: &mut RecvStream, code: u32) {
    // Both calls fail only on streams that have already ended.
    let _ = send.reset(VarInt::from_u32(code));
    let _ = receive.stop(VarInt::from_u32(code));
}

fn peer_vm(connection: &Connection) -> Option<VmId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    certificate_vm(chain.first()?)
}

fn count_dropped_message(links: &Links, reason: PeerDropReason) {
    links.metrics().record_peer_message_drop(reason);
}

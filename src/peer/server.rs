//! Requests from other VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, Incoming, ReadToEndError, RecvStream, SendStream, VarInt};
use rustls_pki_types::CertificateDer;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::close::{close, close_code};
use super::identity::vm_of;
use super::links::Links;
use super::outgoing::is_foreign;
use super::rate::{Admitted, PeerRates};
use super::wire::{MESSAGE_MAX_BYTES, Reply, Request};
use crate::ids::VmId;
use crate::telemetry::PeerDropReason;

/// Connections of all peers together.
const CONNECTIONS_MAX: usize = 2_048;
/// Bound on a handshake with the first message.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Bound on the arrival of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// VM that sent a request, as its certificate names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Name of the VM.
    pub vm: VmId,
    /// Where its connection comes from; not its address for peers.
    pub source: SocketAddr,
}

/// Answers the requests of other VMs with `handler` until dropped.
///
/// A request that the handler answers with nothing is dropped.
pub async fn serve<F>(links: Links, handler: impl Fn(Caller, Request) -> F + Send + Sync + 'static)
where
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    let rates = PeerRates::new(links.clock().clone(), links.requests_per_s());
    let places = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    while let Some(incoming) = links.listener().accept().await {
        while connections.try_join_next().is_some() {}
        let Ok(place) = places.clone().try_acquire_owned() else {
            drop_message(&links, PeerDropReason::QueueFull);
            incoming.refuse();
            continue;
        };
        let session = Session {
            links: links.clone(),
            rates: rates.clone(),
            handler: handler.clone(),
        };
        connections.spawn(async move {
            session.run(incoming).await;
            drop(place);
        });
    }
}

struct Session<H> {
    links: Links,
    rates: PeerRates,
    handler: Arc<H>,
}

impl<H, F> Session<H>
where
    H: Fn(Caller, Request) -> F + Send + Sync + 'static,
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    async fn run(self, incoming: Incoming) {
        let greeting = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.greet(incoming));
        let Ok(Some((connection, caller))) = greeting.await else {
            return;
        };
        let Some(admitted) = self.rates.admit(&caller.vm) else {
            drop_message(&self.links, PeerDropReason::RateExceeded);
            return close(&connection, close_code::RATE);
        };
        self.requests(&connection, &caller, &admitted).await;
    }

    /// Finishes the handshake and reads the first message.
    async fn greet(&self, incoming: Incoming) -> Option<(Connection, Caller)> {
        let source = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(error) => {
                if is_foreign(&error) {
                    drop_message(&self.links, PeerDropReason::Foreign);
                }
                return None;
            }
        };
        let Some(vm) = peer_vm(&connection) else {
            drop_message(&self.links, PeerDropReason::Foreign);
            close(&connection, close_code::PROTOCOL);
            return None;
        };
        let mut hello = connection.accept_uni().await.ok()?;
        let version = self.links.protocol_version().to_be_bytes();
        if hello.read_to_end(version.len()).await.ok()? != version {
            drop_message(&self.links, PeerDropReason::Foreign);
            close(&connection, close_code::PROTOCOL);
            return None;
        }
        Some((connection, Caller { vm, source }))
    }

    async fn requests(&self, connection: &Connection, caller: &Caller, admitted: &Admitted) {
        let mut running = JoinSet::new();
        while let Ok((mut send, mut receive)) = connection.accept_bi().await {
            while running.try_join_next().is_some() {}
            if !admitted.take_request() {
                drop_message(&self.links, PeerDropReason::RateExceeded);
                reset(&mut send, &mut receive, close_code::RATE);
                continue;
            }
            let (links, handler) = (self.links.clone(), self.handler.clone());
            let caller = caller.clone();
            running.spawn(async move {
                match read(&mut receive).await {
                    Ok(request) => match handler(caller, request).await {
                        Some(reply) => write(&mut send, &reply).await,
                        None => reset(&mut send, &mut receive, close_code::MESSAGE),
                    },
                    Err(Some(reason)) => {
                        drop_message(&links, reason);
                        reset(&mut send, &mut receive, close_code::MESSAGE);
                    }
                    Err(None) => {}
                }
            });
        }
    }
}

/// Reads a request; an error without a reason is the peer's leaving.
async fn read(receive: &mut RecvStream) -> Result<Request, Option<PeerDropReason>> {
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

async fn write(send: &mut SendStream, reply: &Reply) {
    let Ok(message) = postcard::to_stdvec(reply) else {
        return;
    };
    // A peer that left learns nothing more.
    if send.write_all(&message).await.is_ok() {
        let _ = send.finish();
    }
}

fn reset(send: &mut SendStream, receive: &mut RecvStream, code: u32) {
    // Both fail only on streams that have ended.
    let _ = send.reset(VarInt::from_u32(code));
    let _ = receive.stop(VarInt::from_u32(code));
}

fn peer_vm(connection: &Connection) -> Option<VmId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    vm_of(chain.first()?)
}

fn drop_message(links: &Links, reason: PeerDropReason) {
    links.metrics().peer_message_dropped(reason);
}

//! Peer links between the VMs of a fleet: typed requests over QUIC with mutual TLS.

mod authority;
mod close;
mod connection_pool;
mod holder_client;
mod links;
mod peer_limits;
mod request_handler;
mod server;
mod tls_identity;
pub mod wire;

pub use authority::{Authority, AuthorityError, Issued};
pub use connection_pool::CallError;
pub use holder_client::PeerHolderClient;
pub use links::{Links, LinksError, LinksSettings, REQUESTS_PER_S};
pub use request_handler::RequestHandler;
pub use server::{Caller, serve};
pub use tls_identity::{TlsIdentity, TlsIdentityError};
pub use wire::{PROTOCOL_VERSION, Reply, Request};

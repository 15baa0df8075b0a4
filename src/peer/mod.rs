//! Links between the fleet's VMs: typed requests over QUIC with mutual TLS.

mod authority;
mod close;
mod handler;
mod holders;
mod identity;
mod links;
mod outgoing;
mod rate;
mod server;
pub mod wire;

pub use authority::{Authority, AuthorityError, Issued};
pub use handler::Handler;
pub use holders::PeerHolders;
pub use identity::{Identity, IdentityError};
pub use links::{Links, LinksError, LinksSettings, REQUESTS_PER_S};
pub use outgoing::CallError;
pub use server::{Caller, serve};
pub use wire::{PROTOCOL_VERSION, Reply, Request};

//! Client of the platform's store: versioned objects, conditional writes, watches and the VM list.

mod client;
mod error;
mod object;
mod transport;
mod version_gate;
mod write;

pub use client::StoreClient;
pub use error::StoreError;
pub use object::{Kind, Listing, Object, VmListing, VmState};
pub use transport::{StoreRequest, StoreResponse, Transport};
pub use version_gate::VersionGate;
pub use write::{DeleteOutcome, PutOutcome};

//! Client of the platform's store: versioned objects, conditional writes, watches and the VM list.

mod client;
mod error;
mod gate;
mod object;
mod transport;
mod write;

pub use client::StoreClient;
pub use error::StoreError;
pub use gate::VersionGate;
pub use object::{Kind, Listing, Object, VmListing, VmState};
pub use transport::{Answer, Call, Transport};
pub use write::{DeleteOutcome, PutOutcome};

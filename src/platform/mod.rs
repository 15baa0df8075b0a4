//! Client of the platform's store: versioned objects, conditional writes, watches and the VM list.

mod client;
mod error;
mod object;
mod position;
mod transport;
mod version_gate;
mod write;

pub use client::StoreClient;
pub use error::StoreError;
pub use object::{Kind, Listing, Object, VmListing, VmState};
pub(crate) use position::serialize_position;
pub use position::{era_of, revision_of, store_position};
pub use transport::{StoreRequest, StoreResponse, Transport};
pub use version_gate::VersionGate;
pub use write::{DeleteOutcome, PutOutcome};

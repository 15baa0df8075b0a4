//! Operators' configuration document: typed model, INI text, checks, and the indexed snapshot.

mod check;
mod diff;
mod model;
mod snapshot;
mod table;
mod text;

pub use diff::{Change, ChangeKind};
pub use model::{
    Customer, Document, FencingCheck, KEY_DIGEST_BYTES, KeyDigest, Model, Route, RouteAccess,
    RouteId, Upstream, UpstreamKind, UpstreamState,
};
pub use snapshot::{Snapshot, digest_key};
pub use text::{DOCUMENT_MAX_BYTES, document_page};

//! Connections and calls to upstreams.

mod client;
mod suspects;
mod unreachable;

pub use client::{ConnectionReuse, SendError, UpstreamClient, UpstreamResponse};
pub use unreachable::UnreachableUpstreams;

//! HTTP client for upstreams, with connection reuse and tracking of unreachable upstreams.

mod client;
mod suspects;
mod unreachable;

pub use client::{ConnectionReuse, SendError, UpstreamClient, UpstreamResponse};
pub use unreachable::UnreachableUpstreams;

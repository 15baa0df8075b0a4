//! HTTP front end that authenticates callers' requests and forwards them to upstreams.

mod app;
mod attempt;
mod auth;
mod backpressure;
mod body;
mod buffered_completion;
mod caller_stream;
mod completion_request;
mod connection_phase;
mod connections;
mod drain;
mod engine_run;
mod explain;
mod handler;
mod headers;
mod models;
mod operator;
mod plain_service;
mod refusal;
mod responses;
mod server;
mod sse;
mod streamed_completion;

pub use app::App;
pub(crate) use backpressure::apply_backpressure;
pub(crate) use body::{collect_body, discard_body};
pub(crate) use caller_stream::CallerStream;
pub use connection_phase::{ConnectionAction, ConnectionPhase, ConnectionTimeouts};
pub(crate) use connections::Connections;
pub use drain::Drain;
pub(crate) use drain::RequestGuard;
pub(crate) use headers::strip_hop_by_hop;
pub use operator::serve_operators;
pub use server::{serve_callers, stop_listening};
pub use sse::{EventParser, EventStreamError, ParsedEvents};

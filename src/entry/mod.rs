//! Entry: takes callers' requests and sends them to upstreams.

mod app;
mod attempt;
mod auth;
mod body;
mod completion;
mod connections;
mod drain;
mod explain;
mod guarded;
mod handler;
mod headers;
mod held;
mod models;
mod operator;
mod phase;
mod plain;
mod refusal;
mod reply;
mod run;
mod server;
mod sse;
mod stream;
mod whole;

pub use app::App;
pub(crate) use body::collect as collect_body;
pub(crate) use connections::Connections;
pub use drain::Drain;
pub(crate) use drain::UnderWay;
pub(crate) use guarded::GuardedStream;
pub(crate) use headers::strip_hop_by_hop;
pub(crate) use held::hold;
pub use operator::serve_operators;
pub use phase::{Limits, Phase, Verdict};
pub use server::{serve_callers, stop_listening};
pub use sse::{EventParser, Parsed, PositionError};

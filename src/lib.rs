//! Router for language-model traffic with long shared prompts.
//!
//! The daemons in `src/bin` contain no logic of their own: each reads its settings and runs a tree
//! of supervised tasks from this library.

pub mod caller_memory;
pub mod clock;
pub mod command;
pub mod config;
pub mod daemon;
pub mod document;
pub mod entry;
pub mod error;

pub mod fair;
pub mod gateway;
pub mod idempotency;
pub mod ids;
pub mod ini;
pub mod limit;
pub mod membership;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod retry;
pub mod route;
pub mod settings;
pub mod steward;
pub mod supervisor;
pub mod telemetry;
pub mod upstream;

//! Numbered result codes, refusals sent to callers, and faults found in documents.

mod code;
mod fault;
mod refusal;

pub use code::{Code, ExecutionStatus};
pub use fault::{Fault, Faults};
pub use refusal::Refusal;

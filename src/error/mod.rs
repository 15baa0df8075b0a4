//! Result codes, error responses to callers, and validation faults in settings and documents.

mod code;
mod fault;
mod refusal;

pub use code::{Code, ExecutionStatus};
pub use fault::{Fault, Faults};
pub use refusal::Refusal;

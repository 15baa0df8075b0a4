//! Supervision of long-running tasks: restart with backoff and ordered shutdown.

mod error;
mod restart;
mod stop;
mod task;
mod tree;

pub use error::{ChildError, SupervisorError};
pub use restart::{RestartDecision, RestartPolicy, RestartWindow};
pub use stop::StopSignal;
pub use tree::{ChildSettings, RunningSupervisor, Supervisor, SupervisorContext};

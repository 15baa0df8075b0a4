//! Errors of supervised tasks and of supervisors.

use std::process::ExitCode;

/// Exit code for an internal software error, `EX_SOFTWARE` of `sysexits.h`.
const EXIT_CODE_SOFTWARE: u8 = 70;

/// Error that a run of a supervised task may return.
pub type ChildError = Box<dyn std::error::Error + Send + Sync>;

/// Error of a supervisor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SupervisorError {
    /// A child failed more often than its restart policy allows.
    #[error("child {child} failed too often, last: {cause}")]
    RestartsExceeded {
        /// Name of the child.
        child: &'static str,
        /// Message of its last failure.
        cause: String,
    },
}

impl SupervisorError {
    /// Returns the exit code of a process whose root supervisor failed.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(EXIT_CODE_SOFTWARE)
    }
}

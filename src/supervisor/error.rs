//! Failures of supervised tasks.

use std::process::ExitCode;

const EXIT_CODE_SOFTWARE: u8 = 70;

/// Failure that a supervised task may end in.
pub type ChildError = Box<dyn std::error::Error + Send + Sync>;

/// Failure of a supervisor.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SupervisorError {
    /// A child failed more often than its policy allows.
    #[error("child {child} failed too often, last: {cause}")]
    RestartsExceeded {
        /// Name of the child.
        child: &'static str,
        /// Its last failure.
        cause: String,
    },
}

impl SupervisorError {
    /// Returns the exit code of a process whose root supervisor failed.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(EXIT_CODE_SOFTWARE)
    }
}

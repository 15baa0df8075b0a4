//! Errors of the operators' command, with their result codes and exit codes.

use std::io;
use std::path::PathBuf;

use serde_json::{Value, json};

use super::exit;
use crate::document::Change;
use crate::error::{Code, Faults};
use crate::ids::{ObjectVersion, VmId};
use crate::platform::StoreError;

/// Error of the operators' command.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum CommandError {
    /// A file cannot be read or written.
    #[error("{path}: {source}", path = path.display())]
    File { path: PathBuf, source: io::Error },
    /// A document is invalid.
    #[error("{place}:\n{faults}")]
    Faults {
        place: String,
        code: Code,
        faults: Faults,
    },
    /// The requested change is not allowed.
    #[error("{0}")]
    Refused(String),
    /// The stored document has another version than expected.
    #[error(
        "the stored document has version {found}, not {expected}; nothing was applied. \
         Look at the difference below, then repeat with --if-version {found}"
    )]
    Conflict {
        expected: ObjectVersion,
        found: ObjectVersion,
        changes: Vec<Change>,
    },
    /// The store has no such object.
    #[error("{0}")]
    NotFound(String),
    /// A call to the store failed and no change was applied.
    #[error("{0}; nothing was applied")]
    Store(#[from] StoreError),
    /// A write did not take effect.
    #[error("the write had no effect; look at the version with `celerylever show`, then repeat")]
    NotApplied,
    /// It is not known whether the document was written.
    #[error("it is not known whether the document was applied; look with `celerylever show`")]
    OutcomeUnknown,
    /// It is not known whether the record of a VM was fenced.
    #[error("it is not known whether the record of {0} was fenced; repeat the command")]
    FenceOutcomeUnknown(VmId),
    /// Some live VM did not report the new version within the timeout.
    #[error("version {version} was applied, but is not yet in force on {}", behind.join(", "))]
    NotInForce {
        version: ObjectVersion,
        behind: Vec<String>,
    },
    /// The version was applied, but the state of the VMs cannot be read.
    #[error("version {version} was applied, but its progress is unknown: {source}")]
    ProgressUnknown {
        version: ObjectVersion,
        source: StoreError,
    },
    /// The output cannot be written.
    #[error("cannot print: {0}")]
    Output(#[from] io::Error),
}

impl CommandError {
    /// Returns the result code.
    pub(super) fn code(&self) -> Code {
        match self {
            Self::File { .. } | Self::Output(_) => Code::Internal,
            Self::Faults { code, .. } => *code,
            Self::Refused(_) => Code::DocumentInvalid,
            Self::Conflict { .. } => Code::VersionConflict,
            Self::NotFound(_) => Code::ObjectMissing,
            Self::Store(source) | Self::ProgressUnknown { source, .. } => source.code(),
            Self::NotApplied | Self::NotInForce { .. } => Code::StoreUnreachable,
            Self::OutcomeUnknown | Self::FenceOutcomeUnknown(_) => Code::WriteUnknown,
        }
    }

    /// Returns the exit code of the process.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Output(_) => exit::USAGE,
            Self::Faults { .. } | Self::Refused(_) | Self::NotFound(_) => exit::REFUSED,
            Self::Store(source) if source.code() == Code::ValueTooLarge => exit::REFUSED,
            Self::Conflict { .. } => exit::CONFLICT,
            Self::Store(_) | Self::NotApplied => exit::UNREACHABLE,
            Self::OutcomeUnknown | Self::FenceOutcomeUnknown(_) => exit::UNKNOWN_OUTCOME,
            Self::NotInForce { .. } | Self::ProgressUnknown { .. } => exit::NOT_IN_FORCE,
        }
    }

    /// Returns the changes to print with the error.
    pub(super) fn changes(&self) -> &[Change] {
        match self {
            Self::Conflict { changes, .. } => changes,
            _ => &[],
        }
    }

    /// Returns the error as a JSON object.
    pub(super) fn to_json(&self) -> Value {
        let mut error = json!({
            "code": self.code().number(),
            "name": self.code().name(),
            "message": self.to_string(),
            "exit_code": self.exit_code(),
        });
        match self {
            Self::Faults { faults, .. } => error["faults"] = faults_json(faults),
            Self::Conflict { found, changes, .. } => {
                error["version"] = json!(found);
                error["changes"] = json!(changes);
            }
            _ => {}
        }
        json!({ "error": error })
    }
}

fn faults_json(faults: &Faults) -> Value {
    let items = faults.0.iter().map(|fault| {
        json!({
            "section": fault.section,
            "key": fault.key,
            "value": fault.value,
            "allowed": fault.allowed,
        })
    });
    items.collect()
}

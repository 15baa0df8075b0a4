//! Exit codes of the operators' command.

/// The command succeeded.
pub const OK: u8 = 0;
/// The command line is invalid, or a file cannot be read or written.
pub const USAGE: u8 = 2;
/// The document is invalid, the change is not allowed or an object is missing; no change was
/// applied.
pub const REFUSED: u8 = 3;
/// The stored document has another version than expected; no change was applied.
pub const CONFLICT: u8 = 4;
/// The store cannot be reached or a write had no effect; no change was applied.
pub const UNREACHABLE: u8 = 5;
/// It is not known whether the change was applied.
pub const UNKNOWN_OUTCOME: u8 = 6;
/// The change was applied, but is not yet in force on every live VM.
pub const NOT_IN_FORCE: u8 = 7;

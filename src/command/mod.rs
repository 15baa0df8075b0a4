//! Operators' command `celerylever`: checks, prints and applies the operators' document.

mod apply;
mod cli;
mod document_reader;
mod error;
mod exit;
mod explain;
mod fleet;
mod history;
mod inspect;
mod keys;
mod printer;
mod run;
mod status;
mod store;
mod vm;
mod wait;

pub use exit::{CONFLICT, NOT_IN_FORCE, OK, REFUSED, UNKNOWN_OUTCOME, UNREACHABLE, USAGE};
pub use run::{execute, run};
pub use store::Store;

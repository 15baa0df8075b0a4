//! Startup, supervised tasks and shutdown of the daemons.

mod args;
mod entry;
mod launch;
mod listener;
mod peers;

pub use args::DaemonArgs;
pub use entry::run_entry;
pub(crate) use entry::run_until_stopped;
pub use launch::{EXIT_INVALID_SETTINGS, EXIT_RUNTIME_FAILURE};
pub(crate) use launch::{launch, wait_for_stop_signal};
pub(crate) use listener::{SharedListener, wait_until_accepted};

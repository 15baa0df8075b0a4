//! What the daemons' programs do once their arguments are parsed.

mod args;
mod entry;
mod launch;
mod peers;

pub use args::DaemonArgs;
pub use entry::run_entry;
pub(crate) use entry::{Listener, until_stopped};
pub use launch::{EXIT_FAILED, EXIT_SETTINGS};
pub(crate) use launch::{launch, stop_requested};

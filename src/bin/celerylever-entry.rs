//! Entry daemon: accepts requests of callers and forwards them to upstreams.

use std::process::ExitCode;

use celerylever::daemon::{DaemonArgs, run_entry};
use clap::Parser;

/// Accepts requests of callers and forwards them to upstreams.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "celerylever-entry", version)]
struct Args {
    #[command(flatten)]
    daemon: DaemonArgs,
}

fn main() -> ExitCode {
    run_entry(&Args::parse().daemon)
}

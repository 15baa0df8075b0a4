//! Steward daemon: holds the lease for sending orders to engines.

use std::process::ExitCode;

use celerylever::daemon::DaemonArgs;
use celerylever::steward::run_steward;
use clap::Parser;

/// Holds the lease for sending orders to engines.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "celerylever-steward", version)]
struct Args {
    #[command(flatten)]
    daemon: DaemonArgs,
}

fn main() -> ExitCode {
    run_steward(&Args::parse().daemon)
}

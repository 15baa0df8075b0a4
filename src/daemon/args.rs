//! Command-line arguments common to all daemons.

use std::path::PathBuf;

/// Command-line arguments common to all daemons.
#[derive(Debug, Clone)]
#[derive(clap::Args)]
pub struct DaemonArgs {
    /// File with the settings
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,

    /// Check the settings and exit
    #[arg(long)]
    pub check_settings: bool,
}

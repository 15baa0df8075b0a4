//! Command-line arguments of `celerylever`.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use crate::document::KeyDigest;
use crate::ids::{ObjectVersion, VmId};
use crate::ini::parse_digest;

/// Checks, prints and applies the operators' document.
///
/// Exit codes: 0 done, 2 usage, 3 refused, 4 conflict, 5 store unreachable, 6 outcome unknown,
/// 7 applied but not yet in force everywhere.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(name = "celerylever", version, propagate_version = true)]
pub(super) struct Cli {
    /// Format of the output
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Text)]
    pub(super) output: OutputFormat,
    #[command(subcommand)]
    pub(super) action: Action,
}

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub(super) enum OutputFormat {
    /// Human-readable text
    Text,
    /// One JSON object
    Json,
}

/// Subcommand of `celerylever`.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum Action {
    /// Check a document and report every fault
    Check {
        /// Document to check
        file: PathBuf,
    },
    /// Show what applying a document would change
    Diff {
        /// New document
        file: PathBuf,
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Apply a document of the store's own environment
    Apply {
        /// New document
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Apply a document of another environment
    Promote {
        /// Document to promote
        file: PathBuf,
        /// Environment that the document names
        #[arg(long)]
        from: String,
        /// Environment of the store
        #[arg(long)]
        to: String,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Apply an earlier version's contents as a new version
    Rollback {
        /// Version whose contents are applied again
        #[arg(long, value_name = "VERSION")]
        to_version: ObjectVersion,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Print a stored document
    Show {
        #[command(flatten)]
        store: StoreArgs,
        /// Earlier version to print instead of the current one
        #[arg(long, value_name = "VERSION")]
        at_version: Option<ObjectVersion>,
        /// Print credentials instead of a mask
        #[arg(long)]
        with_credentials: bool,
    },
    /// Show the VMs, the versions in force, the upstreams and the customers
    Status {
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Print the history of a request from the logs of all processes
    Explain {
        /// Identifier of the request
        request_id: String,
        /// Log files to read; standard input if none is given
        files: Vec<PathBuf>,
    },
    /// Create and revoke the keys of callers
    #[command(subcommand)]
    Key(KeyAction),
    /// Manage the records of VMs
    #[command(subcommand)]
    Vm(VmAction),
    /// Create the certificates of a fleet
    #[command(subcommand)]
    Fleet(FleetAction),
    /// Print a completion script for a shell
    Completions {
        /// Shell to complete for
        #[arg(value_enum)]
        shell: clap_complete::Shell,
    },
    /// Print the manual page
    Man,
    /// Print the version
    Version,
    /// Print docs/SETTINGS.md
    #[command(hide = true)]
    SettingsPage,
    /// Print docs/SETTINGS-GATEWAY.md
    #[command(hide = true)]
    GatewaySettingsPage,
    /// Print docs/DOCUMENT.md
    #[command(hide = true)]
    DocumentPage,
}

/// Subcommand of `celerylever key`.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum KeyAction {
    /// Create a random key; it is not shown again
    New,
    /// Remove a key's digest from a document
    Revoke {
        /// Digest as sha256:HEX
        #[arg(value_parser = parse_key_digest)]
        digest: KeyDigest,
        /// File to edit in place
        #[arg(required_unless_present = "store", conflicts_with = "store")]
        file: Option<PathBuf>,
        /// Address of the store whose document is changed
        #[arg(long, value_name = "IP:PORT", requires = "if_version")]
        store: Option<SocketAddr>,
        /// Version that the stored document must have
        #[arg(long, value_name = "VERSION", requires = "store")]
        if_version: Option<ObjectVersion>,
    },
}

/// Subcommand of `celerylever vm`.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum VmAction {
    /// Attest that a VM is dead, so that other VMs take over its shares of the rates
    ///
    /// Needed only if a VM died together with most of its witnesses. Do not use it for a VM that is
    /// still running and reaches its witnesses: it would keep spending the rates that other VMs
    /// take over.
    Forget {
        /// Name of the VM
        name: VmId,
        #[command(flatten)]
        store: StoreArgs,
    },
}

/// Subcommand of `celerylever fleet`.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum FleetAction {
    /// Create the certificate authority of the fleet
    Init {
        /// Directory to create the files in
        directory: PathBuf,
        /// Validity of the certificate, in days
        #[arg(long, default_value_t = 3_650, value_parser = clap::value_parser!(u32).range(1..=36_500))]
        days: u32,
    },
    /// Issue the certificate and private key of a VM
    Issue {
        /// Directory with the authority's files; the new files are created there too
        directory: PathBuf,
        /// Name of the VM, as in its settings
        #[arg(value_parser = parse_vm_name)]
        vm: String,
        /// IP address at which its peers reach it
        address: IpAddr,
        /// Validity of the certificate, in days
        #[arg(long, default_value_t = 365, value_parser = clap::value_parser!(u32).range(1..=36_500))]
        days: u32,
    },
}

/// Arguments that select the store.
#[derive(Debug, Clone, Copy)]
#[derive(clap::Args)]
pub(super) struct StoreArgs {
    /// Address of the platform's store
    #[arg(long = "store", value_name = "IP:PORT")]
    pub(super) address: SocketAddr,
}

/// Arguments of commands that change the stored document.
#[derive(Debug, Clone, Copy)]
#[derive(clap::Args)]
pub(super) struct ChangeArgs {
    #[command(flatten)]
    pub(super) store: StoreArgs,
    /// Version that the stored document must have; 0 if there is none
    #[arg(long, value_name = "VERSION")]
    pub(super) if_version: ObjectVersion,
    /// Wait until the new version is in force on every live VM
    #[arg(long)]
    pub(super) wait: bool,
    /// Timeout of the wait, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 30_000, requires = "wait")]
    pub(super) wait_timeout_ms: u64,
}

fn parse_key_digest(text: &str) -> Result<KeyDigest, &'static str> {
    parse_digest(text).ok_or("expected sha256: and 64 hex digits")
}

fn parse_vm_name(text: &str) -> Result<String, &'static str> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let is_name = !text.is_empty() && text.bytes().all(allowed) && !text.starts_with('.');
    let is_reserved = text == "authority" || text.ends_with("-key");
    match is_name && !is_reserved {
        true => Ok(text.to_owned()),
        false => Err(
            "expected letters, digits and . _ -, no leading dot, not `authority`, not ending in -key",
        ),
    }
}

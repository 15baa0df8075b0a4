//! Command line of `celerylever`.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use crate::document::KeyDigest;
use crate::ids::{ObjectVersion, VmId};
use crate::ini::parse_digest;

/// Checks, shows and applies the operators' document.
///
/// Exit codes: 0 done, 2 usage, 3 refused, 4 conflict, 5 store unreachable, 6 outcome unknown,
/// 7 applied but not yet in force everywhere.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(name = "celerylever", version, propagate_version = true)]
pub(super) struct Cli {
    /// Form of what is printed
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Text)]
    pub(super) output: OutputFormat,
    #[command(subcommand)]
    pub(super) action: Action,
}

/// Form of what the command prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub(super) enum OutputFormat {
    /// Text for people
    Text,
    /// One JSON object
    Json,
}

/// What to do.
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
        /// Version whose contents come back
        #[arg(long, value_name = "VERSION")]
        to_version: ObjectVersion,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Print a stored document
    Show {
        #[command(flatten)]
        store: StoreArgs,
        /// Earlier version to print in place of the current one
        #[arg(long, value_name = "VERSION")]
        at_version: Option<ObjectVersion>,
        /// Print credentials in place of a mask
        #[arg(long)]
        with_credentials: bool,
    },
    /// Show the VMs, the versions in force, the upstreams and the customers
    Status {
        #[command(flatten)]
        store: StoreArgs,
    },
    /// Tell the story of a request from the logs of the processes
    Explain {
        /// Identifier of the request
        request_id: String,
        /// Files with log lines; standard input where none is named
        files: Vec<PathBuf>,
    },
    /// Make and revoke callers' keys
    #[command(subcommand)]
    Key(KeyAction),
    /// Act on the records of VMs
    #[command(subcommand)]
    Vm(VmAction),
    /// Make the certificates of a fleet's VMs
    #[command(subcommand)]
    Fleet(FleetAction),
    /// Print a shell's completions
    Completions {
        /// Shell that reads them
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

/// What to do with keys.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum KeyAction {
    /// Make a random key; it is shown only this once
    New,
    /// Remove a key's digest from a document
    Revoke {
        /// Digest as sha256:HEX
        #[arg(value_parser = parse_key_digest)]
        digest: KeyDigest,
        /// File to edit in place
        #[arg(required_unless_present = "store", conflicts_with = "store")]
        file: Option<PathBuf>,
        /// Store whose document is changed
        #[arg(long, value_name = "IP:PORT", requires = "if_version")]
        store: Option<SocketAddr>,
        /// Version that the stored document must have
        #[arg(long, value_name = "VERSION", requires = "store")]
        if_version: Option<ObjectVersion>,
    },
}

/// What to do with the record of a VM.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum VmAction {
    /// Attest that a VM is dead, so that others take over what it held
    ///
    /// Needed only where a VM died together with most of its witnesses. A VM that still runs and
    /// reaches its witnesses must not be forgotten: it would go on spending what others get.
    Forget {
        /// Name of the VM
        name: VmId,
        #[command(flatten)]
        store: StoreArgs,
    },
}

/// What to do with certificates.
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum FleetAction {
    /// Make the fleet's certificate authority
    Init {
        /// Directory for its files
        directory: PathBuf,
        /// Days that it is valid
        #[arg(long, default_value_t = 3_650, value_parser = clap::value_parser!(u32).range(1..=36_500))]
        days: u32,
    },
    /// Make the certificate and key of a VM
    Issue {
        /// Directory of the authority's files, which takes the new ones as well
        directory: PathBuf,
        /// Name of the VM, as in its settings
        #[arg(value_parser = parse_vm_name)]
        vm: String,
        /// IP number at which its peers reach it
        address: IpAddr,
        /// Days that it is valid
        #[arg(long, default_value_t = 365, value_parser = clap::value_parser!(u32).range(1..=36_500))]
        days: u32,
    },
}

/// Which store.
#[derive(Debug, Clone, Copy)]
#[derive(clap::Args)]
pub(super) struct StoreArgs {
    /// Address of the platform's store
    #[arg(long = "store", value_name = "IP:PORT")]
    pub(super) address: SocketAddr,
}

/// How to change the stored document.
#[derive(Debug, Clone, Copy)]
#[derive(clap::Args)]
pub(super) struct ChangeArgs {
    #[command(flatten)]
    pub(super) store: StoreArgs,
    /// Version that the stored document must have; 0 where there is none
    #[arg(long, value_name = "VERSION")]
    pub(super) if_version: ObjectVersion,
    /// Wait until every live VM has the new version
    #[arg(long)]
    pub(super) wait: bool,
    /// Longest wait, in milliseconds
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
        false => {
            Err("expected letters, digits and . _ -, other than `authority` or a name in -key")
        }
    }
}

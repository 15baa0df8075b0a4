//! Parses the command line and runs the selected command.

use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;

use clap::{CommandFactory, Parser};
use serde_json::json;

use super::cli::{Action, ChangeArgs, Cli, FleetAction, KeyAction, StoreArgs, VmAction};
use super::error::CommandError;
use super::printer::Printer;
use super::store::Store;
use super::{apply, exit, explain, fleet, inspect, keys, status, vm};
use crate::document::document_page;
use crate::gateway::gateway_settings_page;
use crate::platform::StoreClient;
use crate::settings::{PlatformSettings, settings_page};

const COMMAND_NAME: &str = "celerylever";

/// Runs the command against the platform's store and returns its exit code.
///
/// Styles are written as ANSI escape codes; the caller strips them if the output is no terminal.
pub fn run(
    args: impl IntoIterator<Item = OsString>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(execute(args, connect, out, err)),
        Err(error) => {
            let _ = writeln!(err, "error: cannot start the async runtime: {error}");
            exit::UNREACHABLE
        }
    }
}

/// Runs the command against the store that `connect` returns for an address, and returns its exit
/// code.
pub async fn execute<S: Store>(
    args: impl IntoIterator<Item = OsString>,
    connect: impl Fn(SocketAddr) -> S,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => return print_parse_error(&error, out, err),
    };
    let format = cli.output;
    let mut printer = Printer { format, out, err };
    match dispatch(cli.action, connect, &mut printer).await {
        Ok(()) => exit::OK,
        Err(error) => {
            // If the error stream is closed too, the error cannot be reported anywhere.
            let _ = printer.print_error(&error);
            error.exit_code()
        }
    }
}

fn connect(store_address: SocketAddr) -> StoreClient {
    StoreClient::new(PlatformSettings {
        store_address,
        ..PlatformSettings::default()
    })
}

fn print_parse_error(error: &clap::Error, out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    let text = error.render();
    let text = text.ansi();
    match error.use_stderr() {
        true => {
            let _ = write!(err, "{text}");
            exit::USAGE
        }
        false => {
            let _ = write!(out, "{text}");
            exit::OK
        }
    }
}

async fn dispatch<S: Store>(
    action: Action,
    connect: impl Fn(SocketAddr) -> S,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    match action {
        Action::Check { file } => inspect::check(&file, printer),
        Action::Diff { file, store } => {
            inspect::diff(&connect(store.address), &file, printer).await
        }
        Action::Apply { file, change } => {
            apply::apply(&connect(change.store.address), &file, change, printer).await
        }
        Action::Promote {
            file,
            from,
            to,
            change,
        } => {
            let store = connect(change.store.address);
            apply::promote(&store, &file, (&from, &to), change, printer).await
        }
        Action::Rollback { to_version, change } => {
            apply::rollback(&connect(change.store.address), to_version, change, printer).await
        }
        Action::Show {
            store,
            at_version,
            with_credentials,
        } => {
            inspect::show(
                &connect(store.address),
                at_version,
                with_credentials,
                printer,
            )
            .await
        }
        Action::Status { store } => status::show_status(&connect(store.address), printer).await,
        Action::Explain { request_id, files } => explain::explain(&request_id, &files, printer),
        Action::Key(action) => run_key_action(action, connect, printer).await,
        Action::Vm(VmAction::Forget { name, store }) => {
            vm::forget(&connect(store.address), &name, printer).await
        }
        Action::Fleet(FleetAction::Init { directory, days }) => {
            fleet::init(&directory, days, printer)
        }
        Action::Fleet(FleetAction::Issue {
            directory,
            vm,
            address,
            days,
        }) => fleet::issue(&directory, &vm, address, days, printer),
        Action::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), COMMAND_NAME, &mut script);
            Ok(printer.out.write_all(&script)?)
        }
        Action::Man => Ok(clap_mangen::Man::new(Cli::command()).render(&mut printer.out)?),
        Action::Version => {
            let version = env!("CARGO_PKG_VERSION");
            let text = format!("{COMMAND_NAME} {version}");
            Ok(printer.print_result(&text, json!({ "version": version }))?)
        }
        Action::SettingsPage => Ok(write!(printer.out, "{}", settings_page())?),
        Action::GatewaySettingsPage => Ok(write!(printer.out, "{}", gateway_settings_page())?),
        Action::DocumentPage => Ok(write!(printer.out, "{}", document_page())?),
    }
}

async fn run_key_action<S: Store>(
    action: KeyAction,
    connect: impl Fn(SocketAddr) -> S,
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    match action {
        KeyAction::New => keys::create_key(printer),
        KeyAction::Revoke {
            digest,
            file: Some(file),
            ..
        } => keys::revoke_in_file(&file, &digest, printer),
        KeyAction::Revoke {
            digest,
            store: Some(address),
            if_version: Some(if_version),
            ..
        } => {
            let change = ChangeArgs {
                store: StoreArgs { address },
                if_version,
                wait: false,
                wait_timeout_ms: 0,
            };
            keys::revoke_in_store(&connect(address), &digest, change, printer).await
        }
        KeyAction::Revoke { .. } => {
            let message = "expected a file, or --store with --if-version";
            Err(CommandError::Refused(message.to_owned()))
        }
    }
}

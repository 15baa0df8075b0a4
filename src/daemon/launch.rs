//! Runs a daemon from its parsed arguments to its exit code.

use std::error::Error;
use std::io;
use std::process::ExitCode;

use slog::{Logger, error};
use tokio::signal::unix::{SignalKind, signal};

use super::DaemonArgs;
use crate::settings::Settings;
use crate::telemetry::stderr_logger;

/// Exit code of a daemon whose settings are invalid.
pub const EXIT_INVALID_SETTINGS: u8 = 3;
/// Exit code of a daemon that failed while running.
pub const EXIT_RUNTIME_FAILURE: u8 = 1;

/// Loads the settings and calls `run` with them, or only checks them if `args.check_settings` is
/// set.
pub(crate) fn launch<E: Error>(
    name: &'static str,
    args: &DaemonArgs,
    run: impl FnOnce(Settings, &Logger) -> Result<(), E>,
) -> ExitCode {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            anstream::eprintln!("{name}: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check_settings {
        anstream::println!("settings ok");
        return ExitCode::SUCCESS;
    }
    let log = stderr_logger(settings.log.clone(), name);
    match run(settings, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "daemon failed"; "error" => %error);
            ExitCode::from(EXIT_RUNTIME_FAILURE)
        }
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
pub(crate) async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

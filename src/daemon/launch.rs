//! Start of a daemon, from its arguments to its exit code.

use std::error::Error;
use std::io;
use std::process::ExitCode;

use slog::{Logger, error};
use tokio::signal::unix::{SignalKind, signal};

use super::DaemonArgs;
use crate::settings::Settings;
use crate::telemetry::stderr_logger;

/// Exit code for faulty settings.
pub const EXIT_INVALID_SETTINGS: u8 = 3;
/// Exit code for a daemon that failed while running.
pub const EXIT_RUNTIME_FAILURE: u8 = 1;

/// Loads the settings and runs the daemon with them, unless they are only to be checked.
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

/// Completes once the process is asked to stop.
pub(crate) async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

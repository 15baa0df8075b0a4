//! Command-line tool for operators.

use std::process::ExitCode;

use celerylever::command;

fn main() -> ExitCode {
    let mut out = anstream::stdout();
    let mut err = anstream::stderr();
    ExitCode::from(command::run(std::env::args_os(), &mut out, &mut err))
}

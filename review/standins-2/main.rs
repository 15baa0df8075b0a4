//! Stand-ins of the second review: one program that plays the script of a case.
//!
//! Usage: `standins-2 CASE RECORD FOLDER`, from the root of the repository. `TROUBLE=0` leaves out the
//! disruption. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod caller;
mod crowd;
mod drill;
mod engine;
mod fleet;
mod gateway;
mod http;
mod json;
mod killed;
mod memory;
mod parts;
mod record;
mod store;
mod takeover;
mod upgraded;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = words.as_slice() else {
        eprintln!("usage: standins-2 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record: {error}");
            return ExitCode::from(2);
        }
    };
    let folder = Path::new(folder);
    let played = match case.as_str() {
        "crowd" => crowd::play(&mut record, folder, has_trouble),
        "drill" => drill::play(&mut record, folder, has_trouble),
        "killed" => killed::play(&mut record, folder, has_trouble),
        "parts" => parts::play(&mut record, folder, has_trouble),
        "takeover" => takeover::play(&mut record, folder, has_trouble),
        "upgraded" => upgraded::play(&mut record, folder, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    match played {
        Ok(Outcome::Held) => {
            record.line("verdict", "the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            record.line("verdict", "the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line("verdict", &format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

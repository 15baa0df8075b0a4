//! Stand-ins and drivers of the cases under `review/`: `standins CASE FOLDER`.
//!
//! The result is the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod deployment;
mod engine;
mod gateway;
mod http;
mod isolated;
mod json;
mod leaving;
mod record;
mod rolling;
mod split;
mod spoiled;
mod store;
mod taken_up;

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::Mutex;
use std::time::Duration;

use deployment::{config, entry, weights};
use gateway::{Gateway, Place};
use http::wait_until;
use record::Record;
use store::Store;

/// Time after which a case that has not ended is given up.
const TIME_MAX: Duration = Duration::from_secs(100);

/// Processes that run, which are ended if the case is given up.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// What a case has found.
pub enum Verdict {
    Broken,
    Held,
    NotRun(&'static str),
}

/// Whether the disruption takes place, and where things are.
pub struct Setting {
    pub has_trouble: bool,
    pub root: PathBuf,
    /// Folder for files of the run, removed at its end.
    pub scratch: PathBuf,
    pub record: Record,
}

/// Store and gateway with some engines, all in service.
pub struct Deployment {
    pub store: Store,
    pub gateway: Gateway,
}

impl Deployment {
    /// Starts a store and a gateway; `engines` are names with addresses.
    pub fn start(setting: &Setting, customers: &str, engines: &[(&str, String)]) -> Option<Self> {
        let store = Store::start();
        store.put("config", "main", &config(1, customers));
        store.put("versions", "m0", &weights());
        for (id, address) in engines {
            store.put("servers", id, &entry(address, "ready", 1));
        }
        let place = Place::new(&setting.scratch, 1);
        let mut gateway = Gateway::start(&setting.root, &place, store.address, &[]);
        let is_ready = gateway.is_ready()
            && wait_until(Duration::from_secs(10), || {
                let log = std::fs::read_to_string(place.log()).unwrap_or_default();
                log.matches("\"upstream_listed\"").count() >= engines.len()
            });
        is_ready.then_some(Self { store, gateway })
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let (case, folder) = match words.as_slice() {
        [_, "engine-process", id] => return leaving::run_engine(id),
        [_, case, folder] => (*case, Path::new(folder)),
        _ => return ExitCode::from(2),
    };
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let setting = Setting {
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        root: std::env::current_dir().expect("the root of the repository"),
        scratch,
        record: Record::create(&folder.join("record.txt")),
    };
    let trouble = if setting.has_trouble {
        "with"
    } else {
        "without"
    };
    setting
        .record
        .line(format!("case {case}, {trouble} the disruption"));
    give_up_in_time();
    let verdict = match case {
        "leaving" => leaving::run(&setting),
        "spoiled" => spoiled::run(&setting),
        "isolated" => isolated::run(&setting),
        "split" => split::run(&setting),
        "rolling" => rolling::run(&setting),
        _ => Verdict::NotRun("there is no such case"),
    };
    let _ = std::fs::remove_dir_all(&setting.scratch);
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun(reason) => (2, reason),
    };
    setting.record.line(format!("result {code}: {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}

fn give_up_in_time() {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_MAX);
        let processes = PROCESSES.lock().unwrap().clone();
        let ids = processes.iter().map(u32::to_string);
        let _ = Command::new("kill").arg("-KILL").args(ids).status();
        std::process::exit(2);
    });
}

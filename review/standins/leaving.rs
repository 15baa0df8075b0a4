//! An engine is emptied and taken away two seconds after its notice, while it answers.
//!
//! Its answers have neither a length nor chunks. Its process is killed, so that the system closes
//! its connections.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{customer, entry};
use crate::http::{self, wait_until};
use crate::{Deployment, Setting, Verdict, engine};

/// As many as the site has; the first one leaves, a share of .11.
const ENGINES: [&str; 9] = [
    "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9",
];
const CALLERS: usize = 108;
const EVENTS: u64 = 45;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Time from the notice to the end, as `scale_in` with `spot` has it.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Runs an engine until its process is killed; what it does goes to standard output.
pub fn run_engine(id: &str) -> ExitCode {
    let is_leaving = Arc::new(AtomicBool::new(false));
    let leaving = is_leaving.clone();
    let address = engine::start(id, move |request, stream| {
        let id = request.header("request-id").unwrap_or_default();
        let is_stream = !request.path().starts_with("/book/");
        let media_type = if is_stream {
            "text/event-stream"
        } else {
            "text/plain"
        };
        let mut head = engine::head(request, media_type);
        if leaving.load(Ordering::SeqCst) {
            head.push_str("Server-Leaving: 1\r\n");
        }
        head.push_str("Connection: close\r\n\r\n");
        say(&format!("begins {id}"));
        stream.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            stream.write_all(piece(is_stream, number).as_bytes())?;
            std::thread::sleep(EVENT_PAUSE);
        }
        say(&format!("completes {id}"));
        stream.shutdown(std::net::Shutdown::Both)?;
        Ok(false)
    });
    say(&format!("listens {address}"));
    // A line on standard input is the notice; its end is that of the case.
    let mut line = String::new();
    while std::io::stdin()
        .read_line(&mut line)
        .is_ok_and(|bytes| bytes > 0)
    {
        is_leaving.store(true, Ordering::SeqCst);
    }
    ExitCode::SUCCESS
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}").and_then(|()| out.flush());
}

fn piece(is_stream: bool, number: u64) -> String {
    match is_stream {
        true => engine::event(number),
        false => format!("line {number}\n"),
    }
}

fn whole(is_stream: bool) -> String {
    (1..=EVENTS)
        .map(|number| piece(is_stream, number))
        .collect()
}

#[derive(Default)]
struct Runs {
    begun: Vec<String>,
    completed: HashSet<String>,
}

struct Process {
    child: Child,
    address: String,
    runs: Arc<Mutex<Runs>>,
}

impl Process {
    fn start(setting: &Setting, id: &'static str) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut child = Command::new(program)
            .args(["engine-process", id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        crate::PROCESSES.lock().unwrap().push(child.id());
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let first = lines.next()?.ok()?;
        let address = first.strip_prefix("listens ")?.to_owned();
        let runs: Arc<Mutex<Runs>> = Arc::default();
        let (shared, record) = (runs.clone(), setting.record.clone());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(format!("engine {id} {line}"));
                let mut runs = shared.lock().unwrap();
                match line.split_once(' ') {
                    Some(("begins", request)) => runs.begun.push(request.to_owned()),
                    Some(("completes", request)) => {
                        runs.completed.insert(request.to_owned());
                    }
                    _ => {}
                }
            }
        });
        Some(Self {
            child,
            address,
            runs,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let mut engines: Vec<Process> = Vec::new();
    for id in ENGINES {
        let Some(engine) = Process::start(setting, id) else {
            return Verdict::NotRun("the engines did not start");
        };
        engines.push(engine);
    }
    let entries: Vec<(&str, String)> = ENGINES
        .into_iter()
        .zip(&engines)
        .map(|(id, engine)| (id, engine.address.clone()))
        .collect();
    let customers = customer("teifi", false);
    let Some(deployment) = Deployment::start(setting, &customers, &entries) else {
        return Verdict::NotRun("the gateway did not start");
    };
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let route = ["book", "note", "check"][number * 3 / CALLERS];
            let (id, to) = (format!("{route}-{number}"), deployment.gateway.callers);
            let record = setting.record.clone();
            std::thread::sleep(Duration::from_millis(10));
            std::thread::spawn(move || {
                record.line(format!("caller sends {id}"));
                let answer = ask(to, route, &id);
                match &answer {
                    Ok((status, is_complete, body)) => record.line(format!(
                        "caller of {id} gets status {status}, {} bytes, {}",
                        body.len(),
                        if *is_complete {
                            "complete"
                        } else {
                            "broken off"
                        },
                    )),
                    Err(error) => record.line(format!("caller of {id} gets no answer: {error}")),
                }
                (id, answer)
            })
        })
        .collect();
    let count = callers.len();
    let all_run = wait_until(Duration::from_secs(3), || {
        let begun = |process: &Process| process.runs.lock().unwrap().begun.len();
        engines.iter().map(begun).sum::<usize>() == count
    });
    if !all_run {
        return Verdict::NotRun("not all requests began to run");
    }
    let first = &mut engines[0];
    setting
        .record
        .line("engine i-1 is emptied: it writes `draining` and says so in its answers");
    deployment
        .store
        .put("servers", "i-1", &entry(&first.address, "draining", 2));
    let _ = first
        .child
        .stdin
        .as_mut()
        .map(|input| input.write_all(b"leave\n"));
    std::thread::sleep(NOTICE_TIME);
    let unfinished: Vec<String> = {
        let runs = first.runs.lock().unwrap();
        let begun = runs.begun.iter();
        begun
            .filter(|id| !runs.completed.contains(*id))
            .cloned()
            .collect()
    };
    setting.record.line(format!(
        "at engine i-1 still run: {}",
        unfinished.join(", ")
    ));
    if unfinished.is_empty() {
        return Verdict::NotRun("nothing ran at the engine that leaves");
    }
    if setting.has_trouble {
        setting
            .record
            .line("engine i-1 is taken away: its process is killed");
        let _ = first.child.kill();
        let _ = first.child.wait();
        deployment.store.remove("servers", "i-1");
    }
    let results: HashMap<_, _> = callers
        .into_iter()
        .filter_map(|one| one.join().ok())
        .collect();
    let mut broken = 0;
    for (id, answer) in &results {
        let Ok((200, true, body)) = answer else {
            continue;
        };
        if *body != whole(!id.starts_with("book")) {
            broken += 1;
            let last = body
                .lines()
                .rfind(|line| !line.is_empty())
                .unwrap_or_default();
            setting.record.line(format!(
                "{id}: 200 and complete, although its engine was taken away before the end; last \
                 line {last:?}"
            ));
        }
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn ask(to: std::net::SocketAddr, route: &str, id: &str) -> std::io::Result<(u16, bool, String)> {
    let prefix = format!("{id}a:500,{id}b:300,{id}c:100");
    let mut headers = vec![
        ("Host", "depot.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "12000"),
        ("Authorization", "Bearer key-teifi"),
    ];
    if route != "book" {
        headers.extend([
            ("Model", "m0"),
            ("Token-Count", "900,45"),
            ("Prefix-Hash", &prefix),
        ]);
    }
    let mut answer = http::send(to, "POST", &format!("/{route}/a"), &headers, b"sheet")?;
    let body = answer.rest();
    Ok((answer.status, answer.is_complete, body))
}

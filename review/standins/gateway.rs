//! Gateway processes, started with the command and the template of the deploy file.

use std::fs::OpenOptions;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::{send, wait_until};

/// Bounds of teifi-hq.
const BOUNDS: &[(&str, &str)] = &[
    ("Bounds.ContactMs", "3000"),
    ("Bounds.DrainMs", "2000"),
    ("Bounds.LeaseMs", "3000"),
    ("Bounds.GraceS", "8"),
    ("Bounds.VersionMs", "6000"),
    ("Bounds.BudgetRatio", "0.2"),
    ("Bounds.RetrySlack", "56"),
    ("Bounds.QuotaOverage", "0.1"),
    ("Bounds.QuotaSlack", "140000"),
    ("Bounds.QuotaWindowS", "8"),
    ("Bounds.RequireFence", "true"),
    ("Limits.CpuShare", "0.25"),
];

pub struct Gateway {
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Addresses of a gateway, which it keeps when it starts again.
pub struct Place {
    number: u8,
    folder: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
}

impl Place {
    /// Finds free ports for a gateway with a folder of its own in `scratch`.
    pub fn new(scratch: &Path, number: u8) -> Self {
        let ip = own_ip(number);
        Self {
            number,
            folder: scratch.join(format!("front-{number}")),
            callers: free_port(ip),
            ready: free_port(ip),
            peers: free_port(ip),
        }
    }

    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Writes the settings as the platform does; `seeds` are other gateways.
    fn write_settings(&self, root: &Path, store: SocketAddr, seeds: &[&Place]) -> PathBuf {
        let seeds = [self].into_iter().chain(seeds.iter().copied());
        let seeds: Vec<String> = seeds.map(|place| place.peers.to_string()).collect();
        let mut values = vec![
            ("NodeName", format!("front-{}", self.number)),
            ("Zone", "cymru-south-a".to_owned()),
            ("Ip", self.peers.ip().to_string()),
            ("Listen.Front", self.callers.to_string()),
            ("Listen.Ready", self.ready.to_string()),
            ("Listen.Control", self.peers.to_string()),
            ("Platform.Address", store.to_string()),
            ("Seeds", seeds.join(",")),
        ];
        values.extend(
            BOUNDS
                .iter()
                .map(|(name, value)| (*name, (*value).to_owned())),
        );
        let template = std::fs::read_to_string(root.join("deploy/gateway.ini")).expect("template");
        std::fs::create_dir_all(&self.folder).expect("a folder for the gateway");
        let settings = self.folder.join("boot.ini");
        std::fs::write(&settings, render(&template, &values)).expect("settings");
        settings
    }
}

impl Gateway {
    pub fn start(root: &Path, place: &Place, store: SocketAddr, seeds: &[&Place]) -> Self {
        let settings = place.write_settings(root, store, seeds);
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(place.log())
            .expect("a log");
        let child = Command::new(program(root))
            .arg("--settings")
            .arg(&settings)
            .current_dir(root)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the gateway, built by the command of the deploy file");
        crate::PROCESSES.lock().unwrap().push(child.id());
        Self {
            callers: place.callers,
            ready: place.ready,
            child,
        }
    }

    /// Sends SIGTERM and waits for the end of the process.
    pub fn stop(&mut self) -> bool {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        let is_sent = sent.is_ok_and(|status| status.success());
        is_sent
            && wait_until(Duration::from_secs(9), || {
                matches!(self.child.try_wait(), Ok(Some(_)))
            })
    }

    /// Waits until the gateway says that it is ready.
    pub fn is_ready(&mut self) -> bool {
        let address = self.ready;
        wait_until(Duration::from_secs(15), || {
            let answer = send(
                address,
                "GET",
                "/celerylever/ready",
                &[("Host", "ready")],
                b"",
            );
            answer.is_ok_and(|answer| answer.status == 200)
        })
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the program that the deploy file names.
fn program(root: &Path) -> PathBuf {
    let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).expect("deploy file");
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    root.join(
        run.and_then(|run| run.split(' ').next())
            .expect("a program"),
    )
}

/// Fills in the template as the platform does, as far as this one needs it.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let value = |name: &str| values.iter().find(|(key, _)| *key == name);
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text.push_str(before);
        let (name, after) = after.split_once("}}").expect("the end of a placeholder");
        let section = name.chars().next().filter(|first| "#^".contains(*first));
        let Some(kind) = section else {
            text.push_str(value(name).map_or("", |(_, value)| value.as_str()));
            rest = after;
            continue;
        };
        let name = &name[1..];
        let (inside, after) = after
            .split_once(&format!("{{{{/{name}}}}}"))
            .expect("the end of a section");
        match (kind, value(name)) {
            ('#', Some((_, value))) => text.push_str(&inside.replace("{{.}}", value)),
            ('^', None) => text.push_str(inside),
            _ => {}
        }
        rest = after;
    }
    text.push_str(rest);
    text
}

/// Returns a loopback address of this run, as the port of the metrics is fixed.
fn own_ip(number: u8) -> IpAddr {
    let pid = std::process::id();
    let part = |value: u32| (value % 250 + 1) as u8;
    IpAddr::V4(Ipv4Addr::new(127, part(pid), part(pid / 250), number))
}

fn free_port(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

//! Gateways as processes, started by the command of the deploy file.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Request, send};

/// `ContactMs` of a small installation.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// `DrainMs` of a small installation.
pub const DRAIN: Duration = Duration::from_millis(2_000);

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Time at which its present process was started.
    pub started_at: Instant,
}

/// Returns the program of the deploy file.
fn program() -> PathBuf {
    let deploy = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    let word = run.and_then(|run| run.split(' ').next());
    PathBuf::from(word.unwrap_or("target/release/celerylever-gateway"))
}

/// Returns the address of a gateway on a loopback network of this process.
fn ip(number: usize) -> [u8; 4] {
    let pid = std::process::id();
    [
        127,
        (pid % 200 + 10) as u8,
        (pid / 200 % 250 + 1) as u8,
        number as u8 + 1,
    ]
}

impl Gateway {
    /// Prepares a gateway of a small installation; it is not started.
    pub fn new(
        folder: &Path,
        number: usize,
        zone: &str,
        store: SocketAddr,
        memory_mb: u64,
    ) -> io::Result<Self> {
        let at = |port: u16| SocketAddr::from((ip(number), port));
        let name = format!("front-{zone}-{number}");
        let seeds: Vec<String> = (0..3)
            .map(|number| format!("{}", SocketAddr::from((ip(number), 8608))))
            .collect();
        let text = format!(
            "[process]\nvm = {name}\navailability_zone = {zone}\ncpu_share = 0.25\nmemory_mb = {memory_mb}\n\
             max_fds = 4100\ncaller_address = {}\nready_address = {}\nmetrics_address = {}\n\n\
             [store]\naddress = {store}\n\n[peers]\naddress = {}\nseeds = {}\n\n[platform]\n\
             contracts = base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform\n\n\
             [bounds]\ncontact_ms = 3000\ndrain_ms = 2000\nlease_ms = 3000\ngrace_s = 8\n\
             weights_ms = 6000\nretry_ratio = 0.2\nretry_slack = 56\nallowance_overage = 0.1\n\
             allowance_slack = 140000\nallowance_window_s = 8\n",
            at(8606),
            at(8605),
            at(9464),
            at(8608),
            seeds.join(","),
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        Ok(Self {
            callers: at(8606),
            ready: at(8605),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            started_at: Instant::now(),
            name,
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        self.started_at = Instant::now();
        let child = Command::new(program())
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // By this the script ends what a case that was interrupted has left.
        let pids = self.settings.with_extension("pid");
        let mut pids = std::fs::File::options()
            .create(true)
            .append(true)
            .open(pids)?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the balancer would send requests; returns whether it does in time.
    pub fn wait_ready(&self, bound: Duration) -> bool {
        let until = Instant::now() + bound;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET".into(),
            target: "/celerylever/ready".into(),
            headers: vec![("Host".into(), "front".into())],
            body: Vec::new(),
        };
        send(self.ready, &request, Duration::from_secs(1)).is_ok_and(|reply| reply.status == 200)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop with SIGTERM.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        // SAFETY: the call takes two numbers, and the process was started here and not waited for.
        unsafe { kill(self.pid() as i32, SIGTERM) };
    }

    /// Returns whether the process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

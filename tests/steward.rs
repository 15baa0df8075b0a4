//! Steward processes against the store's stand-in: takeover, release, lost answers, settings.

use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use celerylever::clock::ManualClock;
use celerylever::platform::StoreClient;
use celerylever::settings::PlatformSettings;
use celerylever::steward::{LeaseHolder, LeaseRecord, LeaseSettings, LeaseTask, StewardStatus};
use celerylever::supervisor::{ChildSettings, Supervisor, SupervisorContext};
use celerylever::telemetry::Telemetry;
use celerylever_testkit::{Store, StoreSettings};
use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

const WATCHDOG: Duration = Duration::from_secs(30);
const LEASE: Duration = Duration::from_millis(900);
const LOOK: Duration = Duration::from_millis(10);

struct Process {
    child: Child,
    _directory: TempDir,
}

impl Process {
    fn start(store: &Store, vm: &str) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.ini");
        let store_address = store.address();
        let lease_ms = LEASE.as_millis();
        let settings = format!(
            "[process]\nvm = {vm}\navailability_zone = a\n\
             [platform]\nstore_address = {store_address}\nrequest_timeout_ms = 100\n\
             lease_ms = {lease_ms}\n"
        );
        std::fs::write(&path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_celerylever-steward"))
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            _directory: directory,
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    async fn exit(&mut self) -> ExitStatus {
        let exit = async {
            loop {
                match self.child.try_wait().unwrap() {
                    Some(status) => return status,
                    None => sleep(LOOK).await,
                }
            }
        };
        timeout(WATCHDOG, exit).await.expect("process did not end")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn store() -> Store {
    Store::start(StoreSettings::default()).await.unwrap()
}

fn lease(store: &Store) -> Option<LeaseRecord> {
    let object = store.object("lease", "steward")?;
    Some(serde_json::from_str(&object.value).unwrap())
}

fn holder(store: &Store) -> Option<(String, u64)> {
    let record = lease(store)?;
    Some((record.holder?.vm, record.fencing_number))
}

fn status(store: &Store) -> Option<(String, u64, String)> {
    let object = store.object("status", "steward")?;
    let status: StewardStatus = serde_json::from_str(&object.value).unwrap();
    Some((status.vm, status.fencing_number, status.state))
}

async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            sleep(LOOK).await;
        }
    };
    timeout(WATCHDOG, wait)
        .await
        .unwrap_or_else(|_| panic!("never: {what}"));
}

async fn until_held(store: &Store, vm: &str, fencing_number: u64) {
    let expected = (vm.to_owned(), fencing_number, "holding".to_owned());
    let lease = Some((vm.to_owned(), fencing_number));
    until("held", || {
        holder(store) == lease && status(store).as_ref() == Some(&expected)
    })
    .await;
}

#[tokio::test]
async fn released_lease_is_taken_by_the_next() {
    let store = store().await;
    let mut first = Process::start(&store, "v1");
    until_held(&store, "v1", 1).await;
    store
        .faults()
        .update(|faults| faults.delay = Duration::from_millis(30));
    first.signal(Signal::TERM);
    assert_eq!(first.exit().await.code(), Some(0));
    let released = lease(&store).unwrap();
    assert_eq!((released.holder, released.fencing_number), (None, 1));
    let expected = ("v1".to_owned(), 1, "released".to_owned());
    assert_eq!(status(&store), Some(expected));
    let _second = Process::start(&store, "v2");
    until_held(&store, "v2", 2).await;
}

#[rstest]
#[case::killed(Signal::KILL)]
#[case::paused(Signal::STOP)]
#[tokio::test]
async fn lease_of_a_silent_holder_is_taken_over_for_good(#[case] signal: Signal) {
    let store = store().await;
    let first = Process::start(&store, "v1");
    until_held(&store, "v1", 1).await;
    let _second = Process::start(&store, "v2");
    let renewals = || lease(&store).map(|record| record.renewal_count);
    until("renewed", || renewals() >= Some(3)).await;
    assert_eq!(holder(&store), Some(("v1".into(), 1)));
    first.signal(signal);
    until_held(&store, "v2", 2).await;
    if signal == Signal::STOP {
        first.signal(Signal::CONT);
    }
    until("renewed", || renewals() >= Some(6)).await;
    assert_eq!(holder(&store), Some(("v2".into(), 2)));
    assert_eq!(status(&store).map(|status| status.0), Some("v2".into()));
}

#[tokio::test]
async fn lost_answers_do_not_end_the_term() {
    let store = store().await;
    let _first = Process::start(&store, "v1");
    until_held(&store, "v1", 1).await;
    for _ in 0..3 {
        store.faults().update(|faults| faults.lose_answers = 1);
        until("lost", || store.faults().get().lose_answers == 0).await;
        let renewed = lease(&store).unwrap().renewal_count + 2;
        until("renewed", || {
            lease(&store).unwrap().renewal_count >= renewed
        })
        .await;
    }
    assert_eq!(holder(&store), Some(("v1".into(), 1)));
}

#[tokio::test]
async fn status_is_written_on_change_only() {
    let store = store().await;
    let _first = Process::start(&store, "v1");
    until_held(&store, "v1", 1).await;
    let version = store.object("status", "steward").unwrap().version;
    until("renewed", || lease(&store).unwrap().renewal_count >= 3).await;
    assert_eq!(store.object("status", "steward").unwrap().version, version);
}

#[tokio::test]
async fn view_lapses_by_the_clock_alone() {
    let store = store().await;
    let clock = ManualClock::default();
    let settings = LeaseSettings::default();
    let holder = LeaseHolder {
        vm: "v1".into(),
        incarnation: 1,
    };
    let context = SupervisorContext {
        clock: Arc::new(clock.clone()),
        metrics: Telemetry::new().metrics(),
        log: Logger::root(Discard, o!()),
    };
    let client = StoreClient::new(PlatformSettings {
        store_address: store.address(),
        ..PlatformSettings::default()
    });
    let steward = LeaseTask::new(settings, holder, client, context.clone());
    let view = steward.lease();
    let tree = Supervisor::new(context).child("lease", ChildSettings::default(), move |stop| {
        let run = steward.clone().run(stop);
        async {
            run.await;
            Ok(())
        }
    });
    let running = tree.start();
    until("held", || view.fencing_number() == Some(1)).await;
    clock.advance(settings.lease_ttl - Duration::from_millis(1));
    assert_eq!(view.fencing_number(), Some(1));
    clock.advance(Duration::from_millis(1));
    assert_eq!(view.fencing_number(), None);
    drop(running);
}

#[rstest]
#[case::faultless("vm = v1\navailability_zone = a\n", 0)]
#[case::faulty("vm = v1\navailability_zone = a\nsurplus = 1\n", 3)]
fn settings_are_checked(#[case] process: &str, #[case] code: i32) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("settings.ini");
    std::fs::write(&path, format!("[process]\n{process}")).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_celerylever-steward"))
        .args(["--check-settings", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

//! Supervised tasks: restarts, giving up, ordered shutdown.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use celerylever::clock::{Clock, ManualClock, SystemClock};
use celerylever::supervisor::{
    ChildError, ChildSettings, RestartDecision, RestartPolicy, RestartWindow, StopSignal,
    Supervisor, SupervisorContext, SupervisorError,
};
use celerylever::telemetry::Telemetry;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use slog::{Discard, Logger, o};
use tokio::sync::{broadcast, mpsc};

const WATCHDOG: Duration = Duration::from_secs(20);
const NAMES: [&str; 3] = ["first", "second", "third"];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Death {
    Panic,
    Error,
}

fn context(telemetry: &Telemetry) -> SupervisorContext {
    SupervisorContext {
        clock: SystemClock::shared(),
        metrics: telemetry.metrics(),
        log: Logger::root(Discard, o!()),
    }
}

fn settings(max_restarts: usize) -> ChildSettings {
    ChildSettings {
        restart: RestartPolicy {
            max_restarts,
            backoff_min: Duration::from_millis(1),
            ..RestartPolicy::default()
        },
        stop_timeout: Duration::from_millis(200),
    }
}

/// Reports its start, then waits to be killed or asked to end.
async fn victim(
    name: &'static str,
    started: mpsc::UnboundedSender<&'static str>,
    mut kill: broadcast::Receiver<(&'static str, Death)>,
    stop: StopSignal,
) -> Result<(), ChildError> {
    started.send(name)?;
    loop {
        let (target, death) = tokio::select! {
            () = stop.clone().raised() => return Ok(()),
            order = kill.recv() => order?,
        };
        match death {
            _ if target != name => continue,
            Death::Panic => panic!("killed"),
            Death::Error => return Err("killed".into()),
        }
    }
}

async fn next(started: &mut mpsc::UnboundedReceiver<&'static str>) -> &'static str {
    let next = tokio::time::timeout(WATCHDOG, started.recv());
    next.await.expect("no child started").unwrap()
}

#[rstest]
#[tokio::test]
async fn killed_child_alone_restarts(
    #[values(0, 1, 2)] killed: usize,
    #[values(Death::Panic, Death::Error)] death: Death,
) {
    let telemetry = Telemetry::new();
    let (started_sender, mut started) = mpsc::unbounded_channel();
    let (kill, _) = broadcast::channel(8);
    let mut supervisor = Supervisor::new(context(&telemetry));
    for name in NAMES {
        let (sender, kill) = (started_sender.clone(), kill.clone());
        supervisor = supervisor.child(name, settings(5), move |stop| {
            victim(name, sender.clone(), kill.subscribe(), stop)
        });
    }
    let running = supervisor.start();
    for name in NAMES {
        assert_eq!(next(&mut started).await, name);
    }
    for _ in 0..3 {
        kill.send((NAMES[killed], death)).unwrap();
        assert_eq!(next(&mut started).await, NAMES[killed]);
    }
    running.stop().await;
    assert!(started.try_recv().is_err());
    let text = telemetry.render();
    let restarts = text
        .lines()
        .filter(|line| line.contains("child_restarts_total{"));
    let restarts: Vec<&str> = restarts.collect();
    let child = format!(r#"child="{}""#, NAMES[killed]);
    assert_eq!(restarts.len(), 1);
    assert!(restarts[0].contains(&child) && restarts[0].ends_with(" 3"));
}

#[tokio::test]
async fn child_that_fails_too_often_fails_the_parent() {
    let telemetry = Telemetry::new();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let (bad, good) = (runs.clone(), runs.clone());
    let supervisor = Supervisor::new(context(&telemetry))
        .child("good", settings(2), move |stop| {
            let good = good.clone();
            async move {
                stop.raised().await;
                good.lock().unwrap().push("good stopped");
                Ok(())
            }
        })
        .child("bad", settings(2), move |_| {
            bad.lock().unwrap().push("bad ran");
            async { Err("broken".into()) }
        });
    let result = tokio::time::timeout(WATCHDOG, supervisor.run(std::future::pending()));
    let expected = SupervisorError::RestartsExceeded {
        child: "bad",
        cause: "broken".into(),
    };
    assert_eq!(result.await.unwrap(), Err(expected));
    let expected = ["bad ran", "bad ran", "bad ran", "good stopped"];
    assert_eq!(*runs.lock().unwrap(), expected);
}

#[tokio::test]
async fn failed_subtree_is_restarted_as_a_whole() {
    let telemetry = Telemetry::new();
    let (started_sender, mut started) = mpsc::unbounded_channel();
    let inner_context = context(&telemetry);
    let supervisor = Supervisor::new(context(&telemetry)).child("tree", settings(1), move |stop| {
        let sender = started_sender.clone();
        let inner = Supervisor::new(inner_context.clone()).child("leaf", settings(1), move |_| {
            sender.send("leaf").unwrap();
            async { panic!("broken") }
        });
        async move { Ok(inner.run(stop.raised()).await?) }
    });
    let result = tokio::time::timeout(WATCHDOG, supervisor.run(std::future::pending()));
    let error = result.await.unwrap().unwrap_err();
    assert!(error.to_string().contains("child tree failed too often"));
    assert!(
        error
            .to_string()
            .contains("child leaf failed too often, last: panic: broken")
    );
    for _ in 0..4 {
        assert_eq!(next(&mut started).await, "leaf");
    }
    assert!(started.try_recv().is_err());
}

struct OnDrop(&'static str, Arc<Mutex<Vec<&'static str>>>);

impl Drop for OnDrop {
    fn drop(&mut self) {
        self.1.lock().unwrap().push(self.0);
    }
}

#[tokio::test]
async fn children_end_in_reverse_order_and_hung_ones_are_aborted() {
    let telemetry = Telemetry::new();
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut supervisor = Supervisor::new(context(&telemetry));
    for name in NAMES {
        let ended = ended.clone();
        supervisor = supervisor.child(name, settings(1), move |stop| {
            let guard = OnDrop(name, ended.clone());
            async move {
                match guard.0 {
                    "second" => std::future::pending().await,
                    _ => stop.raised().await,
                }
                drop(guard);
                Ok(())
            }
        });
    }
    let shutdown = tokio::time::sleep(Duration::from_millis(20));
    let run = tokio::time::timeout(WATCHDOG, supervisor.run(shutdown));
    assert_eq!(run.await.unwrap(), Ok(()));
    assert_eq!(*ended.lock().unwrap(), ["third", "second", "first"]);
}

#[tokio::test]
async fn supervisor_ends_when_all_children_ended_well() {
    let telemetry = Telemetry::new();
    let supervisor =
        Supervisor::new(context(&telemetry)).child("once", settings(0), |_| async { Ok(()) });
    let run = tokio::time::timeout(WATCHDOG, supervisor.run(std::future::pending()));
    assert_eq!(run.await.unwrap(), Ok(()));
}

#[test]
fn restart_window_equals_full_history() {
    let policy = RestartPolicy {
        max_restarts: 4,
        window: Duration::from_secs(10),
        backoff_min: Duration::from_millis(100),
        backoff_max: Duration::from_millis(500),
    };
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let clock = ManualClock::default();
        let mut window = RestartWindow::new(policy);
        let mut restarts: Vec<Duration> = Vec::new();
        for _ in 0..200 {
            clock.advance(Duration::from_millis(random.random_range(0..6_000)));
            let now = clock.now();
            let recent = restarts.iter().filter(|at| now - **at < policy.window);
            let expected = match recent.count() {
                0 => RestartDecision::Restart {
                    after: Duration::from_millis(100),
                },
                1 => RestartDecision::Restart {
                    after: Duration::from_millis(200),
                },
                2 => RestartDecision::Restart {
                    after: Duration::from_millis(400),
                },
                3 => RestartDecision::Restart {
                    after: Duration::from_millis(500),
                },
                _ => RestartDecision::GiveUp,
            };
            if expected != RestartDecision::GiveUp {
                restarts.push(now);
            }
            assert_eq!(window.record_failure(now), expected, "seed {seed}");
        }
    }
}

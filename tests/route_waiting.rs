//! Requests that wait for room at a saturated engine.

use std::time::Duration;

use celerylever::clock::SystemClock;
use celerylever::document::{Document, Model, Snapshot, Upstream};
use celerylever::error::{Code, ExecutionStatus};
use celerylever::fair::{Priority, QueuedRequest};
use celerylever::route::{ChooserSettings, InFlight, LoadReport, Prefix, Router, RoutingRequest};
use celerylever::telemetry::Telemetry;

/// Longest wait for a state, against hanging tests.
const WATCHDOG: Duration = Duration::from_secs(20);

/// Returns a router whose only engine has room for two requests of this VM.
fn saturated_soon() -> Router {
    let mut document = Document::default();
    document.models.insert("m".into(), Model::default());
    let upstream = Upstream {
        models: vec!["m".into()],
        ..Upstream::default()
    };
    document.upstreams.insert("e".into(), upstream);
    let metrics = Telemetry::new().metrics();
    let router = Router::new(ChooserSettings::default(), SystemClock::shared(), metrics);
    router.configure(&Snapshot::compile(1, document));
    let report = LoadReport {
        incarnation: 1,
        weight_version: "v1".into(),
        running: 1,
        queued: 1_000,
        age: Duration::ZERO,
    };
    router.apply_report(0, &report, router.now(), false);
    router
}

fn ask() -> RoutingRequest {
    RoutingRequest::new("m".into(), "v1".into(), Prefix::from_hashes(vec![1], 100))
}

fn waiting(router: &Router, customer: &str, left: Duration) -> QueuedRequest {
    QueuedRequest {
        customer: customer.into(),
        weight: 1,
        cost: 100,
        priority: Priority::Interactive,
        deadline: router.now() + left,
    }
}

async fn take(router: &Router, customer: &str) -> InFlight {
    let wanted = waiting(router, customer, WATCHDOG);
    router.choose(&mut ask(), wanted).await.unwrap().unwrap()
}

#[tokio::test]
async fn request_waits_for_room_and_then_goes() {
    let router = saturated_soon();
    let (first, _second) = (take(&router, "a").await, take(&router, "a").await);
    let third = tokio::spawn({
        let router = router.clone();
        async move { take(&router, "a").await }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!third.is_finished());
    drop(first);
    let third = tokio::time::timeout(WATCHDOG, third)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(router.in_flight("e"), Some((2, 2)));
    drop(third);
}

#[tokio::test]
async fn wait_ends_at_the_deadline_with_a_true_refusal() {
    let router = saturated_soon();
    let _held = (take(&router, "a").await, take(&router, "a").await);
    let wanted = waiting(&router, "b", Duration::from_millis(50));
    let mut late = ask();
    let refused = tokio::time::timeout(WATCHDOG, router.choose(&mut late, wanted));
    let refusal = refused.await.unwrap().unwrap_err();
    assert_eq!(
        (refusal.code, refusal.ran),
        (Code::DeadlineExceeded, ExecutionStatus::NotRun)
    );
    assert!(refusal.retry_after.is_some());
}

#[tokio::test]
async fn caller_that_leaves_while_waiting_takes_no_room() {
    let router = saturated_soon();
    let held = (take(&router, "a").await, take(&router, "a").await);
    let wanted = waiting(&router, "b", WATCHDOG);
    let mut left_ask = ask();
    let left = router.choose(&mut left_ask, wanted);
    assert!(
        tokio::time::timeout(Duration::from_millis(20), left)
            .await
            .is_err()
    );
    drop(held);
    let again = (take(&router, "c").await, take(&router, "c").await);
    assert_eq!(router.in_flight("e"), Some((2, 2)));
    drop(again);
    assert_eq!(router.in_flight("e"), Some((0, 2)));
}

#[tokio::test]
async fn modest_customer_goes_before_the_backlog_of_an_excessive_one() {
    let router = saturated_soon();
    let held = (take(&router, "a").await, take(&router, "a").await);
    let (sender, mut order) = tokio::sync::mpsc::unbounded_channel();
    for customer in ["excessive"; 10].into_iter().chain(["modest"; 2]) {
        let (router, sender) = (router.clone(), sender.clone());
        tokio::spawn(async move {
            let in_flight = take(&router, customer).await;
            sender.send(customer).unwrap();
            tokio::time::sleep(Duration::from_millis(5)).await;
            drop(in_flight);
        });
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    drop((held, sender));
    let mut served = Vec::new();
    while let Some(customer) = order.recv().await {
        served.push(customer);
    }
    assert_eq!(served.len(), 12);
    let last = served.iter().rposition(|customer| *customer == "modest");
    assert!(last < Some(6), "{served:?}");
}

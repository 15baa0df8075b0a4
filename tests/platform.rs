//! Client of the platform's store against a small store with faults.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use celerylever::error::Code;
use celerylever::platform::{
    DeleteOutcome, Kind, PutOutcome, StoreClient, StoreError, VersionGate, VmState,
};
use celerylever::settings::PlatformSettings;
use celerylever::telemetry::Telemetry;
use celerylever_testkit::{Store, StoreSettings, VmRow};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{FakeStore, Fault};

fn client(store_address: SocketAddr) -> StoreClient {
    StoreClient::new(PlatformSettings {
        store_address,
        request_timeout: Duration::from_millis(300),
        ..PlatformSettings::default()
    })
}

async fn value(client: &StoreClient) -> Option<String> {
    let object = client.get(Kind::Document, "current").await.unwrap();
    object.map(|object| object.value)
}

#[tokio::test]
async fn calls_round_trip() {
    let store = FakeStore::start().await;
    round_trip(client(store.address)).await;
}

#[tokio::test]
async fn calls_round_trip_on_the_stand_in() {
    let store = Store::start(StoreSettings::default()).await.unwrap();
    store.set_vms(vec![VmRow {
        vm: "v1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        availability_zone: "a".into(),
        state: "leaving".into(),
    }]);
    round_trip(client(store.address())).await;
}

#[tokio::test]
async fn stand_in_loses_answers_and_falls_silent() {
    let store = Store::start(StoreSettings::default()).await.unwrap();
    let client = client(store.address());
    store.faults().update(|faults| faults.lose_answers = 1);
    let put = client.put(Kind::Document, "current", 0, "new").await;
    assert_eq!(put, Ok(PutOutcome::Applied(1)));
    store
        .faults()
        .update(|faults| faults.silence_open_connections = true);
    assert_eq!(client.list_vms().await, Err(StoreError::Timeout));
    assert_eq!(value(&client).await.as_deref(), Some("new"));
}

async fn round_trip(client: StoreClient) {
    assert_eq!(client.get(Kind::Share, "a").await, Ok(None));
    let put = client.put(Kind::Share, "a", 0, "one").await;
    assert_eq!(put, Ok(PutOutcome::Applied(1)));
    let object = client.get(Kind::Share, "a").await.unwrap().unwrap();
    assert_eq!((object.version, object.value.as_str()), (1, "one"));
    let put = client.put(Kind::Share, "a", 0, "two").await;
    assert_eq!(put, Ok(PutOutcome::Conflict(Some(object.clone()))));
    let put = client.put(Kind::Share, "b", 7, "two").await;
    assert_eq!(put, Ok(PutOutcome::Conflict(None)));
    let listing = client.list(Kind::Share).await.unwrap();
    assert_eq!(listing.items, std::slice::from_ref(&object));
    let wait = Duration::from_millis(10);
    let changed = client.watch(Kind::Share, 0, wait).await.unwrap();
    assert_eq!(changed, listing);
    assert_eq!(client.watch(Kind::Share, 1, wait).await.unwrap().items, []);
    let vms = client.list_vms().await.unwrap();
    assert_eq!((vms[0].vm.as_str(), vms[0].state), ("v1", VmState::Leaving));
    let delete = client.delete(Kind::Share, "a", 5).await;
    assert_eq!(delete, Ok(DeleteOutcome::Conflict(object)));
    let delete = client.delete(Kind::Share, "a", 1).await;
    assert_eq!(delete, Ok(DeleteOutcome::Deleted(2)));
    let delete = client.delete(Kind::Share, "a", 1).await;
    assert_eq!(delete, Ok(DeleteOutcome::Missing));
}

#[rstest]
#[case::answer_lost(&[Fault::LoseAnswer], PutOutcome::Applied(2), "new")]
#[case::answer_malformed(&[Fault::MalformAnswer], PutOutcome::Applied(2), "new")]
#[case::request_lost(&[Fault::LoseRequest], PutOutcome::NotApplied, "old")]
#[case::request_delayed(&[Fault::DelayRequest], PutOutcome::NotApplied, "old")]
#[case::barrier_answer_lost(
    &[Fault::DelayRequest, Fault::LoseAnswer], PutOutcome::NotApplied, "old"
)]
#[case::barrier_lost_once(
    &[Fault::DelayRequest, Fault::LoseRequest], PutOutcome::NotApplied, "old"
)]
#[case::overwritten(&[Fault::LoseAnswerThenOverwrite], PutOutcome::Unknown, "other")]
#[tokio::test]
async fn lost_answer_is_read_back(
    #[case] faults: &[Fault],
    #[case] expected: PutOutcome,
    #[case] lasting: &str,
) {
    let store = FakeStore::start().await;
    let client = client(store.address);
    let first = client.put(Kind::Document, "current", 0, "old").await;
    assert_eq!(first, Ok(PutOutcome::Applied(1)));
    store.state().faults.extend(faults);
    let outcome = client.put(Kind::Document, "current", 1, "new").await;
    assert_eq!(outcome, Ok(expected));
    store.state().deliver_delayed();
    assert_eq!(value(&client).await.as_deref(), Some(lasting));
}

#[rstest]
#[case::answer_lost(Fault::LoseAnswer, PutOutcome::Applied(1))]
#[case::request_delayed(Fault::DelayRequest, PutOutcome::Unknown)]
#[tokio::test]
async fn lost_creation_is_never_called_not_applied(
    #[case] fault: Fault,
    #[case] expected: PutOutcome,
) {
    let store = FakeStore::start().await;
    let client = client(store.address);
    store.state().faults.push_back(fault);
    let outcome = client.put(Kind::Document, "current", 0, "new").await;
    assert_eq!(outcome, Ok(expected));
    store.state().deliver_delayed();
    assert_eq!(value(&client).await.as_deref(), Some("new"));
}

#[tokio::test]
async fn store_that_cannot_be_reached_gets_no_write() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    let client = client(address);
    let put = client.put(Kind::Document, "current", 0, "new").await;
    assert_eq!(put, Ok(PutOutcome::NotApplied));
    let error = client.get(Kind::Document, "current").await.unwrap_err();
    assert!(matches!(error, StoreError::Connect(_)), "{error}");
    assert_eq!(error.code(), Code::StoreUnreachable);
}

#[tokio::test]
async fn silent_connections_cost_one_call() {
    let store = FakeStore::start().await;
    let client = client(store.address);
    let (first, second) = tokio::join!(client.list_vms(), client.list_vms());
    assert!(first.is_ok() && second.is_ok());
    let opened = store.state().connections;
    assert_eq!(opened, 2);
    store.state().silent_below = opened;
    assert_eq!(client.list_vms().await, Err(StoreError::Timeout));
    assert!(client.list_vms().await.is_ok());
}

#[rstest]
#[case::no_json("nothing")]
#[case::unknown_kind(r#"{"kind":"x","name":"a","version":1,"write_id":"w","value":"v"}"#)]
#[case::other_kind(r#"{"kind":"lease","name":"a","version":1,"write_id":"w","value":"v"}"#)]
#[case::other_name(r#"{"kind":"share","name":"b","version":1,"write_id":"w","value":"v"}"#)]
#[case::version_zero(r#"{"kind":"share","name":"a","version":0,"write_id":"w","value":"v"}"#)]
#[case::negative(r#"{"kind":"share","name":"a","version":-1,"write_id":"w","value":"v"}"#)]
#[case::large_value(&large_object())]
#[case::large_answer(&padded_object())]
#[tokio::test]
async fn malformed_object_is_refused(#[case] raw: &str) {
    let store = FakeStore::start().await;
    let client = client(store.address);
    client.put(Kind::Share, "a", 0, "v").await.unwrap();
    store.state().raw_answer = Some(raw.into());
    let error = client.get(Kind::Share, "a").await.unwrap_err();
    assert_eq!(error.code(), Code::StoreAnswerInvalid, "{error}");
}

fn large_object() -> String {
    let value = "v".repeat(1_048_577);
    format!(r#"{{"kind":"share","name":"a","version":1,"write_id":"w","value":"{value}"}}"#)
}

fn padded_object() -> String {
    let object = r#"{"kind":"share","name":"a","version":1,"write_id":"w","value":"v"}"#;
    object.to_owned() + &" ".repeat(9 << 20)
}

#[rstest]
#[case::version_falls(r#"{"version":4,"items":[]}"#)]
#[case::item_unchanged(
    r#"{"version":9,"items":[{"kind":"vm","name":"a","version":5,"write_id":"w","value":""}]}"#
)]
#[case::item_from_the_future(
    r#"{"version":9,"items":[{"kind":"vm","name":"a","version":10,"write_id":"w","value":""}]}"#
)]
#[case::item_of_other_kind(
    r#"{"version":9,"items":[{"kind":"lease","name":"a","version":7,"write_id":"w","value":""}]}"#
)]
#[tokio::test]
async fn malformed_watch_is_refused(#[case] raw: &str) {
    let store = FakeStore::start().await;
    store.state().raw_answer = Some(raw.into());
    let client = client(store.address);
    let error = client.watch(Kind::Vm, 5, Duration::ZERO).await.unwrap_err();
    assert_eq!(error.code(), Code::StoreAnswerInvalid, "{error}");
}

#[tokio::test]
async fn bad_arguments_are_refused_before_the_call() {
    let store = FakeStore::start().await;
    let client = client(store.address);
    let large = "v".repeat(1_048_577);
    let error = client.put(Kind::Share, "a", 0, &large).await.unwrap_err();
    assert_eq!(error.code(), Code::ValueTooLarge);
    for name in ["", "..", "a/b", "a?b", "a b", "é"] {
        let error = client.get(Kind::Share, name).await.unwrap_err();
        assert_eq!(error, StoreError::NameInvalid(name.into()));
    }
    assert_eq!(store.state().connections, 0);
}

#[tokio::test]
async fn calls_are_counted_by_outcome() {
    let store = FakeStore::start().await;
    let telemetry = Telemetry::new();
    let client = client(store.address).with_metrics(telemetry.metrics());
    client.get(Kind::Share, "a").await.unwrap();
    client.put(Kind::Share, "a", 0, "v").await.unwrap();
    client.put(Kind::Share, "a", 0, "v").await.unwrap();
    let text = telemetry.render();
    for labels in [
        r#"call="get",outcome="missing""#,
        r#"call="put",outcome="ok""#,
        r#"call="put",outcome="conflict""#,
    ] {
        let line = text.lines().find(|line| line.contains(labels)).unwrap();
        assert!(line.starts_with("celerylever_store_calls_total") && line.ends_with(" 1"));
    }
}

#[test]
fn gate_equals_running_maximum() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut gate = VersionGate::default();
        let mut naive = 0;
        for _ in 0..200 {
            let version = random.random_range(0..100);
            let accepted = gate.offer(version, version.to_string());
            assert_eq!(accepted, version > naive, "seed {seed}");
            naive = naive.max(version);
            assert_eq!(gate.version(), naive, "seed {seed}");
            assert_eq!(gate.content().is_some(), naive > 0, "seed {seed}");
        }
        assert_eq!(gate.content(), Some(&naive.to_string()), "seed {seed}");
    }
}

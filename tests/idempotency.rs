//! Requests repeated under an idempotency key, on real entries.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use celerylever::idempotency::ClaimPruner;
use celerylever_testkit::Faults;
use fleet::{Answer, Fleet, FleetSettings, KEY, OTHER_KEY, request, wait_closed, whole};
use http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 6;
/// Longest wait for a state, against hanging tests.
const WATCHDOG: Duration = Duration::from_secs(20);

async fn fleet() -> Fleet {
    Fleet::start(FleetSettings {
        entries: 2,
        peers: true,
        engines: 1,
        ..Default::default()
    })
    .await
}

/// Books a slot at an entry under an idempotency key.
async fn book(fleet: &Fleet, entry: usize, key: &str, idempotency_key: &str, body: &str) -> Answer {
    let address = fleet.entries[entry].callers;
    let path = "/slots/book";
    let mut request = request(address, Method::POST, path, Some(key), body.to_owned());
    if !idempotency_key.is_empty() {
        let value = idempotency_key.parse().unwrap();
        request.headers_mut().insert("idempotency-key", value);
    }
    whole(fleet.client.request(request).await.unwrap()).await
}

fn told(answer: &Answer) -> (u64, String) {
    let (code, _, ran) = answer.refusal();
    (code, ran)
}

/// Waits until the claim on the only key says that its request ran.
async fn wait_ran(fleet: &Fleet) {
    let noted = async {
        while fleet.store.calls().of("PUT", "claim") < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WATCHDOG, noted).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_request_on_another_vm_runs_once() {
    let fleet = fleet().await;
    assert_eq!(book(&fleet, 0, KEY, "k1", "{}").await.status, 200);
    wait_ran(&fleet).await;
    let again = book(&fleet, 1, KEY, "k1", "{}").await;
    assert_eq!((again.status, told(&again)), (409, (3011, "ran".into())));
    assert_eq!(fleet.service.runs().len(), 1);
    assert_eq!(fleet.store.calls().of("PUT", "claim"), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_under_one_key_run_once() {
    let fleet = fleet().await;
    let books = (0..30).map(|index| book(&fleet, index % 2, KEY, "k1", "{}"));
    let answers = futures_util::future::join_all(books).await;
    let whole = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!((whole, fleet.service.runs().len()), (1, 1));
    let others = answers.iter().filter(|answer| answer.status != 200);
    assert!(others.into_iter().all(|answer| told(answer).0 == 3011));
}

#[tokio::test(flavor = "multi_thread")]
async fn other_contents_under_a_used_key_are_refused() {
    let fleet = fleet().await;
    book(&fleet, 0, KEY, "k1", "{}").await;
    let other = book(&fleet, 0, KEY, "k1", "{\"slot\":2}").await;
    assert_eq!(told(&other), (3011, "not_run".into()));
    assert_eq!(fleet.service.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn equal_keys_of_two_customers_never_meet() {
    let fleet = fleet().await;
    assert_eq!(book(&fleet, 0, KEY, "k1", "{}").await.status, 200);
    assert_eq!(book(&fleet, 0, OTHER_KEY, "k1", "{}").await.status, 200);
    assert_eq!(fleet.service.runs().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_refuses_keyed_requests_only() {
    let fleet = fleet().await;
    let refuse = Faults {
        refuse: true,
        ..Faults::default()
    };
    fleet.store.faults().set(refuse);
    let keyed = book(&fleet, 0, KEY, "k1", "{}").await;
    assert_eq!(
        (keyed.status, told(&keyed)),
        (503, (3010, "not_run".into()))
    );
    assert!(keyed.headers.contains_key("retry-after"));
    assert_eq!(fleet.service.runs().len(), 0);
    assert_eq!(book(&fleet, 0, KEY, "", "{}").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_whose_answer_was_lost_still_runs_once() {
    let fleet = fleet().await;
    fleet
        .store
        .faults()
        .update(|faults| faults.lose_answers = 1);
    let first = book(&fleet, 0, KEY, "k1", "{}").await;
    let second = book(&fleet, 1, KEY, "k1", "{}").await;
    let ok = [&first, &second].iter().filter(|a| a.status == 200).count() as u64;
    assert_eq!(fleet.service.runs().len() as u64, ok);
    assert!(ok <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_was_not_run_gives_its_key_free() {
    let fleet = fleet().await;
    fleet.service.stop().await;
    wait_closed(fleet.service.address()).await;
    let refused = book(&fleet, 0, KEY, "k1", "{}").await;
    assert_eq!(told(&refused), (3002, "not_run".into()), "{refused:?}");
    fleet.service.restart().await.unwrap();
    assert_eq!(book(&fleet, 1, KEY, "k1", "{}").await.status, 200);
    assert_eq!(fleet.service.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_have_run_keeps_its_key() {
    let fleet = fleet().await;
    fleet
        .service
        .faults()
        .update(|faults| faults.lose_answers = 1);
    let lost = book(&fleet, 0, KEY, "k1", "{}").await;
    assert_eq!(told(&lost), (3003, "unknown".into()));
    let again = book(&fleet, 1, KEY, "k1", "{}").await;
    assert_eq!(told(&again), (3011, "unknown".into()));
    assert_eq!(fleet.service.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_leaves_the_key_claimed() {
    let mut fleet = fleet().await;
    fleet.service.faults().update(|faults| faults.freeze = true);
    let address = fleet.entries[0].callers;
    let mut sent = request(address, Method::POST, "/slots/book", Some(KEY), "{}");
    let value = "k1".parse().unwrap();
    sent.headers_mut().insert("idempotency-key", value);
    let pending = tokio::spawn(fleet.client.request(sent));
    let claimed = async {
        while fleet.store.calls().of("PUT", "claim") == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WATCHDOG, claimed).await.unwrap();
    fleet.entries[0].process.kill().unwrap();
    fleet
        .service
        .faults()
        .update(|faults| faults.freeze = false);
    assert!(pending.await.unwrap().is_err());
    let again = book(&fleet, 1, KEY, "k1", "{}").await;
    assert_eq!(told(&again), (3011, "unknown".into()));
    assert!(fleet.service.runs().len() <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_key_pay_nothing() {
    let fleet = fleet().await;
    for _ in 0..20 {
        assert_eq!(book(&fleet, 0, KEY, "", "{}").await.status, 200);
    }
    assert_eq!(fleet.store.calls().of("PUT", "claim"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_that_honours_keys_needs_no_claim() {
    let mut fleet = fleet().await;
    let honours = "kind = plain_service\nhonours_idempotency_key = true\n";
    let document = fleet.document().replace("kind = plain_service\n", honours);
    fleet.apply_everywhere(&document).await;
    fleet
        .service
        .faults()
        .update(|faults| faults.lose_answers = 1);
    assert_eq!(book(&fleet, 0, KEY, "k1", "{}").await.status, 200);
    let keys: Vec<_> = fleet
        .service
        .requests()
        .iter()
        .map(|request| request.headers["idempotency-key"].clone())
        .collect();
    assert_eq!((keys.len(), &keys[0]), (2, &keys[1]));
    assert_ne!(keys[0], "k1");
    assert_eq!(fleet.store.calls().of("PUT", "claim"), 0);
    book(&fleet, 0, OTHER_KEY, "k1", "{}").await;
    assert_ne!(
        fleet.service.requests()[2].headers["idempotency-key"],
        keys[0]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_key_is_refused() {
    let fleet = fleet().await;
    let long = "k".repeat(256);
    let answer = book(&fleet, 0, KEY, &long, "{}").await;
    assert_eq!(told(&answer), (1106, "not_run".into()));
    assert_eq!(fleet.service.runs().len(), 0);
}

#[test]
fn pruner_deletes_what_a_naive_table_deletes() {
    let retention = Duration::from_secs(60);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut pruner = ClaimPruner::new(retention);
    let mut naive: BTreeMap<String, (u64, Duration)> = BTreeMap::new();
    let mut now = Duration::ZERO;
    for step in 0..50_000 {
        now += Duration::from_millis(rng.random_range(0..500));
        let name = format!("c{}", rng.random_range(0..200));
        let version = match naive.get(&name) {
            Some((version, _)) if rng.random_bool(0.5) => *version,
            _ => step + 1,
        };
        pruner.observe(&name, version, now);
        let entry = naive.entry(name).or_insert((version, now));
        if entry.0 != version {
            *entry = (version, now);
        }
        let due = std::iter::from_fn(|| pruner.pop_expired(now));
        let mut deleted: Vec<_> = due.collect();
        deleted.sort();
        let is_old = |seen: Duration| now - seen >= retention;
        let expected: Vec<_> = naive
            .iter()
            .filter(|(_, (_, seen))| is_old(*seen))
            .map(|(name, (version, _))| (name.clone(), *version))
            .collect();
        assert_eq!(deleted, expected);
        naive.retain(|_, (_, seen)| !is_old(*seen));
    }
}

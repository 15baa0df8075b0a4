//! Orders to engines: decisions under random faults, and real stewards against stand-ins.

#[path = "support/order_processes.rs"]
mod processes;
#[path = "support/order_simulation.rs"]
mod simulation;

use std::time::Duration;

use celerylever::clock::ManualClock;
use celerylever::document::FencingCheck;
use celerylever::steward::{HeldTerm, RolloutSettings};
use rstest::rstest;
use rustix::process::Signal;

use processes::{LEASE, OrderEngine, Stewards, until};
use simulation::{Simulation, settings};

const SEEDS: u64 = 200;
/// Engines that may load at once.
const LOADS_MAX: usize = 2;

#[test]
fn every_engine_gets_the_version_and_two_load_at_most() {
    for seed in 0..SEEDS {
        let outcome = Simulation::new(seed, settings()).run();
        assert!(outcome.is_done, "seed {seed}: {outcome:?}");
        assert!(outcome.loading_max <= LOADS_MAX, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.capacity_lost, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.orders >= 6, "seed {seed}: {outcome:?}");
    }
}

#[rstest]
#[case::limit(RolloutSettings { concurrent_loads_max: 9, ..settings() })]
#[case::settle(RolloutSettings { order_settle_window: Duration::ZERO, ..settings() })]
#[case::silence(RolloutSettings { unreachable_timeout: Duration::ZERO, ..settings() })]
fn with_a_mechanism_off_more_load(#[case] settings: RolloutSettings) {
    let is_exceeded = |seed: &u64| Simulation::new(*seed, settings).run().loading_max > LOADS_MAX;
    assert!((0..SEEDS).any(|seed| is_exceeded(&seed)));
}

#[test]
fn orders_without_fencing_stay_well_inside_the_lease() {
    let settings = RolloutSettings::from_lease_ttl(Duration::from_secs(8));
    let held = HeldTerm {
        fencing_number: 1,
        valid_until: Duration::from_secs(8),
        idle: None,
    };
    let sends = |check, now_ms| settings.may_send(check, held, Duration::from_millis(now_ms));
    assert!(sends(FencingCheck::Ignores, 4_000));
    assert!(!sends(FencingCheck::Ignores, 4_001));
    assert!(sends(FencingCheck::Refuses, 7_999));
    assert!(!sends(FencingCheck::Refuses, 8_000));
}

#[tokio::test]
async fn rollout_of_four_engines_keeps_two_in_service() {
    let mut fleet = Stewards::new(&[FencingCheck::Refuses; 4]).await;
    fleet.apply("v1").await;
    let _steward = fleet.start("a");
    fleet.apply("v2").await;
    until("rolled", || fleet.all_at("v2")).await;
    assert_eq!(fleet.loading_max(), 2);
    let orders = fleet.engines.iter().map(OrderEngine::orders);
    assert!(orders.into_iter().all(|orders| orders == [(1, true)]));
}

#[tokio::test]
async fn lost_answer_is_read_back_and_not_repeated() {
    let mut fleet = Stewards::new(&[FencingCheck::Refuses; 2]).await;
    fleet.engines[0].lose_answer();
    fleet.apply("v2").await;
    let _steward = fleet.start("a");
    until("rolled", || fleet.all_at("v2")).await;
    assert_eq!(fleet.engines[0].orders(), [(1, true)]);
    assert_eq!(fleet.loading_max(), 1);
}

#[tokio::test]
async fn late_order_of_a_paused_steward_is_refused_or_never_sent() {
    let mut fleet = Stewards::new(&[FencingCheck::Refuses, FencingCheck::Ignores]).await;
    fleet.engines[0].hold_next();
    fleet.apply("v2").await;
    let first = fleet.start("a");
    until("sent", || fleet.engines[0].is_holding()).await;
    first.signal(Signal::STOP);
    let _second = fleet.start("b");
    until("rolled", || fleet.all_at("v2")).await;
    fleet.engines[0].release();
    first.signal(Signal::CONT);
    until("refused", || {
        fleet.engines[0].orders().contains(&(1, false))
    })
    .await;
    tokio::time::sleep(LEASE).await;
    assert!(fleet.engines[0].orders().contains(&(2, true)));
    assert_eq!(fleet.engines[1].orders(), [(2, true)]);
}

#[tokio::test]
async fn paused_steward_sends_nothing_to_an_engine_that_ignores_fencing() {
    let mut fleet = Stewards::new(&[FencingCheck::Ignores]).await;
    fleet.engines[0].hold_read();
    fleet.apply("v2").await;
    let first = fleet.start("a");
    until("read", || fleet.engines[0].is_holding()).await;
    first.signal(Signal::STOP);
    // What the engine said of itself waits for the steward and makes it want to send an order.
    fleet.engines[0].release();
    let _second = fleet.start("b");
    until("rolled", || fleet.all_at("v2")).await;
    first.signal(Signal::CONT);
    tokio::time::sleep(2 * LEASE).await;
    assert_eq!(fleet.engines[0].orders(), [(2, true)]);
}

#[tokio::test]
async fn late_in_the_lease_only_engines_that_refuse_get_orders() {
    let mut fleet = Stewards::new(&[FencingCheck::Ignores, FencingCheck::Refuses]).await;
    let clock = ManualClock::default();
    // No renewal is due while the test runs.
    let lease = Duration::from_secs(300);
    let (running, view) = fleet.start_here(clock.clone(), lease);
    until("held", || view.fencing_number() == Some(1)).await;
    clock.advance(lease * 2 / 3);
    fleet.apply("v2").await;
    until("loaded", || {
        clock.advance(Duration::from_millis(5));
        fleet.engines[1].is_at("v2")
    })
    .await;
    for _ in 0..100 {
        clock.advance(Duration::from_millis(20));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(fleet.engines[1].orders(), [(1, true)]);
    assert_eq!(fleet.engines[0].orders(), []);
    drop(running);
}

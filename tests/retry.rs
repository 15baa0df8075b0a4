//! The retry budget against a naive count, and the wait before a retry.

use std::time::Duration;

use celerylever::retry::{RetryBudget, RetryBudgetSettings, backoff};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEED: u64 = 6;
const STEPS: u64 = 300_000;
const BACKOFF_MAX: Duration = Duration::from_millis(200);

#[rstest]
#[case::third_of_the_upstreams_out(0.33, 10)]
#[case::all_out(1.0, 10)]
#[case::small_share(0.5, 1)]
fn granted_retries_stay_within_their_share(#[case] failing: f64, #[case] percent: u32) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let settings = RetryBudgetSettings {
        retry_percent: percent,
        ..Default::default()
    };
    let mut budget = RetryBudget::new(settings.clone(), Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut granted = 0;
    for requests in 1..=STEPS {
        now += Duration::from_micros(rng.random_range(0..2_000));
        budget.record_request();
        if rng.random_bool(failing) && budget.try_take(now) {
            granted += 1;
        }
        let earned = requests * u64::from(percent) / 100;
        let floor = now.as_secs() * u64::from(settings.floor_retries_per_s) + 1;
        let bound = earned + floor + u64::from(settings.floor_retries_max);
        assert!(granted <= bound, "{granted} above {bound}");
    }
    assert!(granted >= STEPS * u64::from(percent) / 100 / 2, "{granted}");
}

#[test]
fn low_traffic_keeps_a_small_floor() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default(), Duration::ZERO);
    let mut granted = 0;
    for second in 0..60 {
        budget.record_request();
        granted += u64::from(budget.try_take(Duration::from_secs(second)));
    }
    assert_eq!(granted, 60);
}

#[test]
fn forced_retries_are_paid_back() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default(), Duration::ZERO);
    for _ in 0..50 {
        budget.force_take(Duration::ZERO);
    }
    for _ in 0..400 {
        budget.record_request();
        assert!(!budget.try_take(Duration::ZERO));
    }
    for _ in 0..10 {
        budget.record_request();
    }
    assert!(budget.try_take(Duration::ZERO));
}

#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default(), Duration::ZERO);
    for _ in 0..STEPS {
        budget.record_request();
    }
    let granted = (0..1_000)
        .filter(|_| budget.try_take(Duration::ZERO))
        .count();
    assert_eq!(granted, 100);
}

#[test]
fn backoff_is_spread_and_bounded() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let waits: Vec<Duration> = (0..1_000).map(|_| backoff(20, &mut rng)).collect();
    assert!(waits.iter().all(|wait| *wait <= BACKOFF_MAX));
    let early = waits.iter().filter(|wait| **wait < BACKOFF_MAX / 2).count();
    assert!((400..600).contains(&early), "{early}");
}

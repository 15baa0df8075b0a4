//! For how long cached parts are kept.

use super::*;

const STORE_CAPACITY_TOKENS: u64 = 2_000_000;
const ENGINE_CAPACITY_TOKENS: u64 = 250_000;

/// Notes prompts of this VM for ten seconds, all of which are saved as well.
fn retention_after_traffic(tokens_per_s: u64) -> CacheRetention {
    let mut retention = CacheRetention::new();
    for step in 0..100 {
        retention.record_prefill("notes", tokens_per_s / 10, MS(step * 100));
        retention.record_store_write(tokens_per_s / 10, MS(step * 100));
    }
    retention
}

/// The same traffic for each engine: a store before few keeps parts for longer than they do, one
/// before many forgets sooner.
#[rstest]
#[case::few(4, true)]
#[case::many(60, false)]
fn the_store_is_asked_where_it_keeps_parts_for_longer(
    #[case] engines: usize,
    #[case] is_stored: bool,
) {
    let vms = engines;
    let retention = retention_after_traffic(20_000);
    let now = MS(10_000);
    let store = retention.cache_store_retention(STORE_CAPACITY_TOKENS, vms, now);
    let engine = retention.engine_retention("notes", ENGINE_CAPACITY_TOKENS, engines, vms, now);
    let likelier = is_store_likelier(MS(3_000), store, MS(3_000), engine);
    assert_eq!(likelier, is_stored, "store {store:?}, engine {engine:?}");
}

#[test]
fn a_part_used_at_an_engine_just_now_is_there() {
    let retention = retention_after_traffic(20_000);
    let store = retention.cache_store_retention(STORE_CAPACITY_TOKENS, 8, MS(10_000));
    let engine = retention.engine_retention("notes", ENGINE_CAPACITY_TOKENS, 8, 8, MS(10_000));
    assert!(!is_store_likelier(MS(3_000), store, MS(100), engine));
}

/// What is kept follows from the memory and what is added, and is bounded while nothing is.
#[test]
fn the_time_follows_what_is_added() {
    let retention = retention_after_traffic(20_000);
    let engine_retention =
        retention.engine_retention("notes", ENGINE_CAPACITY_TOKENS, 1, 1, MS(10_000));
    assert!(
        engine_retention > MS(12_000) && engine_retention < MS(16_000),
        "{engine_retention:?}"
    );
    assert_eq!(
        retention.engine_retention("other", ENGINE_CAPACITY_TOKENS, 1, 1, MS(10_000)),
        MS(60_000)
    );
    assert_eq!(
        retention.cache_store_retention(STORE_CAPACITY_TOKENS, 1, MS(100_000)),
        MS(60_000)
    );
}

//! Tests of the estimate of how long cached prefixes stay in engines and in the cache store.

use super::*;

const STORE_CAPACITY_TOKENS: u64 = 2_000_000;
const ENGINE_CAPACITY_TOKENS: u64 = 250_000;

/// Records ten seconds of prompts of this VM for the service `notes`, all of them also written to
/// the cache store.
fn retention_after_traffic(tokens_per_s: u64) -> CacheRetention {
    let mut retention = CacheRetention::new();
    for step in 0..100 {
        retention.record_prefill("notes", tokens_per_s / 10, MS(step * 100));
        retention.record_store_write(tokens_per_s / 10, MS(step * 100));
    }
    retention
}

/// With the same traffic per engine, a cache store that serves few engines retains prefixes for
/// longer than the engines do; one that serves many engines evicts them sooner.
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
    assert_eq!(
        likelier, is_stored,
        "retention in store {store:?}, in engine {engine:?}"
    );
}

#[test]
fn a_part_used_at_an_engine_just_now_is_there() {
    let retention = retention_after_traffic(20_000);
    let store = retention.cache_store_retention(STORE_CAPACITY_TOKENS, 8, MS(10_000));
    let engine = retention.engine_retention("notes", ENGINE_CAPACITY_TOKENS, 8, 8, MS(10_000));
    assert!(!is_store_likelier(MS(3_000), store, MS(100), engine));
}

/// The retention is the capacity divided by the rate of added tokens, up to a maximum, which also
/// applies while nothing is added.
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

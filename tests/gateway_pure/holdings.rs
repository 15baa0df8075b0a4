//! Which engines hold what.

use super::*;

#[test]
fn a_holding_counts_for_its_weights_only_and_not_for_long() {
    let mut holdings = PrefixCacheIndex::default();
    holdings.record_prefill(77, 1, 5, MS(0));
    assert!(holdings.is_cached(77, 1, 5, MS(100)));
    assert!(!holdings.is_cached(77, 1, 6, MS(100)));
    assert!(!holdings.is_cached(77, 1, 5, MS(20_000)));
}

#[test]
fn what_was_read_is_told_once_in_a_while() {
    let mut holdings = PrefixCacheIndex::default();
    holdings.record_prefill(77, 1, 5, MS(10));
    holdings.record_prefill(77, 1, 5, MS(20));
    assert_eq!(holdings.take_unannounced(10).len(), 1);
    holdings.record_prefill(77, 1, 5, MS(4_000));
    assert_eq!(holdings.take_unannounced(10).len(), 1);
}

#[test]
fn what_a_vm_of_the_zone_tells_is_kept_for_the_others() {
    let mut holdings = PrefixCacheIndex::default();
    let holding = CachedPrefix {
        prefix: 7,
        engine: 1,
        weights: 5,
    };
    holdings.record_from_peer(holding, false, MS(10));
    assert_eq!(holdings.take_unannounced_to_zones(10), []);
    holdings.record_from_peer(holding, true, MS(10));
    assert_eq!(holdings.take_unannounced_to_zones(10), [holding]);
    assert_eq!(holdings.take_unannounced(10), []);
}

#[test]
fn the_latest_reader_is_named_first() {
    let mut holdings = PrefixCacheIndex::default();
    holdings.record_prefill(7, 1, 5, MS(10));
    holdings.record_prefill(7, 2, 5, MS(20));
    let holders = holdings.holders(7, 5, MS(30)).map(|holder| holder.engine);
    assert_eq!(holders.collect::<Vec<_>>(), [2, 1]);
}

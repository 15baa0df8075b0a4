//! Tests of the index of the prompt prefixes that engines have cached.

use super::*;

fn cached(prefix: u32, engine: u32, weights: u64) -> CachedPrefix {
    CachedPrefix {
        prefix,
        engine,
        weights,
        is_long: true,
    }
}

#[test]
fn a_holding_counts_for_its_weights_only_and_not_for_long() {
    let mut index = PrefixCacheIndex::default();
    index.record_prefill(cached(77, 1, 5), MS(0));
    assert!(index.is_cached(77, 1, 5, MS(100)));
    assert!(!index.is_cached(77, 1, 6, MS(100)));
    assert!(!index.is_cached(77, 1, 5, MS(20_000)));
}

#[test]
fn what_was_read_is_told_once_in_a_while() {
    let mut index = PrefixCacheIndex::default();
    index.record_prefill(cached(77, 1, 5), MS(10));
    index.record_prefill(cached(77, 1, 5), MS(20));
    assert_eq!(index.take_unannounced(10).len(), 1);
    index.record_prefill(cached(77, 1, 5), MS(4_000));
    assert_eq!(index.take_unannounced(10).len(), 1);
}

#[test]
fn what_a_vm_of_the_zone_tells_is_kept_for_the_others() {
    let mut index = PrefixCacheIndex::default();
    let cached_prefix = cached(7, 1, 5);
    index.record_from_peer(cached_prefix, false, MS(10));
    assert_eq!(index.take_unannounced_to_zones(10), []);
    index.record_from_peer(cached_prefix, true, MS(10));
    assert_eq!(index.take_unannounced_to_zones(10), [cached_prefix]);
    assert_eq!(index.take_unannounced(10), []);
}

#[test]
fn the_latest_reader_is_named_first() {
    let mut index = PrefixCacheIndex::default();
    index.record_prefill(cached(7, 1, 5), MS(10));
    index.record_prefill(cached(7, 2, 5), MS(20));
    let holders = index.holders(7, 5, MS(30)).map(|holder| holder.engine);
    assert_eq!(holders.collect::<Vec<_>>(), [2, 1]);
}

/// Guards against long prefixes that other zones never learn of, as short ones fill the heartbeats
/// of the representative.
#[test]
fn short_prefixes_leave_room_for_long_ones() {
    let mut index = PrefixCacheIndex::default();
    for prefix in 0..200 {
        let short = CachedPrefix {
            is_long: false,
            ..cached(prefix, 1, 5)
        };
        index.record_from_peer(short, true, MS(10));
        index.record_from_peer(cached(1_000 + prefix / 8, 1, 5), true, MS(10));
    }
    let announced = index.take_unannounced_to_zones(1_000);
    let long: std::collections::HashSet<_> = announced
        .iter()
        .filter(|announced| announced.is_long)
        .map(|announced| announced.prefix)
        .collect();
    assert!(long.len() >= 4, "{} long prefixes", long.len());
    assert!(announced.len() <= 64);
}

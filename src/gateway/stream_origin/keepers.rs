//! Choice of the VMs that keep the record of a stream.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::origin::StreamKey;
use crate::ids::AvailabilityZoneId;

/// Number of VMs that keep the record of a stream, besides the one that began it.
pub const KEEPERS: usize = 2;

/// Returns the VMs in the order in which they keep the record of a stream.
///
/// The first two are in different zones if there are several, so that the record outlasts a zone.
/// VMs that know the same fleet compute the same order.
pub fn rank_keepers(
    key: StreamKey,
    vms: impl IntoIterator<Item = (SocketAddr, AvailabilityZoneId)>,
) -> Vec<SocketAddr> {
    let seed = (key >> 64) as u64 ^ key as u64;
    let mut ranked: Vec<_> = vms.into_iter().collect();
    ranked.sort_by_cached_key(|(address, _)| {
        let rank = xxh3_64_with_seed(address.to_string().as_bytes(), seed);
        (Reverse(rank), *address)
    });
    ranked.dedup_by_key(|(address, _)| *address);
    let other_zone = ranked.iter().position(|(_, zone)| *zone != ranked[0].1);
    if let Some(position) = other_zone {
        ranked[1..=position].rotate_right(1);
    }
    ranked.into_iter().map(|(address, _)| address).collect()
}

//! Compact identifiers of process lifetimes of upstreams in messages between VMs.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::upstream_registry::UpstreamInstance;

/// Hash that identifies one process lifetime of an upstream at all VMs.
pub type ProcessHash = u64;

/// Returns the hash of a process lifetime.
pub fn hash_process(instance: &UpstreamInstance) -> ProcessHash {
    xxh3_64_with_seed(instance.id.as_bytes(), instance.born_ms)
}

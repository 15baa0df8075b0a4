//! Compact identifiers of upstreams, customers and prefixes in messages between VMs.

use xxhash_rust::xxh3::xxh3_64;

/// Hash that identifies an upstream, a customer or a prompt prefix in a message.
pub(super) type NameHash = u32;

/// Returns the low 32 bits of the XXH3 hash of a name.
pub(super) fn hash_name(text: &str) -> NameHash {
    xxh3_64(text.as_bytes()) as NameHash
}

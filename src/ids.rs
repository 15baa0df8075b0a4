//! Type aliases for identifiers, versions and counts that all modules share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

const INCARNATION_RANDOM_BITS: u32 = 10;

/// Name of a VM that runs an entry, from its settings.
pub type VmId = String;

/// Number that increases each time a process on a VM is started.
pub type Incarnation = u64;

/// Name of an availability zone.
pub type AvailabilityZoneId = String;

/// Name of a customer in the operators' document.
pub type CustomerId = String;

/// Name of a model in the operators' document.
pub type ModelId = String;

/// Name of an upstream in the operators' document.
pub type UpstreamId = String;

/// Name of a version of a model's weights.
pub type WeightVersion = String;

/// Version of an object in the platform's store; it only increases.
pub type ObjectVersion = u64;

/// Number of times that the platform's store has been restored from a copy.
///
/// 0 if the store does not count them.
pub type StoreEra = u64;

/// Fencing number that a lease holder attaches to its orders.
pub type FencingNumber = u64;

/// Identifier that links a response to its request.
pub type RequestId = String;

/// Identifier that links a write to the process that made it.
pub type WriteId = String;

/// Number of model tokens.
pub type Tokens = u64;

/// Returns an incarnation that differs from those of all other starts on this VM.
///
/// It consists of the wall-clock time in milliseconds and random bits. Only uniqueness matters, so
/// steps of the wall clock are harmless.
pub(crate) fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or(Duration::ZERO).as_millis();
    let millis = u64::try_from(millis).unwrap_or_default();
    let random = rand::random_range(0..1_u64 << INCARNATION_RANDOM_BITS);
    (millis << INCARNATION_RANDOM_BITS) | random
}

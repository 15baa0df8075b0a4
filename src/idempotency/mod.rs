//! Idempotency keys: of all requests with the same key, at most one runs, across all VMs.

mod claims;
mod key;
mod prune;
mod record;

pub use claims::{Claim, ClaimSettings, Claims};
pub use key::{Fingerprint, IdempotencyKey, KeyScope};
pub use prune::{ClaimPruner, prune_claims};
pub use record::{ClaimRecord, ClaimState};

pub(crate) use key::{IDEMPOTENCY_KEY, fingerprint};

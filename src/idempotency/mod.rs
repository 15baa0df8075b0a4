//! Requests that callers repeat under an idempotency key: at most one of them runs, on any VM.

mod claims;
mod key;
mod prune;
mod record;

pub use claims::{Claim, ClaimSettings, Claims};
pub use key::{Fingerprint, IdempotencyKey, KeyScope};
pub use prune::{ClaimPruner, prune_claims};
pub use record::{ClaimRecord, ClaimState};

pub(crate) use key::{IDEMPOTENCY_KEY, fingerprint};

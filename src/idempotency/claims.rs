//! Claims idempotency keys in the platform's store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::{ClaimRecord, ClaimState, IdempotencyKey};
use crate::clock::SharedClock;
use crate::error::{Code, Refusal};
use crate::ids::ObjectVersion;
use crate::limit::{Bucket, MILLION, RateShare, to_microtokens};
use crate::platform::{Kind, Object, PutOutcome, StoreClient};

/// Store writes per claim: creation, update at the end of the request, and deletion.
const WRITES_PER_CLAIM: u64 = 3;
/// `Retry-After` of requests refused because their key could not be claimed.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of attempts to delete a claim whose creation was not confirmed.
const CLEANUP_ATTEMPTS_MAX: u32 = 4;
/// Wait before each of these attempts.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// Limits on the store writes for claims of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Sustained rate of store writes, per second.
    pub writes_per_s: u64,
    /// Maximum burst of store writes.
    pub writes_burst: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            writes_per_s: 30,
            writes_burst: 150,
        }
    }
}

/// Client that claims keys for one entry; clones share the write limit.
#[derive(Debug, Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    store: StoreClient,
    clock: SharedClock,
    write_limit: Mutex<Bucket>,
}

/// Claim on a key, held by the only request with this key that may run.
#[derive(Debug)]
pub struct Claim {
    store: StoreClient,
    name: String,
    version: ObjectVersion,
    record: ClaimRecord,
}

impl Claims {
    /// Creates a client with an unused write limit.
    pub fn new(store: StoreClient, settings: &ClaimSettings, clock: SharedClock) -> Self {
        let share = RateShare {
            rate_tokens_per_s: settings.writes_per_s,
            burst_tokens: settings.writes_burst,
            parts_per_million: MILLION,
        };
        let write_limit = Mutex::new(Bucket::new(share, share.burst(), clock.now()));
        let inner = Inner {
            store,
            clock,
            write_limit,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Claims a key for a request.
    ///
    /// # Errors
    ///
    /// Returns [`Code::IdempotencyConflict`] if an earlier request holds the key, and
    /// [`Code::IdempotencyUnavailable`] if the write limit is reached or the store does not confirm
    /// the claim.
    pub async fn claim(
        &self,
        key: &IdempotencyKey,
        fingerprint: String,
        request_id: String,
    ) -> Result<Claim, Refusal> {
        self.reserve_writes()?;
        let name = key.claim_name();
        let record = ClaimRecord {
            request_id,
            fingerprint,
            state: ClaimState::Started,
        };
        let store = &self.inner.store;
        let put = store.put(Kind::Claim, &name, 0, &record.to_value()).await;
        match put {
            Ok(PutOutcome::Applied(version)) => Ok(Claim {
                store: store.clone(),
                name,
                version,
                record,
            }),
            Ok(PutOutcome::Conflict(Some(existing))) => {
                Err(conflict(&existing, &record.fingerprint))
            }
            Ok(PutOutcome::Unknown) => {
                tokio::spawn(delete_late_claim(store.clone(), name, record));
                Err(unavailable(
                    "whether the claim on the idempotency key was stored is unknown",
                ))
            }
            Ok(PutOutcome::NotApplied | PutOutcome::Conflict(None)) => Err(unavailable(
                "the store did not accept the claim on the idempotency key",
            )),
            Err(error) => Err(unavailable(error.to_string())),
        }
    }

    /// Returns the refusal for a repeat of an earlier request that holds the key.
    ///
    /// Returns `None` if no request holds the key or the store cannot be read.
    pub async fn find_conflict(&self, key: &IdempotencyKey, fingerprint: &str) -> Option<Refusal> {
        let existing = self.inner.store.get(Kind::Claim, &key.claim_name()).await;
        // If the store cannot be read, the caller keeps the refusal it already has.
        let existing = existing.ok().flatten()?;
        Some(conflict(&existing, fingerprint))
    }

    fn reserve_writes(&self) -> Result<(), Refusal> {
        let now = self.inner.clock.now();
        let mut write_limit = self
            .inner
            .write_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        write_limit
            .try_consume(to_microtokens(WRITES_PER_CLAIM), now)
            .map_err(|wait| {
                unavailable("the rate limit on claims of idempotency keys is reached")
                    .with_retry_after(wait.unwrap_or(Duration::MAX))
            })
    }
}

impl Claim {
    /// Deletes the claim, as the request was not run; errors are ignored.
    pub async fn release(self) {
        let _ = self
            .store
            .delete(Kind::Claim, &self.name, self.version)
            .await;
    }

    /// Records in the background that the request ran, so that the caller need not wait; errors are
    /// ignored.
    pub fn mark_ran(mut self) {
        self.record.state = ClaimState::Ran;
        tokio::spawn(async move {
            let value = self.record.to_value();
            let _ = self
                .store
                .put(Kind::Claim, &self.name, self.version, &value)
                .await;
        });
    }
}

fn conflict(existing: &Object, fingerprint: &str) -> Refusal {
    match ClaimRecord::parse(&existing.value) {
        Some(record) => record.conflict(fingerprint),
        None => Refusal::new(
            Code::IdempotencyConflict,
            "the stored claim on the idempotency key is malformed",
        ),
    }
}

fn unavailable(message: impl Into<String>) -> Refusal {
    Refusal::new(Code::IdempotencyUnavailable, message).with_retry_after(UNAVAILABLE_RETRY_AFTER)
}

/// Deletes the claim of a refused request, in case its creation takes effect late.
async fn delete_late_claim(store: StoreClient, name: String, record: ClaimRecord) {
    for _ in 0..CLEANUP_ATTEMPTS_MAX {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let Ok(Some(existing)) = store.get(Kind::Claim, &name).await else {
            continue;
        };
        if ClaimRecord::parse(&existing.value).as_ref() == Some(&record) {
            let _ = store.delete(Kind::Claim, &name, existing.version).await;
        }
        return;
    }
}

//! Claims on idempotency keys in the platform's store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::{ClaimRecord, ClaimState, IdempotencyKey};
use crate::clock::SharedClock;
use crate::error::{Code, Refusal};
use crate::ids::ObjectVersion;
use crate::limit::{Bucket, MILLION, RateShare, to_microtokens};
use crate::platform::{Kind, Object, PutOutcome, StoreClient};

/// Writes that one claim costs: its creation, its end and its deletion.
const WRITES_PER_CLAIM: u64 = 3;
/// When a caller may come back after the store could not be reached.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Tries to remove a claim whose creation is unknown.
const CLEANUP_ATTEMPTS_MAX: u32 = 4;
/// Wait before each of them.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// Bounds on the claims of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Writes to the store allowed in a second.
    pub writes_per_s: u64,
    /// Writes to the store allowed at once.
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

/// Claims of one entry; clones share them.
#[derive(Debug, Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    store: StoreClient,
    clock: SharedClock,
    writes: Mutex<Bucket>,
}

/// Claim on a key, held by the only request that may run under it.
#[derive(Debug)]
pub struct Claim {
    store: StoreClient,
    name: String,
    version: ObjectVersion,
    record: ClaimRecord,
}

impl Claims {
    /// Creates a holder of claims that has made none.
    pub fn new(store: StoreClient, settings: &ClaimSettings, clock: SharedClock) -> Self {
        let share = RateShare {
            rate_tokens_per_s: settings.writes_per_s,
            burst_tokens: settings.writes_burst,
            parts_per_million: MILLION,
        };
        let writes = Mutex::new(Bucket::new(share, share.burst(), clock.now()));
        let inner = Inner {
            store,
            clock,
            writes,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Claims a key for a request.
    ///
    /// # Errors
    ///
    /// Returns [`Code::IdempotencyConflict`] where an earlier request holds the key, and
    /// [`Code::IdempotencyUnavailable`] where that cannot be found out.
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
                Err(unavailable("whether the key was claimed is unknown"))
            }
            Ok(PutOutcome::NotApplied | PutOutcome::Conflict(None)) => {
                Err(unavailable("the key could not be claimed"))
            }
            Err(error) => Err(unavailable(error.to_string())),
        }
    }

    /// Returns what a repeat is told of the earlier request that holds its key; nothing where none
    /// does or that cannot be found out.
    pub async fn find_conflict(&self, key: &IdempotencyKey, fingerprint: &str) -> Option<Refusal> {
        let existing = self.inner.store.get(Kind::Claim, &key.claim_name()).await;
        // A store that does not answer leaves the refusal that the repeat has got.
        let existing = existing.ok().flatten()?;
        Some(conflict(&existing, fingerprint))
    }

    fn reserve_writes(&self) -> Result<(), Refusal> {
        let now = self.inner.clock.now();
        let mut writes = self
            .inner
            .writes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        writes
            .try_consume(to_microtokens(WRITES_PER_CLAIM), now)
            .map_err(|wait| {
                unavailable("too many keys are claimed at present")
                    .with_retry_after(wait.unwrap_or(Duration::MAX))
            })
    }
}

impl Claim {
    /// Gives the key free, as the request was not run; best effort.
    pub async fn release(self) {
        let _ = self
            .store
            .delete(Kind::Claim, &self.name, self.version)
            .await;
    }

    /// Notes that the request ran; best effort, and without delay for the caller.
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
            "the claim on the key is malformed",
        ),
    }
}

fn unavailable(message: impl Into<String>) -> Refusal {
    Refusal::new(Code::IdempotencyUnavailable, message).with_retry_after(UNAVAILABLE_RETRY_AFTER)
}

/// Removes a claim of a request that was refused, should its creation take effect late.
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

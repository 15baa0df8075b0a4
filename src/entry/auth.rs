//! Finds the customer that a request's key belongs to.

use http::HeaderMap;
use http::header::AUTHORIZATION;

use super::app::App;
use crate::document::{Customer, KeyDigest, Snapshot, digest_key};
use crate::error::{Code, Refusal};
use crate::idempotency::KeyScope;
use crate::ids::{CustomerId, ObjectVersion};

/// Customer for whom a request runs.
#[derive(Debug, Clone)]
pub(super) struct Caller<'a> {
    pub(super) id: &'a CustomerId,
    pub(super) customer: &'a Customer,
    pub(super) digest: KeyDigest,
}

impl Caller<'_> {
    /// Returns the scope of the caller's idempotency keys.
    pub(super) fn scope(&self) -> KeyScope {
        KeyScope::Customer(self.id.clone())
    }
}

/// Key of a request under way, and the version of the configuration that it was checked against.
#[derive(Debug, Clone)]
pub(super) struct CallerKey {
    pub(super) digest: KeyDigest,
    pub(super) customer_id: CustomerId,
    pub(super) checked_version: ObjectVersion,
}

impl CallerKey {
    /// Returns whether a configuration has withdrawn the key or given it to another customer.
    fn is_withdrawn(&self, current: &Snapshot) -> bool {
        current.version != self.checked_version
            && current.customer_of(&self.digest) != Some(&self.customer_id)
    }
}

impl App {
    /// Waits until a configuration is in force that has withdrawn a key.
    pub(super) async fn wait_for_key_withdrawal(&self, key: &CallerKey) {
        let mut versions = self.subscribe_version();
        loop {
            versions.mark_unchanged();
            if self
                .snapshot()
                .is_ok_and(|current| key.is_withdrawn(&current))
            {
                return;
            }
            // The sender lives as long as this.
            let _ = versions.changed().await;
        }
    }
}

/// Returns the bearer key of a request.
pub(super) fn bearer_key(headers: &HeaderMap) -> Result<&str, Refusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let missing = || {
        Refusal::new(
            Code::KeyMissing,
            "header authorization: expected Bearer KEY",
        )
    };
    let value = values.next().ok_or_else(missing)?;
    if values.next().is_some() {
        let message = "header authorization: expected once, found more";
        return Err(Refusal::new(Code::HeaderInvalid, message));
    }
    let text = value.to_str().map_err(|_| missing())?;
    let (scheme, key) = text.split_once(' ').ok_or_else(missing)?;
    let key = key.trim();
    match scheme.eq_ignore_ascii_case("bearer") && !key.is_empty() {
        true => Ok(key),
        false => Err(missing()),
    }
}

/// Finds the customer that a key belongs to.
pub(super) fn authenticate<'a>(snapshot: &'a Snapshot, key: &str) -> Result<Caller<'a>, Refusal> {
    let unknown = || Refusal::new(Code::KeyUnknown, "the key is wrong, unknown or withdrawn");
    let digest = digest_key(key);
    let id = snapshot.customer_of(&digest).ok_or_else(unknown)?;
    let customer = snapshot.customer(id).ok_or_else(unknown)?;
    Ok(Caller {
        id,
        customer,
        digest,
    })
}

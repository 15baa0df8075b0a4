//! Authenticates requests by the API key in the `Authorization` header.

use http::HeaderMap;
use http::header::AUTHORIZATION;

use super::app::App;
use crate::document::{Customer, KeyDigest, Snapshot, digest_key};
use crate::error::{Code, Refusal};
use crate::idempotency::KeyScope;
use crate::ids::{CustomerId, ObjectVersion};

/// Authenticated customer of a request.
#[derive(Debug, Clone)]
pub(super) struct Caller<'a> {
    pub(super) id: &'a CustomerId,
    pub(super) customer: &'a Customer,
    pub(super) digest: KeyDigest,
}

impl Caller<'_> {
    /// Returns the scope that separates this customer's idempotency keys from those of others.
    pub(super) fn scope(&self) -> KeyScope {
        KeyScope::Customer(self.id.clone())
    }
}

/// API key of a request in flight and the configuration version it was checked against.
#[derive(Debug, Clone)]
pub(super) struct CallerKey {
    pub(super) digest: KeyDigest,
    pub(super) customer_id: CustomerId,
    pub(super) checked_version: ObjectVersion,
}

impl CallerKey {
    /// Returns whether `current` no longer assigns the key to the same customer.
    fn is_withdrawn(&self, current: &Snapshot) -> bool {
        current.version != self.checked_version
            && current.customer_by_digest(&self.digest) != Some(&self.customer_id)
    }
}

impl App {
    /// Waits until the current configuration no longer assigns the key to its customer.
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
            // Cannot fail: `self` owns the sender.
            let _ = versions.changed().await;
        }
    }
}

/// Returns the API key from the `Authorization: Bearer` header.
///
/// # Errors
///
/// Returns [`Code::KeyMissing`] if the header is absent or not of the form `Bearer KEY`, and
/// [`Code::HeaderInvalid`] if it occurs more than once.
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
        let message = "header authorization: expected one value, found several";
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

/// Returns the customer that an API key belongs to.
///
/// # Errors
///
/// Returns [`Code::KeyUnknown`] if the configuration assigns the key to no customer.
pub(super) fn authenticate<'a>(snapshot: &'a Snapshot, key: &str) -> Result<Caller<'a>, Refusal> {
    let unknown = || Refusal::new(Code::KeyUnknown, "the API key is unknown or withdrawn");
    let digest = digest_key(key);
    let id = snapshot.customer_by_digest(&digest).ok_or_else(unknown)?;
    let customer = snapshot.customer(id).ok_or_else(unknown)?;
    Ok(Caller {
        id,
        customer,
        digest,
    })
}

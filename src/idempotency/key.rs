//! Keys as callers send them, and the names made from them.

use http::{HeaderMap, HeaderName};

use crate::error::{Code, Refusal};

/// Header that carries the key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const KEY_MAX_BYTES: usize = 255;

/// Digest of what a request asks for.
pub type Fingerprint = String;

/// Who a key belongs to; equal keys of two scopes never meet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeyScope {
    /// A customer.
    Customer(String),
    /// Callers of open routes.
    Open,
}

/// Key of a caller within its scope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    scope: KeyScope,
    text: String,
}

impl IdempotencyKey {
    /// Returns the key that a request carries.
    ///
    /// # Errors
    ///
    /// Returns [`Code::HeaderInvalid`] where it is empty, too long, not text or given twice.
    pub fn from_headers(headers: &HeaderMap, scope: KeyScope) -> Result<Option<Self>, Refusal> {
        let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        match value.to_str() {
            Ok(text)
                if !text.is_empty() && text.len() <= KEY_MAX_BYTES && values.next().is_none() =>
            {
                let text = text.to_owned();
                Ok(Some(Self { scope, text }))
            }
            _ => {
                let message = format!(
                    "header idempotency-key: expected one text of 1 to {KEY_MAX_BYTES} bytes"
                );
                Err(Refusal::new(Code::HeaderInvalid, message))
            }
        }
    }

    /// Returns the name of the claim on the key.
    pub fn claim_name(&self) -> String {
        self.digest("claim", "")
    }

    /// Returns the key sent to an upstream that honours keys itself.
    ///
    /// It differs between scopes and between requests, so that such an upstream never answers one
    /// request with the answer to another.
    pub fn upstream_key(&self, fingerprint: &str) -> String {
        self.digest("upstream", fingerprint)
    }

    fn digest(&self, purpose: &str, fingerprint: &str) -> String {
        let (domain, name) = match &self.scope {
            KeyScope::Customer(name) => ("customer", name.as_str()),
            KeyScope::Open => ("open", ""),
        };
        digest(&[purpose, domain, name, &self.text, fingerprint].map(str::as_bytes))
    }
}

/// Returns the fingerprint of a request.
pub(crate) fn fingerprint(method: &http::Method, target: &str, body: &[u8]) -> Fingerprint {
    digest(&[method.as_str().as_bytes(), target.as_bytes(), body])
}

/// Returns a digest of parts, each with its length, so that no two lists look alike.
fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex()[..32].to_owned()
}

//! Parses idempotency keys and derives the names of claims from them.

use http::{HeaderMap, HeaderName};

use crate::error::{Code, Refusal};

/// Request header with the idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const KEY_MAX_BYTES: usize = 255;

/// Digest of a request's method, target and body.
pub type Fingerprint = String;

/// Scope of a key; equal keys in different scopes are independent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeyScope {
    /// Requests of one customer.
    Customer(String),
    /// Unauthenticated requests on open routes.
    Open,
}

/// Idempotency key of a request, with its scope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    scope: KeyScope,
    text: String,
}

impl IdempotencyKey {
    /// Returns the key from a request's headers, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Code::HeaderInvalid`] if the header is empty, too long, not text or occurs twice.
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
                    "header idempotency-key: expected one value of 1 to {KEY_MAX_BYTES} bytes"
                );
                Err(Refusal::new(Code::HeaderInvalid, message))
            }
        }
    }

    /// Returns the name under which the claim on the key is stored.
    pub fn claim_name(&self) -> String {
        self.digest("claim", "")
    }

    /// Returns the key for an upstream that deduplicates requests by idempotency key.
    ///
    /// It depends on the scope and the request's fingerprint, so that the upstream never returns
    /// the response to another request.
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

/// Returns a digest of `parts`, each prefixed with its length so that distinct lists differ.
fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex()[..32].to_owned()
}

//! Fingerprints by which copies of a request are recognised.

use std::hash::Hasher;

use http::Method;
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::prompt::{Prompt, PromptPart};

/// Hash that identifies copies of a request.
pub type Fingerprint = u64;

/// Content of a request that copies of it share; their identifiers, deadlines and connections
/// differ.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a Method,
    /// Host that the request is for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Customer whose key the request carries; `None` if it needs no key.
    pub customer: Option<&'a str>,
    /// Prompt, if the request is for a model.
    pub prompt: Option<&'a Prompt>,
    /// Whole body, in segments.
    pub body: &'a [&'a [u8]],
}

impl RequestContent<'_> {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Xxh3::new();
        let fields = [
            self.method.as_str(),
            self.host,
            self.target,
            self.customer.unwrap_or_default(),
        ];
        for field in fields {
            hasher.write(field.as_bytes());
            hasher.write_u8(0);
        }
        hasher.write_u8(u8::from(self.customer.is_some()));
        for part in self.parts_beside_body() {
            hasher.write(part.id.as_bytes());
            hasher.write_u8(0);
        }
        hasher.write_u8(0);
        for segment in self.body {
            hasher.write(segment);
        }
        hasher.finish()
    }

    /// Returns the parts that tell prompts apart which the body does not contain: it has fewer bytes
    /// than the prompt has tokens. The last part may be named anew for a copy.
    fn parts_beside_body(&self) -> &[PromptPart] {
        let body_bytes: usize = self.body.iter().map(|segment| segment.len()).sum();
        let prompt = self
            .prompt
            .filter(|prompt| prompt.prompt_tokens > body_bytes as u64);
        prompt.map_or(&[], Prompt::shared_parts)
    }
}

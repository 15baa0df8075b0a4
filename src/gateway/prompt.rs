//! Prompts as described by callers: sequences of parts that other prompts may share.

use std::hash::Hasher;

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::ids::{ModelId, Tokens};

/// Hash that identifies a prompt prefix, a sequence of leading parts, under one salt and model.
pub(super) type PrefixHash = u64;

/// Hash that identifies a part of prompts, whatever precedes it.
pub type PartHash = u64;

/// Maximum number of parts of one prompt that are tracked one by one; more do not fit the head of a
/// usual request.
const TRACKED_PARTS_MAX: usize = 512;

/// Part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of its text; equal for parts with equal text.
    pub id: String,
    /// Length in tokens.
    pub tokens: Tokens,
}

/// Prompt of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Model that processes the prompt.
    pub model: ModelId,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum length of the generated output.
    pub output_tokens_max: Tokens,
    /// Length of the output that the caller expects.
    pub output_tokens_hint: Option<Tokens>,
    /// Parts in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the tokens that the request costs in a customer's allowance.
    pub fn charged_tokens(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.output_tokens_max)
    }

    /// Returns the expected length of the output: the caller's hint, at most the maximum.
    pub fn expected_output_tokens(&self) -> Tokens {
        let hint = self.output_tokens_hint.unwrap_or(self.output_tokens_max);
        hint.min(self.output_tokens_max)
    }

    /// Returns the parts that other prompts may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared.min(TRACKED_PARTS_MAX)]
    }

    /// Returns the hash and the length in tokens of each prefix of parts, shortest first.
    pub fn prefixes(&self, salt: &str) -> Vec<(PrefixHash, Tokens)> {
        let mut hasher = Xxh3::new();
        hasher.write(salt.as_bytes());
        hasher.write_u8(0);
        hasher.write(self.model.as_bytes());
        let mut tokens = 0;
        let prefixes = self.parts.iter().map(|part| {
            hasher.write_u8(0);
            hasher.write(part.id.as_bytes());
            tokens += part.tokens;
            (hasher.digest(), tokens)
        });
        prefixes.collect()
    }
}

/// Returns the hash of a part's identifier.
pub fn hash_part(id: &str) -> PartHash {
    xxh3_64(id.as_bytes())
}

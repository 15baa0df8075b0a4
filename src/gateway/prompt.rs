//! Prompts as their caller describes them: parts that other prompts may share.

use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

use super::model::WeightNumber;
use crate::ids::{ModelId, Tokens};

/// Identity of a chain of parts under one salt and model.
pub(super) type PrefixHash = u64;

/// Part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of its text.
    pub id: String,
    /// Its length.
    pub tokens: Tokens,
}

/// Prompt of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Model that reads it.
    pub model: ModelId,
    /// Its length.
    pub prompt_tokens: Tokens,
    /// Most tokens that the answer may have.
    pub output_tokens_max: Tokens,
    /// Tokens that the caller expects the answer to have.
    pub output_tokens_hint: Option<Tokens>,
    /// Its parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns what the request counts for an allowance in tokens.
    pub fn charged_tokens(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.output_tokens_max)
    }

    /// Returns the tokens that the answer is expected to have.
    pub fn expected_output_tokens(&self) -> Tokens {
        let hint = self.output_tokens_hint.unwrap_or(self.output_tokens_max);
        hint.min(self.output_tokens_max)
    }

    /// Returns the identity and the summed length of each chain of leading parts.
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

/// Returns the text that keeps cached prompts of different weights, or of customers that share
/// nothing, apart.
pub(super) fn cache_salt(isolated_customer: Option<&str>, weights: WeightNumber) -> String {
    match isolated_customer {
        Some(customer) => format!("{weights}/{customer}"),
        None => weights.to_string(),
    }
}

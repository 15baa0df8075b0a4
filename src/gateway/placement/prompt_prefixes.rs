//! Prompt of a request with its prefixes.

use super::request::PlacementRequest;
use crate::gateway::prompt::{PrefixHash, Prompt};
use crate::ids::Tokens;

/// Prompt of a request with its prefixes.
pub(super) struct PromptPrefixes<'a> {
    pub(super) prompt: &'a Prompt,
    prefixes: Vec<(PrefixHash, Tokens)>,
}

impl<'a> PromptPrefixes<'a> {
    /// Returns the prompt of a request with its prefixes; `None` if it has no prompt.
    pub(super) fn new(request: &'a PlacementRequest) -> Option<Self> {
        let prompt = request.prompt.as_deref()?;
        let prefixes = prompt.prefixes(&request.cache_group.name());
        Some(Self { prompt, prefixes })
    }

    /// Returns the prefixes that other prompts may share: all but the whole prompt.
    pub(super) fn shared(&self) -> &[(PrefixHash, Tokens)] {
        &self.prefixes[..self.prefixes.len().saturating_sub(1)]
    }

    /// Returns the longest shared prefix, whose hash determines the preferred engine.
    pub(super) fn longest_shared_prefix(&self) -> Option<PrefixHash> {
        self.shared().last().map(|(prefix, _)| *prefix)
    }
}

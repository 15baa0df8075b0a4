//! Text that every engine gives for a prompt.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde_json::Value;

/// Answer to one prompt: each token depends on the prompt and its position alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    seed: u64,
}

impl Answer {
    /// Returns the answer to a prompt, given as [`prompt_text`] has it.
    pub fn new(prompt: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        prompt.hash(&mut hasher);
        Self {
            seed: hasher.finish(),
        }
    }

    /// Returns the token at a position.
    pub fn token(self, position: u64) -> String {
        let mixed = (self.seed ^ position.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
        format!(" {:04x}", (mixed >> 32) & 0xffff)
    }

    /// Returns the first tokens as one text.
    pub fn text(self, tokens: u64) -> String {
        (0..tokens).map(|position| self.token(position)).collect()
    }
}

/// Returns the prompt of a completion request's body, with chat messages one after the other.
pub fn prompt_text(body: &Value) -> Option<String> {
    if let Some(prompt) = body["prompt"].as_str() {
        return Some(prompt.to_owned());
    }
    let mut text = String::new();
    for message in body["messages"].as_array()? {
        text.push_str(message["role"].as_str()?);
        text.push_str(": ");
        text.push_str(&content_text(&message["content"]));
        text.push('\n');
    }
    Some(text)
}

/// Returns the tokens that a prompt is taken to have.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4)
}

fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts
            .iter()
            .filter_map(|part| part["text"].as_str())
            .collect(),
        _ => String::new(),
    }
}

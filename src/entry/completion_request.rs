//! Parses completion requests in the JSON format of common client libraries.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

use crate::document::Model;
use crate::error::{Code, Refusal};
use crate::ids::Tokens;
use crate::route::{BYTES_PER_TOKEN, Prefix, PrefixSeed};

/// Endpoint that accepts completion requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Endpoint {
    /// Returns the endpoint at a path, or `None` if the path is not a completion endpoint.
    pub(super) fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Text),
            _ => None,
        }
    }

    /// Returns the path, which is the same for callers and engines.
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct CompletionFields {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    max_tokens: Option<Tokens>,
    max_completion_tokens: Option<Tokens>,
    messages: Option<Vec<Value>>,
    prompt: Option<Value>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Parsed request for a completion.
#[derive(Debug, Clone)]
pub(super) struct CompletionRequest {
    pub(super) endpoint: Endpoint,
    pub(super) model: String,
    pub(super) is_streamed: bool,
    /// Whether the caller asked for a usage chunk at the end of the stream.
    pub(super) wants_usage: bool,
    /// Maximum of output tokens requested by the caller.
    pub(super) output_tokens_max: Option<Tokens>,
    /// Estimated from the length of the prompt text.
    pub(super) prompt_tokens: Tokens,
    pub(super) body: Bytes,
    pub(super) prompt: Prompt,
}

/// Prompt of a request: chat messages or a single text.
#[derive(Debug, Clone, Default)]
pub(super) struct Prompt {
    messages: Vec<Value>,
    text: Option<Value>,
}

impl CompletionRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BodyMalformed`] if the body is not valid JSON of the endpoint's format.
    pub(super) fn parse(endpoint: Endpoint, body: Bytes) -> Result<Self, Refusal> {
        let fields: CompletionFields = serde_json::from_slice(&body)
            .map_err(|error| Refusal::new(Code::BodyMalformed, format!("body: {error}")))?;
        let prompt_bytes = prompt_bytes(endpoint, &fields)?;
        Ok(Self {
            endpoint,
            model: fields.model,
            is_streamed: fields.stream,
            wants_usage: fields.stream && fields.stream_options.include_usage,
            output_tokens_max: fields.max_completion_tokens.or(fields.max_tokens),
            prompt_tokens: prompt_bytes.div_ceil(BYTES_PER_TOKEN) as Tokens,
            body,
            prompt: Prompt {
                messages: fields.messages.unwrap_or_default(),
                text: fields.prompt,
            },
        })
    }

    /// Returns the maximum cost of the request: prompt tokens plus maximum output tokens.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BodyMalformed`] if the caller requests more output tokens than the model
    /// allows, and [`Code::PromptTooLong`] if the total exceeds the model's context.
    pub(super) fn cost_max_tokens(&self, model: &Model) -> Result<Tokens, Refusal> {
        let output = self.output_tokens_max.unwrap_or(model.output_max_tokens);
        if output > model.output_max_tokens {
            let limit = model.output_max_tokens;
            let message = format!("max_tokens: {output} exceeds the model's limit of {limit}");
            return Err(Refusal::new(Code::BodyMalformed, message));
        }
        let total = self.prompt_tokens.saturating_add(output);
        if total > model.context_max_tokens {
            let limit = model.context_max_tokens;
            let message = format!("prompt and output: {total} tokens exceed the limit of {limit}");
            return Err(Refusal::new(Code::PromptTooLong, message));
        }
        Ok(total)
    }
}

impl Prompt {
    /// Returns the hashes of the prompt's prefixes, by which the router finds cached prefixes.
    pub(super) fn prefix(&self, seed: PrefixSeed<'_>) -> Prefix {
        let mut parts = Vec::new();
        for message in &self.messages {
            parts.push(message["role"].as_str().unwrap_or_default());
            parts.push(": ");
            push_text(&mut parts, &message["content"]);
            parts.push("\n");
        }
        if let Some(text) = &self.text {
            push_text(&mut parts, text);
        }
        Prefix::new(seed, parts)
    }
}

fn push_text<'a>(parts: &mut Vec<&'a str>, value: &'a Value) {
    match value {
        Value::String(text) => parts.push(text),
        Value::Array(values) => {
            parts.extend(values.iter().filter_map(|part| part["text"].as_str()))
        }
        _ => {}
    }
}

fn prompt_bytes(endpoint: Endpoint, fields: &CompletionFields) -> Result<usize, Refusal> {
    match (endpoint, &fields.messages, &fields.prompt) {
        (Endpoint::Chat, Some(messages), _) if !messages.is_empty() => Ok(messages
            .iter()
            .map(|message| text_bytes(&message["content"]))
            .sum()),
        (Endpoint::Text, _, Some(prompt)) if prompt.is_string() => Ok(text_bytes(prompt)),
        (Endpoint::Chat, ..) => Err(Refusal::new(
            Code::BodyMalformed,
            "messages: expected a non-empty list",
        )),
        (Endpoint::Text, ..) => Err(Refusal::new(
            Code::BodyMalformed,
            "prompt: expected a string",
        )),
    }
}

fn text_bytes(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Array(parts) => parts.iter().map(|part| text_bytes(&part["text"])).sum(),
        _ => 0,
    }
}

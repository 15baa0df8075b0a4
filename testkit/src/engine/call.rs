//! Completion request as the engine reads it.

use std::ops::Range;

use serde_json::Value;

use crate::answer::{prompt_text, prompt_tokens};
use crate::http::SeenRequest;

/// Answer length where the request names none.
const ANSWER_TOKENS: u64 = 16;

/// Completion request as understood by the engine.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) request_id: String,
    pub(crate) salt: String,
    pub(crate) expected_weight_version: Option<String>,
    pub(crate) batch: bool,
    pub(crate) prompt: String,
    pub(crate) model: String,
    pub(crate) is_chat: bool,
    pub(crate) is_streamed: bool,
    pub(crate) tokens: Range<u64>,
}

impl Call {
    pub(crate) fn parse(request: &SeenRequest) -> Option<Self> {
        let body: Value = request.json()?;
        let header = |name| request.header(name).map(str::to_owned);
        let resume = header("x-resume-position").and_then(|text| text.parse().ok());
        let tokens_max = body["max_completion_tokens"].as_u64();
        let tokens_max = tokens_max.or_else(|| body["max_tokens"].as_u64());
        Some(Self {
            request_id: header("x-request-id").unwrap_or_default(),
            salt: header("x-cache-salt").unwrap_or_default(),
            expected_weight_version: header("x-expected-weight-version"),
            batch: request.header("x-priority") == Some("batch"),
            prompt: prompt_text(&body)?,
            model: body["model"].as_str()?.to_owned(),
            is_chat: request.path.ends_with("/chat/completions"),
            is_streamed: body["stream"] == true,
            tokens: resume.unwrap_or(0)..tokens_max.unwrap_or(ANSWER_TOKENS),
        })
    }

    pub(crate) fn prompt_tokens(&self) -> u64 {
        prompt_tokens(&self.prompt)
    }

    /// Returns a made-up call to confuse this one with.
    pub(crate) fn other(&self) -> Self {
        Self {
            request_id: format!("not-{}", self.request_id),
            prompt: format!("not {}", self.prompt),
            ..self.clone()
        }
    }

    pub(crate) fn answer_id(&self) -> String {
        let kind = if self.is_chat { "chatcmpl" } else { "cmpl" };
        format!("{kind}-{}", self.request_id)
    }
}

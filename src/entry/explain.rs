//! Explains the choice of an engine in a response header, for requests that ask for it.

use std::sync::{Arc, Mutex, PoisonError};

use http::{HeaderMap, HeaderValue};

use super::headers::{EXPLAIN_REQUEST, ROUTING_EXPLANATION};
use crate::route::Choice;

/// Explanation of the last choice of an engine; stores nothing if the request did not ask for it.
#[derive(Debug, Clone)]
pub(super) struct RoutingExplanation {
    text: Option<Arc<Mutex<Option<HeaderValue>>>>,
}

impl RoutingExplanation {
    /// Creates an empty explanation, enabled if the request has `x-celerylever-explain: 1`.
    pub(super) fn from_headers(headers: &HeaderMap) -> Self {
        let is_wanted = headers
            .get(EXPLAIN_REQUEST)
            .is_some_and(|value| value == "1");
        Self {
            text: is_wanted.then(Arc::default),
        }
    }

    /// Replaces the explanation by that of `choice`.
    pub(super) fn set(&self, choice: &Choice) {
        let Some(text) = &self.text else {
            return;
        };
        let value = format!(
            "upstream={}; reason={}; held_pieces={}; missed_tokens={}; backlog_ms={}",
            choice.upstream,
            choice.reason.label(),
            choice.held_pieces,
            choice.missed_tokens,
            choice.backlog.as_millis(),
        );
        *text.lock().unwrap_or_else(PoisonError::into_inner) = HeaderValue::from_str(&value).ok();
    }

    /// Moves the explanation into the headers of a response.
    pub(super) fn insert_into(&self, headers: &mut HeaderMap) {
        let Some(text) = &self.text else {
            return;
        };
        let value = text.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(value) = value {
            headers.insert(ROUTING_EXPLANATION, value);
        }
    }
}

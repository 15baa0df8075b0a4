//! Why a request went to its engine, told to operators who ask.

use std::sync::{Arc, Mutex, PoisonError};

use http::{HeaderMap, HeaderValue};

use super::headers::{EXPLAIN_REQUEST, ROUTING_EXPLANATION};
use crate::route::Choice;

/// Place for the explanation of the last choice; none where nobody asked.
#[derive(Debug, Clone)]
pub(super) struct RoutingExplanation {
    text: Option<Arc<Mutex<Option<HeaderValue>>>>,
}

impl RoutingExplanation {
    /// Creates a place if a request's headers ask for an explanation.
    pub(super) fn from_headers(headers: &HeaderMap) -> Self {
        let is_wanted = headers
            .get(EXPLAIN_REQUEST)
            .is_some_and(|value| value == "1");
        Self {
            text: is_wanted.then(Arc::default),
        }
    }

    /// Sets the explanation.
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

    /// Adds the explanation to an answer's headers.
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

//! Parses an engine's event stream incrementally and checks the token positions.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::ids::Tokens;

/// Maximum size of one event.
const EVENT_MAX_BYTES: usize = 1_048_576;
pub(super) const EVENT_DELIMITER: &[u8] = b"\n\n";
const DONE_DATA: &[u8] = b"[DONE]";

/// Fault in an engine's event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum EventStreamError {
    /// A token position is missing.
    #[error("event stream: expected position {expected}, found {found}")]
    Gap {
        /// Position that was expected next.
        expected: Tokens,
        /// Position of the received event.
        found: Tokens,
    },
    /// An event lacks its position or data, or has an unexpected field.
    #[error("event stream: an event does not have the documented format")]
    Malformed,
    /// An event is larger than the limit.
    #[error("event stream: an event is larger than {EVENT_MAX_BYTES} bytes")]
    TooLarge,
}

/// Events that became complete and may be forwarded to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ParsedEvents {
    /// Complete events in order, each position once.
    pub events: Bytes,
    /// Number of tokens in the events.
    pub tokens: Tokens,
    /// Whether the last event ends the stream.
    pub is_done: bool,
    /// Fault found after the events.
    pub error: Option<EventStreamError>,
}

/// Incremental parser of the event stream of one attempt.
#[derive(Debug)]
pub struct EventParser {
    buffer: BytesMut,
    next_position: Tokens,
}

enum EventKind {
    Token(Tokens),
    Done,
    Comment,
    Malformed,
}

impl EventParser {
    /// Creates a parser of a stream that must start at or before `next_position`.
    pub fn new(next_position: Tokens) -> Self {
        Self {
            buffer: BytesMut::new(),
            next_position,
        }
    }

    /// Returns the next expected position.
    pub fn next_position(&self) -> Tokens {
        self.next_position
    }

    /// Appends received bytes and returns the events that they complete.
    ///
    /// Events at positions before the expected one are skipped; a missing position is an error.
    pub fn push(&mut self, data: &[u8]) -> ParsedEvents {
        let searched_bytes = self.buffer.len().saturating_sub(EVENT_DELIMITER.len() - 1);
        self.buffer.extend_from_slice(data);
        let mut parsed = ParsedEvents::default();
        let mut events = BytesMut::new();
        let mut search_start = searched_bytes;
        while let Some(found) = memchr::memmem::find(&self.buffer[search_start..], EVENT_DELIMITER)
        {
            let event = self
                .buffer
                .split_to(search_start + found + EVENT_DELIMITER.len());
            search_start = 0;
            match classify_event(&event) {
                EventKind::Comment => continue,
                EventKind::Token(position) if position < self.next_position => continue,
                EventKind::Token(position) if position == self.next_position => {
                    self.next_position += 1;
                    parsed.tokens += 1;
                }
                EventKind::Token(found) => {
                    let expected = self.next_position;
                    parsed.error = Some(EventStreamError::Gap { expected, found });
                    break;
                }
                EventKind::Malformed => {
                    parsed.error = Some(EventStreamError::Malformed);
                    break;
                }
                EventKind::Done => parsed.is_done = true,
            }
            append_event(&mut events, event);
            if parsed.is_done {
                break;
            }
        }
        if parsed.error.is_none() && self.buffer.len() > EVENT_MAX_BYTES {
            parsed.error = Some(EventStreamError::TooLarge);
        }
        parsed.events = events.freeze();
        parsed
    }
}

/// Returns whether `data` is a usage chunk without choices.
fn is_usage_chunk(data: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Usage {
        choices: Vec<IgnoredAny>,
        #[serde(rename = "usage")]
        _usage: IgnoredAny,
    }
    serde_json::from_slice::<Usage>(data).is_ok_and(|usage| usage.choices.is_empty())
}

/// Appends an event, without copying if both parts are adjacent in memory.
fn append_event(events: &mut BytesMut, event: BytesMut) {
    match events.is_empty() {
        true => *events = event,
        false => events.unsplit(event),
    }
}

fn classify_event(event: &[u8]) -> EventKind {
    let mut position = None;
    let mut data = None;
    for line in event.split(|byte| *byte == b'\n') {
        match split_field(line) {
            (b"id", value) if position.is_none() => position = Some(value),
            (b"data", value) => data = Some(data.map_or(value, |_: &[u8]| &[][..])),
            (b"id" | b"event", _) => return EventKind::Malformed,
            _ => {}
        }
    }
    match (position, data) {
        (_, Some(DONE_DATA)) => EventKind::Done,
        (Some(position), Some(_)) => parse_position(position),
        (None, None) => EventKind::Comment,
        // The entry sends its own usage chunk, which covers all engines that served the stream.
        (None, Some(data)) if is_usage_chunk(data) => EventKind::Comment,
        (Some(_), None) | (None, Some(_)) => EventKind::Malformed,
    }
}

/// Splits a line into the name and value of its field; a comment has an empty name.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = memchr::memchr(b':', line) else {
        return (line, &[]);
    };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_position(text: &[u8]) -> EventKind {
    std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok())
        .map_or(EventKind::Malformed, EventKind::Token)
}

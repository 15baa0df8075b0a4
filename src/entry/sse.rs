//! Incremental parser of an engine's event stream that checks positions.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::ids::Tokens;

/// Largest single event, in bytes.
const EVENT_MAX_BYTES: usize = 1_048_576;
pub(super) const EVENT_DELIMITER: &[u8] = b"\n\n";
const DONE_DATA: &[u8] = b"[DONE]";

/// Stream that is not complete and in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum EventStreamError {
    /// A position is missing.
    #[error("position {found} came where {expected} was expected")]
    Gap {
        /// Position that should have come.
        expected: Tokens,
        /// Position that came.
        found: Tokens,
    },
    /// An event carries no position, no token, or something else.
    #[error("an event is not of the published shape")]
    Malformed,
    /// An event is larger than the limit.
    #[error("an event is larger than {EVENT_MAX_BYTES} bytes")]
    TooLarge,
}

/// What the bytes read so far allow to pass on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ParsedEvents {
    /// Whole events in order, each position once.
    pub events: Bytes,
    /// Tokens in them.
    pub tokens: Tokens,
    /// Whether the last of them ends the stream.
    pub is_done: bool,
    /// What was wrong with the event after them.
    pub error: Option<EventStreamError>,
}

/// Parser of one attempt's stream.
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
    /// Creates a parser that expects a stream from `next_position` on.
    pub fn new(next_position: Tokens) -> Self {
        Self {
            buffer: BytesMut::new(),
            next_position,
        }
    }

    /// Returns the position expected next.
    pub fn next_position(&self) -> Tokens {
        self.next_position
    }

    /// Takes in bytes and returns the events that they complete.
    ///
    /// A position that was passed on before is left out; one that is missing is an error.
    pub fn push(&mut self, data: &[u8]) -> ParsedEvents {
        let searched = self.buffer.len().saturating_sub(EVENT_DELIMITER.len() - 1);
        self.buffer.extend_from_slice(data);
        let mut parsed = ParsedEvents::default();
        let mut out = BytesMut::new();
        let mut from = searched;
        while let Some(found) = memchr::memmem::find(&self.buffer[from..], EVENT_DELIMITER) {
            let event = self.buffer.split_to(from + found + EVENT_DELIMITER.len());
            from = 0;
            match classify(&event) {
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
            append_event(&mut out, event);
            if parsed.is_done {
                break;
            }
        }
        if parsed.error.is_none() && self.buffer.len() > EVENT_MAX_BYTES {
            parsed.error = Some(EventStreamError::TooLarge);
        }
        parsed.events = out.freeze();
        parsed
    }
}

/// Returns whether data tells the tokens used and nothing else.
fn is_usage_chunk(data: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Usage {
        choices: Vec<IgnoredAny>,
        #[serde(rename = "usage")]
        _usage: IgnoredAny,
    }
    serde_json::from_slice::<Usage>(data).is_ok_and(|usage| usage.choices.is_empty())
}

/// Appends without copying where the two parts lie side by side.
fn append_event(out: &mut BytesMut, event: BytesMut) {
    match out.is_empty() {
        true => *out = event,
        false => out.unsplit(event),
    }
}

fn classify(event: &[u8]) -> EventKind {
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
        // The entry tells the usage itself, over all engines that worked on the stream.
        (None, Some(data)) if is_usage_chunk(data) => EventKind::Comment,
        (Some(_), None) | (None, Some(_)) => EventKind::Malformed,
    }
}

/// Splits a line into the name and the value of its field; a comment has an empty name.
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

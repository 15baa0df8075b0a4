//! Splits a stream into whole events, so that only whole ones are passed on.

use bytes::{Bytes, BytesMut};

/// Bytes that one event may have.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Why a stream cannot be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SplitError {
    /// An event is larger than the bound.
    #[error("an event is too large")]
    TooLarge,
}

/// Splitter of one answer.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    scanned: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that drops events up to an id, which the caller has.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether part of an event has arrived.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes bytes and returns the whole events that have arrived by now.
    ///
    /// # Errors
    ///
    /// Returns an error once an event passes the bound on its size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, SplitError> {
        self.pending.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.next_end() {
            let event = self.pending.split_to(end);
            self.scanned = 0;
            if self.takes(&event) {
                whole.extend_from_slice(&event);
            }
        }
        match self.pending.len() > EVENT_MAX_BYTES {
            true => Err(SplitError::TooLarge),
            false => Ok(whole.freeze()),
        }
    }

    /// Returns where the first event ends: after an empty line.
    fn next_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        for index in memchr::memchr_iter(b'\n', &self.pending[start..]) {
            let after = start + index + 1;
            let rest = &self.pending[after..];
            if rest.first() == Some(&b'\n') {
                return Some(after + 1);
            }
            if rest.starts_with(b"\r\n") {
                return Some(after + 2);
            }
        }
        self.scanned = self.pending.len();
        None
    }

    /// Returns whether an event is new, and notes its id.
    fn takes(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            return true;
        };
        let is_new = self.last_id.is_none_or(|last| id > last);
        if is_new {
            self.last_id = Some(id);
        }
        is_new
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

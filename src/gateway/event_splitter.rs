//! Splitting of an event stream into complete events, so that no partial event is forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event.
const EVENT_MAX_BYTES: usize = 1024 * 1024;
/// Maximum size of the comments and empty lines between two events, which are kept until the first
/// event.
const FILLER_MAX_BYTES: usize = 64 * 1024;

/// Reason why a stream cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SplitError {
    /// An event, or what precedes it, exceeds the maximum size.
    #[error("an event exceeds the size limit")]
    TooLarge,
    /// An event has no id although events of this stream have, so it is not known to be one of them.
    #[error("an event has no id in a stream whose events have")]
    NoId,
}

/// Complete events of one read, which have not been forwarded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SplitEvents {
    /// Events, with the comments and empty lines between them.
    pub bytes: Bytes,
    /// Id of the last of them that has one: once they have been forwarded, the stream can go on
    /// after it.
    pub last_id: Option<u64>,
    /// Whether the read completed an event; comments and empty lines, which an engine may send
    /// while it makes no progress, are none.
    pub has_event: bool,
}

impl SplitEvents {
    /// Appends later events.
    pub fn append(&mut self, later: Self) {
        self.bytes = match self.bytes.is_empty() {
            true => later.bytes,
            false => [&*self.bytes, &*later.bytes].concat().into(),
        };
        self.last_id = later.last_id.or(self.last_id);
        self.has_event |= later.has_event;
    }
}

/// Splitter of the stream of one response.
///
/// Its own position is that of the last read: where the stream goes on after a failure follows from
/// the [`SplitEvents`] that have been forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    scanned: usize,
    last_id: Option<u64>,
    /// Whether each event must have an id.
    requires_ids: bool,
    /// Bytes of comments and empty lines since the last event.
    filler_bytes: usize,
}

impl EventSplitter {
    /// Creates a splitter that drops the events up to `last_id`, which the caller has received.
    ///
    /// Events without an id are rejected once an event had one, and from the first one in a stream
    /// that may be resumed: it could not go on after them.
    pub fn new(last_id: Option<u64>, is_resumable: bool) -> Self {
        Self {
            last_id,
            requires_ids: is_resumable || last_id.is_some(),
            ..Self::default()
        }
    }

    /// Returns the number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Appends bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// The events that precede the error in these bytes are dropped with it. Returns
    /// [`SplitError::TooLarge`] if an incomplete event exceeds the maximum size, and
    /// [`SplitError::NoId`] if an event lacks an id that it must have.
    pub fn push(&mut self, bytes: &[u8]) -> Result<SplitEvents, SplitError> {
        self.pending.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        let mut events = SplitEvents::default();
        while let Some(end) = self.next_event_end() {
            let event = self.pending.split_to(end);
            self.scanned = 0;
            match is_filler(&event) {
                false if self.requires_ids && event_id(&event).is_none() => {
                    return Err(SplitError::NoId);
                }
                true => self.filler_bytes += event.len(),
                false => {
                    self.filler_bytes = 0;
                    events.has_event = true;
                }
            }
            let id = event_id(&event);
            if self.accept(id) {
                complete.extend_from_slice(&event);
                events.last_id = id.or(events.last_id);
            }
        }
        events.bytes = complete.freeze();
        let is_too_large =
            self.pending.len() > EVENT_MAX_BYTES || self.filler_bytes > FILLER_MAX_BYTES;
        match is_too_large {
            true => Err(SplitError::TooLarge),
            false => Ok(events),
        }
    }

    /// Returns the end of the first buffered event, which is after an empty line.
    fn next_event_end(&mut self) -> Option<usize> {
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

    /// Returns whether an event with this id is new, and records the id.
    fn accept(&mut self, id: Option<u64>) -> bool {
        let Some(id) = id else {
            return true;
        };
        let is_new = self.last_id.is_none_or(|last| id > last);
        self.requires_ids = true;
        if is_new {
            self.last_id = Some(id);
        }
        is_new
    }
}

/// Returns whether an event has no field: it consists of comments and empty lines.
fn is_filler(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

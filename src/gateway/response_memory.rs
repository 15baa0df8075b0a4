//! Bound on the memory that partly received responses of upstreams take together.
//!
//! Load pattern: hundreds of responses that do not end. Each would fit the bound of a single one,
//! but all of them together exceed the memory of a VM. Small responses are always received.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that all large responses may take together.
const LARGE_RESPONSES_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which a response is not large.
const SMALL_RESPONSE_MAX_BYTES: usize = 16 * 1024;

/// Memory that large responses take.
#[derive(Debug, Default)]
pub struct ResponseMemory {
    held_bytes: AtomicUsize,
}

/// The memory of large responses is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the memory for large responses is used up")]
pub struct ResponseMemoryExhausted;

/// Memory that one response takes, given back on drop.
#[derive(Debug)]
pub struct ResponseShare {
    memory: Arc<ResponseMemory>,
    held_bytes: usize,
}

impl ResponseShare {
    /// Creates the share of a response of which nothing has been received.
    pub fn new(memory: Arc<ResponseMemory>) -> Self {
        Self {
            memory,
            held_bytes: 0,
        }
    }

    /// Records the size of the response so far.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseMemoryExhausted`] if the response is large and large ones would take too
    /// much memory together.
    pub fn resize(&mut self, bytes: usize) -> Result<(), ResponseMemoryExhausted> {
        let bytes = match bytes <= SMALL_RESPONSE_MAX_BYTES {
            true => 0,
            false => bytes,
        };
        let held = &self.memory.held_bytes;
        if bytes <= self.held_bytes {
            held.fetch_sub(self.held_bytes - bytes, Ordering::Relaxed);
            self.held_bytes = bytes;
            return Ok(());
        }
        let more = bytes - self.held_bytes;
        if held.fetch_add(more, Ordering::Relaxed) + more > LARGE_RESPONSES_MAX_BYTES {
            held.fetch_sub(more, Ordering::Relaxed);
            return Err(ResponseMemoryExhausted);
        }
        self.held_bytes = bytes;
        Ok(())
    }
}

impl Drop for ResponseShare {
    fn drop(&mut self) {
        self.memory
            .held_bytes
            .fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}

/// Body of a response together with its share of the memory.
#[derive(Debug)]
pub(super) struct HeldBody {
    pub(super) bytes: bytes::BytesMut,
    pub(super) share: ResponseShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

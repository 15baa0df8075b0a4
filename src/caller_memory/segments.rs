//! Bytes in segments that are filled one after the other.

use bytes::Bytes;

/// Sizes of the first segments; small bodies take little more than their size.
const FIRST_SEGMENTS_BYTES: [usize; 3] = [4 * 1024, 12 * 1024, 48 * 1024];
/// Size of the other segments. It is below the size from which the allocator maps memory anew for
/// each block, so that freed segments serve the next body.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Bytes in segments, the last of which is being filled.
#[derive(Debug, Default)]
pub(super) struct Segments {
    full: Vec<Bytes>,
    current: Vec<u8>,
    len: usize,
}

impl Segments {
    /// Returns the number of bytes.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the size that the next segment would have, of a body with the given announced length.
    pub(super) fn next_segment_bytes(&self, announced_bytes: Option<usize>) -> usize {
        match FIRST_SEGMENTS_BYTES.get(self.full.len()) {
            Some(&first) if self.full.is_empty() => announced_bytes
                .filter(|&bytes| bytes > 0)
                .map_or(first, |bytes| bytes.min(first)),
            Some(&size) => size,
            None => SEGMENT_BYTES,
        }
    }

    /// Returns the room in the current segment.
    pub(super) fn room(&self) -> usize {
        self.current.capacity() - self.current.len()
    }

    /// Begins a new segment; the current one must be full.
    pub(super) fn begin_segment(&mut self, bytes: usize) {
        self.close_segment();
        self.current = Vec::with_capacity(bytes);
    }

    /// Appends bytes that fit the room.
    pub(super) fn append(&mut self, data: &[u8]) {
        self.current.extend_from_slice(data);
        self.len += data.len();
    }

    /// Returns all segments.
    pub(super) fn into_vec(mut self) -> Vec<Bytes> {
        self.close_segment();
        self.full
    }

    fn close_segment(&mut self) {
        if self.current.capacity() > 0 {
            self.full.push(std::mem::take(&mut self.current).into());
        }
    }
}

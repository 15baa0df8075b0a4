//! Bodies that are sent from held memory.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use super::ledger::MemoryExhausted;
use super::memory::{Reservation, Store};

/// Complete request body, which is not evicted; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct HeldBytes {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    segments: Vec<Bytes>,
    reservation: Reservation,
}

/// Bytes that keep their place in the budget until the last handle to them is dropped.
struct Reserved {
    bytes: Bytes,
    _reservation: Arc<Reservation>,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    pub(super) fn new(segments: Vec<Bytes>, reservation: Reservation) -> Self {
        let inner = Inner {
            segments,
            reservation,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the segments in order.
    pub(crate) fn segments(&self) -> Vec<&[u8]> {
        self.inner.segments.iter().map(Bytes::as_ref).collect()
    }

    fn len(&self) -> usize {
        self.inner.segments.iter().map(Bytes::len).sum()
    }

    /// Returns the bytes in one piece, which is copied if there are several segments.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if there is no room for the copy.
    pub(crate) fn into_contiguous(self) -> Result<Bytes, MemoryExhausted> {
        let len = self.len();
        let inner = match Arc::try_unwrap(self.inner) {
            Ok(inner) => inner,
            Err(_) => return Err(MemoryExhausted),
        };
        let Inner {
            segments,
            reservation,
        } = inner;
        let bytes = match <[Bytes; 1]>::try_from(segments) {
            Ok([only]) => only,
            Err(segments) => {
                reservation.resize(2 * len)?;
                let bytes = Bytes::from(segments.concat());
                drop(segments);
                reservation.resize(len)?;
                bytes
            }
        };
        Ok(Bytes::from_owner(Reserved {
            bytes,
            _reservation: Arc::new(reservation),
        }))
    }
}

/// Body of a request to an upstream or to another VM.
#[derive(Debug, Clone)]
pub(crate) enum OutgoingBody {
    /// Bytes in one piece.
    Whole(Full<Bytes>),
    /// Bytes in segments, of which the first have been sent.
    Held {
        /// The segments.
        bytes: HeldBytes,
        /// Number of segments that were sent.
        sent_segments: usize,
    },
}

impl From<Full<Bytes>> for OutgoingBody {
    fn from(body: Full<Bytes>) -> Self {
        Self::Whole(body)
    }
}

impl From<HeldBytes> for OutgoingBody {
    fn from(bytes: HeldBytes) -> Self {
        Self::Held {
            bytes,
            sent_segments: 0,
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context),
            Self::Held {
                bytes,
                sent_segments,
            } => {
                let segment = bytes.inner.segments.get(*sent_segments).cloned();
                *sent_segments += 1;
                Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Held {
                bytes,
                sent_segments,
            } => *sent_segments >= bytes.inner.segments.len(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Held {
                bytes,
                sent_segments,
            } => {
                let segments = bytes.inner.segments.iter().skip(*sent_segments);
                SizeHint::with_exact(segments.map(|segment| segment.len() as u64).sum())
            }
        }
    }
}

/// Response that is sent to a caller from held memory.
///
/// Its memory counts as held until it is dropped and what it yielded was written. It may be evicted
/// until then: it ends with an error, and its connection is closed.
#[derive(Debug)]
pub(crate) struct SendingBody {
    store: Arc<Store>,
    reservation: Arc<Reservation>,
    unsent_bytes: usize,
}

/// Handle by which the connection of a [`SendingBody`] is closed when the body is evicted.
#[derive(Debug, Clone)]
pub(crate) struct SendingHandle {
    store: Arc<Store>,
}

impl SendingHandle {
    /// Calls `on_eviction` once if the body is evicted.
    pub(crate) fn set_on_eviction(&self, on_eviction: impl FnOnce() + Send + 'static) {
        self.store.set_on_eviction(on_eviction);
    }
}

impl SendingBody {
    pub(super) fn new(store: Arc<Store>, reservation: Reservation, len: usize) -> Self {
        Self {
            store,
            reservation: Arc::new(reservation),
            unsent_bytes: len,
        }
    }

    /// Returns the handle by which the connection is closed on eviction.
    pub(crate) fn handle(&self) -> SendingHandle {
        SendingHandle {
            store: self.store.clone(),
        }
    }
}

impl Body for SendingBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let this = self.get_mut();
        let segment = match this.store.next_segment() {
            Ok(segment) => segment,
            Err(error) => return Poll::Ready(Some(Err(std::io::Error::other(error)))),
        };
        let Some(segment) = segment else {
            return Poll::Ready(None);
        };
        this.unsent_bytes -= segment.len();
        this.reservation.record_progress();
        let reserved = Reserved {
            bytes: segment,
            _reservation: this.reservation.clone(),
        };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(reserved)))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent_bytes as u64)
    }
}

//! Connection to an upstream that bounds the bytes before the end of a response's head.
//!
//! Interim responses without end are consumed one by one by the HTTP client, which neither keeps
//! them nor lets other tasks run meanwhile.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes of a response's head, with the interim responses before it and the part
/// of the body that may be read along with it.
const HEAD_MAX_BYTES: usize = 512 * 1024;

/// Bytes read on a connection while it waits for the head of a response.
#[derive(Debug, Default)]
pub(super) struct HeadLimit {
    is_waiting: AtomicBool,
    read_bytes: AtomicUsize,
}

impl HeadLimit {
    /// Starts to count: a request is about to be sent.
    pub(super) fn start(&self) {
        self.read_bytes.store(0, Ordering::Relaxed);
        self.is_waiting.store(true, Ordering::Release);
    }

    /// Stops counting: the head has arrived.
    pub(super) fn stop(&self) {
        self.is_waiting.store(false, Ordering::Release);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        if !self.is_waiting.load(Ordering::Acquire) {
            return Ok(());
        }
        let read_bytes = self.read_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        match read_bytes > HEAD_MAX_BYTES {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the response exceeds the size limit",
            )),
            false => Ok(()),
        }
    }
}

/// Stream whose reads count for a [`HeadLimit`].
#[derive(Debug)]
pub(super) struct BoundedIo {
    stream: TcpStream,
    limit: Arc<HeadLimit>,
}

impl BoundedIo {
    pub(super) fn new(stream: TcpStream, limit: Arc<HeadLimit>) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for BoundedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        match read {
            Poll::Ready(Ok(())) => Poll::Ready(self.limit.add(bytes)),
            other => other,
        }
    }
}

impl AsyncWrite for BoundedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

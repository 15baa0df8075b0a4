//! TCP stream of a caller's connection that enforces the limits on request heads.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use http::StatusCode;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection_phase::ConnectionAction;
use super::connections::Connection;
use super::responses;
use crate::error::{Code, Refusal};
use crate::telemetry::Metrics;

/// Maximum size of a request head.
const HEAD_MAX_BYTES: usize = 32_768;
/// Maximum size of one read while no request is in flight.
const HEAD_READ_MAX_BYTES: usize = 8_192;
/// Maximum size of one read of a request body. The HTTP library's read buffer grows to twice this size
/// while reads fill it.
const BODY_READ_MAX_BYTES: usize = 16_384;
/// Prefix of the HTTP library's own responses to a malformed request head.
const ERROR_STATUS_PREFIX: &[u8] = b"HTTP/1.1 4";
/// Header that only those responses contain: no response of the entry itself has an empty body.
const EMPTY_BODY_HEADER: &[u8] = b"content-length: 0\r\n";

/// TCP stream of a caller's connection.
///
/// It closes the connection on a timeout, bounds the size of a request head, and replaces the HTTP
/// library's empty error responses by ones with a result code.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Connection,
    metrics: Metrics,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, connection: Connection, metrics: Metrics) -> Self {
        Self {
            stream,
            connection,
            metrics,
        }
    }

    /// Counts a refusal, and responds with it if no request arrived on the connection before.
    ///
    /// Bytes after an earlier request may be the rest of its body, which needs no response.
    fn refuse_before_first_request(&self, code: Code) {
        match self.connection.has_received_request() {
            true => self.metrics.record_refusal(code, None),
            false => self.refuse(code),
        }
    }

    fn refuse(&self, code: Code) {
        self.metrics.record_refusal(code, None);
        let _ = self
            .stream
            .try_write(&responses::raw_refusal(&Refusal::new(code, code.meaning())));
    }

    /// Returns whether `bytes` are the HTTP library's own response to a malformed request head.
    fn is_library_error(&self, bytes: &[u8]) -> bool {
        bytes.starts_with(ERROR_STATUS_PREFIX)
            && self.connection.is_receiving_head()
            && memchr::memmem::find(bytes, EMPTY_BODY_HEADER).is_some()
    }

    fn replace_library_error(&self, bytes: &[u8]) {
        self.refuse(match parse_status(bytes) {
            Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE | StatusCode::URI_TOO_LONG) => {
                Code::HeadTooLarge
            }
            _ => Code::HeadMalformed,
        });
    }

    /// Reads at most `max_bytes` and returns how many bytes were read.
    fn read_limited(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> (Poll<io::Result<()>>, usize) {
        let size = buffer.remaining().min(max_bytes);
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut limited);
        let filled_bytes = limited.filled().len();
        buffer.advance(filled_bytes);
        (read, filled_bytes)
    }

    fn read_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (read, filled_bytes) = self.read_limited(context, buffer, HEAD_READ_MAX_BYTES);
        if filled_bytes == 0 {
            return read;
        }
        match (read, self.connection.receive_bytes(filled_bytes)) {
            (Poll::Ready(Ok(())), Some(total_bytes)) if total_bytes > HEAD_MAX_BYTES => {
                self.refuse_before_first_request(Code::HeadTooLarge);
                Poll::Ready(Err(io::ErrorKind::InvalidData.into()))
            }
            (read, _) => read,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let action = this.connection.action(context);
        if this.connection.is_closing(context) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if this.connection.is_busy() {
            return this.read_limited(context, buffer, BODY_READ_MAX_BYTES).0;
        }
        let read = this.read_head(context, buffer);
        match action {
            ConnectionAction::HeadTimeout => {
                this.refuse_before_first_request(Code::HeadTimeout);
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            ConnectionAction::CloseIdle
                if read.is_pending() && !this.connection.is_write_blocked() =>
            {
                Poll::Ready(Ok(()))
            }
            ConnectionAction::CloseIdle | ConnectionAction::Keep => read,
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.connection.is_closing(context) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if this.is_library_error(bytes) {
            this.replace_library_error(bytes);
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.connection
            .set_write_blocked(is_partial_write(&written, bytes.len()));
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.connection.is_closing(context) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let total_bytes = slices.iter().map(|slice| slice.len()).sum();
        let first = slices.iter().find(|slice| !slice.is_empty());
        if let Some(first) = first.filter(|first| this.is_library_error(first)) {
            this.replace_library_error(first);
            return Poll::Ready(Ok(total_bytes));
        }
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.connection
            .set_write_blocked(is_partial_write(&written, total_bytes));
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

fn is_partial_write(written: &Poll<io::Result<usize>>, write_len: usize) -> bool {
    match written {
        Poll::Ready(Ok(written)) => *written < write_len,
        Poll::Ready(Err(_)) => false,
        Poll::Pending => true,
    }
}

fn parse_status(bytes: &[u8]) -> Option<StatusCode> {
    StatusCode::from_bytes(bytes.get(9..12)?).ok()
}

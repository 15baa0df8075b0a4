//! Body of an answer that waits for a slow caller and holds its request until it was sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use gotham::helpers::http::Body;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::connections::ConnectionRequestGuard;

struct BackpressureBody {
    body: Body,
    request: Option<ConnectionRequestGuard>,
}

/// Returns a body that ends `request` once it has ended or its reader has left.
///
/// It gives nothing more while earlier bytes wait for the caller to read, so that a slow caller
/// takes little memory.
pub(crate) fn apply_backpressure(body: Body, request: Option<ConnectionRequestGuard>) -> Body {
    BackpressureBody { body, request }.boxed_unsync()
}

impl HttpBody for BackpressureBody {
    type Data = <Body as HttpBody>::Data;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let request = self.request.as_ref();
        if request.is_some_and(|request| request.is_write_pending(context)) {
            return Poll::Pending;
        }
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! Response body that applies backpressure for slow callers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use gotham::helpers::http::Body;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::connections::ConnectionRequestGuard;

struct BackpressureBody {
    body: Body,
    request: Option<Arc<ConnectionRequestGuard>>,
}

/// Wraps a response body so that `request` counts as in flight until the body is dropped.
///
/// The body yields no data while a write to the caller is blocked, which bounds the memory that a
/// slow caller uses.
pub(crate) fn apply_backpressure(body: Body, request: Option<Arc<ConnectionRequestGuard>>) -> Body {
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

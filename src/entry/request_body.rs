//! Request body that tells its connection what it waits for.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use gotham::helpers::http::Body;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::connections::ConnectionRequestGuard;

struct TrackedBody {
    body: Body,
    request: Arc<ConnectionRequestGuard>,
}

/// Wraps a request body so that its connection counts as one with an unfinished body until it ends or
/// is dropped.
pub(crate) fn track_body(body: Body, request: Option<&Arc<ConnectionRequestGuard>>) -> Body {
    let Some(request) = request.filter(|_| !body.is_end_stream()) else {
        return body;
    };
    request.record_body_progress();
    let request = request.clone();
    TrackedBody { body, request }.boxed_unsync()
}

impl HttpBody for TrackedBody {
    type Data = <Body as HttpBody>::Data;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        match &frame {
            Poll::Ready(Some(Ok(_))) if !self.body.is_end_stream() => {
                self.request.record_body_progress();
            }
            Poll::Ready(_) => self.request.finish_body(),
            Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.request.finish_body();
    }
}

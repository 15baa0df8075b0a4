//! Body of another VM's response, returned as it arrives.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::clock::Instant;
use crate::entry::RequestGuard;
use crate::gateway::event_log::AbortStage;
use crate::gateway::pool::Connection;
use crate::gateway::state::Gateway;
use crate::gateway::upstream_registry::UpstreamInstance;
use crate::ids::RequestId;

/// Time after the deadline in which the helper's response may end.
const LATE_END_TIME: Duration = Duration::from_millis(300);

/// Response that another VM sends.
pub(super) struct RelayedBody {
    pub(super) gateway: Arc<Gateway>,
    pub(super) id: RequestId,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) helper: UpstreamInstance,
    pub(super) deadline: Instant,
    pub(super) request_guard: Arc<RequestGuard>,
}

impl RelayedBody {
    /// Returns the body for the caller; dropping it closes the connection to the helper.
    pub(super) fn into_body(self) -> Body {
        let frames = stream::unfold(Some(self), |relayed| async move {
            let mut relayed = relayed?;
            match relayed.next().await {
                Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relayed))),
                Ok(None) => {
                    relayed.return_connection();
                    None
                }
                Err(error) => Some((Err(error), None)),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next bytes, or `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the helper breaks off, the deadline passes or the shutdown ends the
    /// response, so that what the caller receives does not look complete.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let gateway = self.gateway.clone();
        let left = (self.deadline + LATE_END_TIME).saturating_sub(gateway.now());
        loop {
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout(left, self.body.frame()) => frame,
                () = gateway.drain.wait_for_abort() => {
                    gateway.record_abort(&self.id, AbortStage::Streaming);
                    return Err(io::Error::other("the VM is shutting down"));
                }
            };
            match frame {
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => return Err(io::Error::other(error)),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Ok(Some(data)),
                    Err(_) => continue,
                },
            }
        }
    }

    fn return_connection(self) {
        tokio::spawn(async move {
            let Self {
                gateway,
                connection,
                helper,
                request_guard,
                ..
            } = self;
            drop(request_guard);
            let pool = &gateway.pool;
            pool.return_connection(&helper, connection, None).await;
        });
    }
}

//! Tracks one run of a request on an engine and cancels it when its result is no longer needed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::Full;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use super::app::App;
use crate::document::Snapshot;
use crate::ids::{RequestId, UpstreamId};
use crate::route::InFlight;
use crate::upstream::ConnectionReuse;

/// Timeout of the call that cancels a run.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Run of a request on an engine, cancelled there when dropped before [`EngineRun::finish`].
#[derive(Debug)]
pub(super) struct EngineRun {
    app: Arc<App>,
    snapshot: Arc<Snapshot>,
    request_id: RequestId,
    in_flight: InFlight,
    is_unfinished: bool,
}

impl EngineRun {
    pub(super) fn new(
        app: Arc<App>,
        snapshot: Arc<Snapshot>,
        request_id: RequestId,
        in_flight: InFlight,
    ) -> Self {
        Self {
            app,
            snapshot,
            request_id,
            in_flight,
            is_unfinished: true,
        }
    }

    /// Returns the engine that runs the request.
    pub(super) fn upstream(&self) -> &UpstreamId {
        self.in_flight.upstream()
    }

    /// Returns the router's guard that counts the run at its engine.
    pub(super) fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Marks the run as ended, so that it is not cancelled.
    pub(super) fn finish(mut self) {
        self.is_unfinished = false;
    }

    /// Cancels the run and returns the task that sends the cancellation to the engine.
    pub(super) fn cancel(mut self) -> Option<JoinHandle<()>> {
        self.start_cancellation()
    }

    fn start_cancellation(&mut self) -> Option<JoinHandle<()>> {
        if !std::mem::take(&mut self.is_unfinished) {
            return None;
        }
        let request = self.build_cancellation_request()?;
        let client = self.app.client.clone();
        let runtime = Handle::try_current().ok()?;
        Some(runtime.spawn(async move {
            let _ = client
                .send(request, ConnectionReuse::Pooled, CANCEL_TIMEOUT)
                .await;
        }))
    }

    fn build_cancellation_request(&self) -> Option<Request<Full<Bytes>>> {
        let upstream = self.snapshot.upstream(self.in_flight.upstream())?;
        let uri = format!("http://{}/cancel/{}", upstream.address, self.request_id);
        let mut request = Request::post(uri);
        if let Some(credential) = &upstream.credential {
            request = request.header(AUTHORIZATION, format!("Bearer {credential}"));
        }
        request.body(Full::default()).ok()
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        let _ = self.start_cancellation();
    }
}

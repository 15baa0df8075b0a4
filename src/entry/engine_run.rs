//! One run of a request at an engine, cancelled there if nobody waits for it any longer.

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

/// Bound on the call that cancels a run.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Run of a request at an engine; dropping it before its end cancels it there.
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

    /// Returns the engine.
    pub(super) fn upstream(&self) -> &UpstreamId {
        self.in_flight.upstream()
    }

    /// Returns the place at the engine.
    pub(super) fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Notes that the run has ended.
    pub(super) fn finish(mut self) {
        self.is_unfinished = false;
    }

    /// Cancels the run and returns the task that tells the engine.
    pub(super) fn cancel(mut self) -> Option<JoinHandle<()>> {
        self.start_cancellation()
    }

    fn start_cancellation(&mut self) -> Option<JoinHandle<()>> {
        if !std::mem::take(&mut self.is_unfinished) {
            return None;
        }
        let request = self.cancellation_request()?;
        let client = self.app.client.clone();
        let runtime = Handle::try_current().ok()?;
        Some(runtime.spawn(async move {
            let _ = client
                .send(request, ConnectionReuse::Pooled, CANCEL_TIMEOUT)
                .await;
        }))
    }

    fn cancellation_request(&self) -> Option<Request<Full<Bytes>>> {
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

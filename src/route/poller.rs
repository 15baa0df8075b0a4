//! Background tasks that poll engines for their load and probe those that failed.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;

use super::{EngineFailure, LoadReport, PollTarget, Router};
use crate::ids::{Incarnation, WeightVersion};
use crate::platform::{StoreClient, VmState};
use crate::upstream::{ConnectionReuse, SendError, UpstreamClient};

/// Limit on the traffic of all polls together, in bytes per second and both directions.
const POLL_BYTES_PER_S: u64 = 8_000;
/// Assumed size of one poll with its response, headers included.
const BYTES_PER_POLL: u64 = 600;
/// Shortest time between two polls of one engine.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Time limit on the response head of a poll, and on its body.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two reads of the platform's list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Largest accepted load report.
const REPORT_MAX_BYTES: usize = 4_096;

/// Load report as sent by an engine.
#[derive(Debug)]
#[derive(Deserialize)]
struct Report {
    incarnation: Incarnation,
    weight_version: WeightVersion,
    running: usize,
    queued: usize,
    age_ms: u64,
}

/// Polls engines within the byte budget until dropped.
pub async fn poll_engines(router: Router, client: UpstreamClient) {
    let step = Duration::from_millis(1_000 * BYTES_PER_POLL / POLL_BYTES_PER_S);
    let mut interval = tokio::time::interval(step);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Some(target) = router.next_poll(POLL_INTERVAL_MIN) {
            tokio::spawn(poll_engine(router.clone(), client.clone(), target));
        }
    }
}

/// Applies the leaving VMs of the platform's list, periodically until dropped.
pub async fn sync_leaving_upstreams(router: Router, store: StoreClient) {
    loop {
        if let Ok(listed) = store.list_vms().await {
            let leaving = listed.into_iter().filter(|vm| vm.state == VmState::Leaving);
            router.set_leaving(leaving.map(|vm| vm.address));
        }
        tokio::time::sleep(VM_LIST_INTERVAL).await;
    }
}

/// Polls one engine.
///
/// If it does not respond over a pooled connection, polls again over a new one, to tell a broken
/// connection from an engine that is down.
async fn poll_engine(router: Router, client: UpstreamClient, target: PollTarget) {
    let reuses: &[ConnectionReuse] = match target.is_probe {
        true => &[ConnectionReuse::Fresh],
        false => &[ConnectionReuse::Pooled, ConnectionReuse::Fresh],
    };
    let mut failure = EngineFailure::NoResponse;
    for reuse in reuses {
        let requested_at = router.now();
        match fetch_report(&client, &target, *reuse).await {
            Ok(report) => {
                let is_new_connection = *reuse == ConnectionReuse::Fresh;
                return router.apply_report(
                    target.engine,
                    &report,
                    requested_at,
                    is_new_connection,
                );
            }
            Err(found) => failure = found,
        }
    }
    router.record_poll_failure(target.engine, failure);
}

async fn fetch_report(
    client: &UpstreamClient,
    target: &PollTarget,
    reuse: ConnectionReuse,
) -> Result<LoadReport, EngineFailure> {
    let mut request = Request::get(format!("http://{}/load", target.address));
    if let Some(credential) = &target.credential {
        request = request.header(AUTHORIZATION, format!("Bearer {credential}"));
    }
    let request = request
        .body(Full::<Bytes>::default())
        .map_err(|_| EngineFailure::NoResponse)?;
    let upstream_response = client
        .send(request, reuse, POLL_TIMEOUT)
        .await
        .map_err(failure_of)?;
    let body = Limited::new(upstream_response.response.into_body(), REPORT_MAX_BYTES).collect();
    let body = match tokio::time::timeout(POLL_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) | Err(_) => return Err(EngineFailure::NoResponse),
    };
    let report: Report = serde_json::from_slice(&body).map_err(|_| EngineFailure::NoResponse)?;
    Ok(LoadReport {
        incarnation: report.incarnation,
        weight_version: report.weight_version,
        running: report.running,
        queued: report.queued,
        age: Duration::from_millis(report.age_ms),
    })
}

fn failure_of(error: SendError) -> EngineFailure {
    match error {
        SendError::Connect => EngineFailure::Connect,
        SendError::Broken | SendError::Timeout => EngineFailure::NoResponse,
    }
}

//! Polls engines for their load and probes those that failed.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;

use super::{EngineFailure, LoadReport, Poll, Router};
use crate::ids::{Incarnation, WeightVersion};
use crate::platform::{StoreClient, VmState};
use crate::upstream::{ConnectionReuse, SendError, UpstreamClient};

/// Bytes that all polls together may take a second, both ways.
const POLL_BYTES_PER_S: u64 = 8_000;
/// Bytes of one poll with its answer, headers included.
const POLL_BYTES: u64 = 600;
/// Least time between two polls of one engine.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Bound on one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two reads of the platform's list.
const LISTING_INTERVAL: Duration = Duration::from_secs(10);
/// Largest report.
const REPORT_MAX_BYTES: usize = 4_096;

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
    let step = Duration::from_millis(1_000 * POLL_BYTES / POLL_BYTES_PER_S);
    let mut ticks = tokio::time::interval(step);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(poll) = router.next_poll(POLL_INTERVAL_MIN) {
            tokio::spawn(poll_engine(router.clone(), client.clone(), poll));
        }
    }
}

/// Follows the platform's list of VMs for upstreams that leave, until dropped.
pub async fn follow_leaving(router: Router, store: StoreClient) {
    loop {
        if let Ok(listed) = store.vms().await {
            let leaving = listed.into_iter().filter(|vm| vm.state == VmState::Leaving);
            router.set_leaving(leaving.map(|vm| vm.address));
        }
        tokio::time::sleep(LISTING_INTERVAL).await;
    }
}

/// Polls one engine; a silent connection is told from a silent engine by a new one.
async fn poll_engine(router: Router, client: UpstreamClient, poll: Poll) {
    let reuses: &[ConnectionReuse] = match poll.is_probe {
        true => &[ConnectionReuse::Fresh],
        false => &[ConnectionReuse::Pooled, ConnectionReuse::Fresh],
    };
    let mut failure = EngineFailure::Silent;
    for reuse in reuses {
        let asked_at = router.now();
        match ask(&client, &poll, *reuse).await {
            Ok(report) => {
                let is_new_connection = *reuse == ConnectionReuse::Fresh;
                return router.reported(poll.engine, &report, asked_at, is_new_connection);
            }
            Err(found) => failure = found,
        }
    }
    router.poll_failed(poll.engine, failure);
}

async fn ask(
    client: &UpstreamClient,
    poll: &Poll,
    reuse: ConnectionReuse,
) -> Result<LoadReport, EngineFailure> {
    let mut request = Request::get(format!("http://{}/load", poll.address));
    if let Some(credential) = &poll.credential {
        request = request.header(AUTHORIZATION, format!("Bearer {credential}"));
    }
    let request = request
        .body(Full::<Bytes>::default())
        .map_err(|_| EngineFailure::Silent)?;
    let answer = client
        .send(request, reuse, POLL_TIMEOUT)
        .await
        .map_err(failure_of)?;
    let body = Limited::new(answer.response.into_body(), REPORT_MAX_BYTES).collect();
    let body = match tokio::time::timeout(POLL_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) | Err(_) => return Err(EngineFailure::Silent),
    };
    let report: Report = serde_json::from_slice(&body).map_err(|_| EngineFailure::Silent)?;
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
        SendError::Broken | SendError::Timeout => EngineFailure::Silent,
    }
}

//! Tasks of rollouts, which run where these are enabled.

use std::sync::Arc;

use tokio::sync::watch;

use super::exchange::send_reports;
use super::task::run_service_rollouts;
use crate::daemon::run_until_stopped;
use crate::gateway::platform_api::TrackedKind;
use crate::gateway::state::Gateway;
use crate::gateway::store_watch::watch_kind;
use crate::steward::HeldTerm;
use crate::supervisor::{ChildSettings, Supervisor};

/// Adds the tasks that watch orders, conduct rollouts under the lease and report to its holder, if
/// rollouts are enabled.
pub(in crate::gateway) fn supervise(
    supervisor: Supervisor,
    gateway: &Arc<Gateway>,
    held: Arc<watch::Sender<Option<HeldTerm>>>,
) -> Supervisor {
    if gateway.settings.bounds.exposure_share.is_none() {
        return supervisor;
    }
    let (watch_gateway, rollout_gateway, report_gateway) =
        (gateway.clone(), gateway.clone(), gateway.clone());
    supervisor
        .child("rollouts", ChildSettings::default(), move |stop| {
            let gateway = watch_gateway.clone();
            run_until_stopped(watch_kind(gateway, TrackedKind::Rollouts), stop)
        })
        .child("service_rollout", ChildSettings::default(), move |stop| {
            let gateway = rollout_gateway.clone();
            run_until_stopped(run_service_rollouts(gateway, held.subscribe()), stop)
        })
        .child("rollout_reports", ChildSettings::default(), move |stop| {
            let gateway = report_gateway.clone();
            run_until_stopped(send_reports(gateway), stop)
        })
}

//! Task that acquires, renews and releases the lease that permits orders to engines.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::event_log::LogEvent;
use super::heartbeat::HeldLease;
use super::platform_api::WriteResult;
use super::rollout_task::order_window;
use super::shutdown::ShutdownPlan;
use super::state::Gateway;
use crate::ids::FencingNumber;
use crate::steward::{
    HeldTerm, LeaseAction, LeaseCore, LeaseHolder, LeaseObject, LeaseSettings, LeaseWriteOutcome,
};
use crate::supervisor::StopSignal;

/// A VM checks whether it has become a candidate this many times per lease duration.
const CANDIDATE_CHECK_DIVISOR: u32 = 6;
/// Timeout of releasing the lease at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between two checks whether the lease is still kept during a shutdown.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Acquires and renews the lease until the shutdown begins, then releases it, in the middle of a
/// rollout only if another VM can go on with it at once.
///
/// Publishes the lease through `held` while this VM holds it. `ordering` names the term in which
/// this VM is to send orders.
pub(super) async fn maintain_lease(
    gateway: Arc<Gateway>,
    held: Arc<watch::Sender<Option<HeldTerm>>>,
    mut ordering: watch::Receiver<Option<FencingNumber>>,
    stop: StopSignal,
) {
    let lease_ttl = gateway.settings.bounds.lease_ttl;
    let settings = LeaseSettings {
        poll_interval: lease_ttl / 2,
        // Other engines need no pause between two holders.
        tracks_idle_time: !gateway.settings.bounds.engines_check_fencing,
        ..LeaseSettings::from_lease_ttl(lease_ttl)
    };
    let holder = LeaseHolder {
        vm: gateway.settings.vm.clone(),
        incarnation: gateway.incarnation,
    };
    let mut core = LeaseCore::new(settings, holder);
    while !stop.is_raised() && keeps_lease(&gateway, &core, *ordering.borrow()) {
        let now = gateway.now();
        core.observe_era(gateway.observe_store_era(gateway.platform.store.era()), now);
        apply_peer_leases(&gateway, &mut core);
        let ordering_term = *ordering.borrow_and_update();
        if let Some(term) = ordering_term {
            core.begin_acting(term, now);
        }
        // Only the hubs of the zones compete for the lease, so that the calls to the store do not
        // grow with the fleet.
        let is_candidate = core.held(now).is_some() || {
            let state = gateway.state();
            state.peers.is_hub(now) && state.peers.is_complete(now)
        };
        if !is_candidate {
            publish_lease(&gateway, &core, &held);
            tokio::select! {
                () = tokio::time::sleep(lease_ttl / CANDIDATE_CHECK_DIVISOR) => {}
                () = gateway.drain.wait_for_start() => {}
                () = stop.clone().raised() => {}
            }
            continue;
        }
        match core.next_action(now) {
            Some(action) => {
                run_action(&gateway, &mut core, action, settings.renewal_interval).await
            }
            None => {
                let until_lapse = core
                    .held(now)
                    .map(|held| held.valid_until.saturating_sub(now));
                let wait = core
                    .time_until_next_action(now)
                    .max(Duration::from_millis(1));
                let wait = until_lapse.map_or(wait, |lapse| lapse.min(wait));
                let is_stopping = gateway.drain.is_started();
                let wait = match is_stopping {
                    true => wait.min(SHUTDOWN_CHECK_INTERVAL),
                    false => wait,
                };
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = gateway.lease_received.notified() => {}
                    () = gateway.drain.wait_for_start(), if !is_stopping => {}
                    // An error means that the rollout has ended, as it does at the same stop.
                    Ok(()) = ordering.changed() => {}
                    () = stop.clone().raised() => {}
                }
            }
        }
        publish_lease(&gateway, &core, &held);
    }
    core.release(gateway.now());
    publish_lease(&gateway, &core, &held);
    let release = async {
        while !core.is_released() {
            match core.next_action(gateway.now()) {
                Some(action) => {
                    run_action(&gateway, &mut core, action, settings.renewal_interval).await
                }
                None => tokio::time::sleep(settings.retry_delay).await,
            }
        }
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, release)
        .await
        .is_err()
    {
        let reason = "the lease was not released within the timeout".to_owned();
        gateway.event_log.log(&LogEvent::LeaseCallFailed { reason });
    }
}

/// Returns whether the lease is kept: until the shutdown begins, so that another VM can acquire it at
/// once, or longer while this VM goes on with its orders.
fn keeps_lease(gateway: &Gateway, core: &LeaseCore, ordering_term: Option<FencingNumber>) -> bool {
    if !gateway.drain.is_started() {
        return true;
    }
    let plan = ShutdownPlan::within(gateway.settings.bounds.shutdown_timeout);
    let time_since_stop = gateway.time_since_stop().unwrap_or_default();
    let has_time_left = time_since_stop + RELEASE_TIMEOUT < plan.abort_after;
    let held = core.held(gateway.now());
    let window = order_window(gateway);
    has_time_left && held.is_some_and(|held| window.is_kept_while_stopping(held, ordering_term))
}

/// Applies the renewals that the holder announces in heartbeats, which saves reads of the store.
fn apply_peer_leases(gateway: &Gateway, core: &mut LeaseCore) {
    let now = gateway.now();
    let leases: Vec<HeldLease> = {
        let state = gateway.state();
        state
            .peers
            .fresh_peers(now)
            .filter_map(|peer| peer.heartbeat.lease.clone())
            .collect()
    };
    for lease in leases {
        core.apply_relayed_object(now, lease.into_object());
    }
}

async fn run_action(
    gateway: &Gateway,
    core: &mut LeaseCore,
    action: LeaseAction,
    timeout: Duration,
) {
    let store = &gateway.platform.store;
    match action {
        LeaseAction::Read => {
            let result = tokio::time::timeout(timeout, store.read_lease()).await;
            let result = match result {
                Ok(Ok(object)) => Some(log_if_malformed(gateway, core, object)),
                Ok(Err(failure)) => log_failed_call(gateway, failure.to_string()),
                Err(_) => log_failed_call(gateway, "read: no response in time".into()),
            };
            core.read_completed(gateway.now(), result);
        }
        LeaseAction::Write {
            expected_version,
            record,
        } => {
            let write = store.write_lease(expected_version, record);
            let result = match tokio::time::timeout(timeout, write).await {
                Ok(Ok(WriteResult::Applied(version))) => LeaseWriteOutcome::Applied(version),
                Ok(Ok(WriteResult::Conflict(object))) => {
                    LeaseWriteOutcome::Conflict(log_if_malformed(gateway, core, object))
                }
                Ok(Err(super::platform_api::StoreCallFailure::Refused(status))) => {
                    log_failed_call::<()>(gateway, format!("write refused with status {status}"));
                    LeaseWriteOutcome::NotApplied
                }
                Ok(Err(failure)) => {
                    log_failed_call::<()>(gateway, failure.to_string());
                    LeaseWriteOutcome::Unknown
                }
                Err(_) => {
                    log_failed_call::<()>(gateway, "write: no response in time".into());
                    LeaseWriteOutcome::Unknown
                }
            };
            core.write_completed(gateway.now(), result);
        }
    }
}

/// Logs once per version that the record of the lease cannot be decoded.
///
/// No VM acquires the lease in that case, as the fencing number to exceed is unknown; an operator
/// has to repair or delete the object.
fn log_if_malformed(gateway: &Gateway, core: &LeaseCore, object: LeaseObject) -> LeaseObject {
    let seen_version = core.last_object().map(|seen| seen.version);
    if let Some(reason) = object.parse_error.as_deref()
        && seen_version != Some(object.version)
    {
        let version = object.version;
        gateway
            .event_log
            .log(&LogEvent::LeaseMalformed { version, reason });
    }
    object
}

fn log_failed_call<T>(gateway: &Gateway, reason: String) -> Option<T> {
    gateway.event_log.log(&LogEvent::LeaseCallFailed { reason });
    None
}

fn publish_lease(gateway: &Gateway, core: &LeaseCore, held: &watch::Sender<Option<HeldTerm>>) {
    let current = core.held(gateway.now());
    let earlier = *held.borrow();
    let fencing = |held: Option<HeldTerm>| held.map(|held| held.fencing_number);
    if fencing(current) != fencing(earlier) {
        if let Some(fencing) = fencing(earlier) {
            gateway.event_log.log(&LogEvent::LeaseLost { fencing });
        }
        if let Some(fencing) = fencing(current) {
            gateway.event_log.log(&LogEvent::LeaseHeld { fencing });
        }
    }
    held.send_replace(current);
    let own = current.and_then(|_| core.last_object());
    let own = own.and_then(|object| Some(HeldLease::new(object.version, object.record?)));
    let mut state = gateway.state();
    let is_changed = state.lease != own;
    state.lease = own;
    drop(state);
    if is_changed {
        gateway.heartbeat_due.notify_one();
    }
}

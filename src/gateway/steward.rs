//! Holds the lease under which engines get orders.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::beat::HeldLease;
use super::edge::WriteResult;
use super::hub::Hub;
use super::journal::Event;
use crate::steward::{
    Held, Holder, LeaseAction, LeaseCore, LeaseObject, LeaseRecord, LeaseSettings, WriteAnswer,
};
use crate::supervisor::StopSignal;

/// Time for giving the lease up at the end.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// Acquires, renews and releases the lease.
pub(super) async fn keep_lease(
    hub: Arc<Hub>,
    held: Arc<watch::Sender<Option<Held>>>,
    stop: StopSignal,
) {
    let lease = hub.settings.bounds.lease;
    let settings = LeaseSettings {
        poll: lease / 2,
        ..LeaseSettings::with_lease(lease)
    };
    let holder = Holder {
        vm: hub.settings.vm.clone(),
        incarnation: hub.incarnation,
    };
    let mut core = LeaseCore::new(settings, holder);
    // A VM that shuts down gives the lease up first, so that another may go on at once.
    while !stop.is_raised() && !hub.drain.is_started() {
        hear_holder(&hub, &mut core);
        let now = hub.now();
        match core.next_action(now) {
            Some(action) => make_call(&hub, &mut core, action, settings.renewal).await,
            None => {
                let until_lapse = core.held(now).map(|held| held.until.saturating_sub(now));
                let wait = core.wait(now).max(Duration::from_millis(1));
                let wait = until_lapse.map_or(wait, |lapse| lapse.min(wait));
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = hub.lease_heard.notified() => {}
                    () = stop.clone().raised() => {}
                }
            }
        }
        publish(&hub, &core, &held);
    }
    core.release(hub.now());
    publish(&hub, &core, &held);
    let release = async {
        while !core.is_released() {
            match core.next_action(hub.now()) {
                Some(action) => make_call(&hub, &mut core, action, settings.renewal).await,
                None => tokio::time::sleep(settings.retry).await,
            }
        }
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, release)
        .await
        .is_err()
    {
        let reason = "the lease was not given up in time".to_owned();
        hub.journal.state(&Event::LeaseCallFailed { reason });
    }
}

/// Takes in what the holder tells of its renewals, which spares reads of the store.
fn hear_holder(hub: &Hub, core: &mut LeaseCore) {
    let now = hub.now();
    let heard: Vec<HeldLease> = {
        let state = hub.core();
        state
            .peers
            .fresh_peers(now)
            .filter_map(|peer| peer.beat.lease.clone())
            .collect()
    };
    for lease in heard {
        let object = LeaseObject {
            version: lease.version,
            record: Some(lease.record),
            ..LeaseObject::default()
        };
        core.heard(now, object);
    }
}

async fn make_call(hub: &Hub, core: &mut LeaseCore, action: LeaseAction, timeout: Duration) {
    let store = &hub.platform.store;
    match action {
        LeaseAction::Read => {
            let answer = tokio::time::timeout(timeout, store.read_lease()).await;
            let answer = match answer {
                Ok(Ok(object)) => Some(told_if_malformed(hub, core, object)),
                Ok(Err(failure)) => failed(hub, failure.to_string()),
                Err(_) => failed(hub, "no answer in time".into()),
            };
            core.read_answered(hub.now(), answer);
        }
        LeaseAction::Write {
            expected_version,
            record,
        } => {
            let write = store.write_lease(expected_version, record);
            let answer = match tokio::time::timeout(timeout, write).await {
                Ok(Ok(WriteResult::Done(version))) => WriteAnswer::Applied(version),
                Ok(Ok(WriteResult::Conflict(object))) => {
                    WriteAnswer::Conflict(told_if_malformed(hub, core, object))
                }
                Ok(Err(super::edge::Failure::Refused(status))) => {
                    failed::<()>(hub, format!("status {status}"));
                    WriteAnswer::NotApplied
                }
                Ok(Err(failure)) => {
                    failed::<()>(hub, failure.to_string());
                    WriteAnswer::Unknown
                }
                Err(_) => {
                    failed::<()>(hub, "no answer in time".into());
                    WriteAnswer::Unknown
                }
            };
            core.write_answered(hub.now(), answer);
        }
    }
}

/// Logs once that the lease's record cannot be read.
///
/// Nobody takes the lease then, as the fencing number to pass is unknown; an operator has to mend or
/// delete the object.
fn told_if_malformed(hub: &Hub, core: &LeaseCore, object: LeaseObject) -> LeaseObject {
    let seen_version = core.object().map(|seen| seen.version);
    if let Some(reason) = object.fault.as_deref()
        && seen_version != Some(object.version)
    {
        let version = object.version;
        hub.journal
            .state(&Event::LeaseMalformed { version, reason });
    }
    object
}

fn failed<T>(hub: &Hub, reason: String) -> Option<T> {
    hub.journal.state(&Event::LeaseCallFailed { reason });
    None
}

fn publish(hub: &Hub, core: &LeaseCore, held: &watch::Sender<Option<Held>>) {
    let current = core.held(hub.now());
    let earlier = *held.borrow();
    let fencing = |held: Option<Held>| held.map(|held| held.fencing_number);
    if fencing(current) != fencing(earlier) {
        if let Some(fencing) = fencing(earlier) {
            hub.journal.state(&Event::LeaseLost { fencing });
        }
        if let Some(fencing) = fencing(current) {
            hub.journal.state(&Event::LeaseHeld { fencing });
        }
    }
    held.send_replace(current);
    let own = current.and_then(|_| core.object());
    let own = own.and_then(|object| {
        let record: LeaseRecord = object.record?;
        Some(HeldLease {
            version: object.version,
            record,
        })
    });
    let mut state = hub.core();
    let is_news = state.lease != own;
    state.lease = own;
    drop(state);
    if is_news {
        hub.beat_due.notify_one();
    }
}

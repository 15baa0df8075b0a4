//! Rollouts of software versions, while this VM holds the lease on orders.
//!
//! A holder first writes the status of an order, even if that changes nothing: writes of an earlier
//! holder that are still under way then name an older revision and are refused.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::exchange::{report_interval, send_to};
use super::held_rollout::{HeldRollout, OrderView, StatusWrite};
use super::{RolloutGrant, RolloutPlanSettings, RolloutReport, RolloutState, VerdictSettings};
use crate::clock::Instant;
use crate::gateway::datagram::Message;
use crate::gateway::event_log::LogEvent;
use crate::gateway::model::ServiceId;
use crate::gateway::platform_api::{StatusWriteResult, StoreCallFailure};
use crate::gateway::rollout_task::order_window;
use crate::gateway::state::Gateway;
use crate::ids::FencingNumber;
use crate::platform::era_of;
use crate::steward::HeldTerm;

/// Interval between two passes of the holder: short beside the interval of the reports.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two grants to one VM if nothing changes.
const GRANT_INTERVAL: Duration = Duration::from_millis(500);

type HeldLease = watch::Receiver<Option<HeldTerm>>;

/// Result of writing a status.
struct WriteDone {
    service: ServiceId,
    write: StatusWrite,
    fencing: FencingNumber,
    result: Result<StatusWriteResult, StoreCallFailure>,
}

/// Orders of the term, and the numbers of its grants.
struct Term {
    fencing: FencingNumber,
    sequence: u32,
    rollouts: HashMap<ServiceId, HeldRollout>,
}

/// Conducts the rollouts of all services whenever the lease is held, until dropped.
pub(in crate::gateway) async fn run_service_rollouts(gateway: Arc<Gateway>, mut held: HeldLease) {
    let (done_sender, mut done_receiver) = mpsc::unbounded_channel::<WriteDone>();
    let mut term: Option<Term> = None;
    loop {
        let now = gateway.now();
        let current = *held.borrow_and_update();
        let current = current.filter(|held| held.valid_until > now);
        if current.map(|held| held.fencing_number) != term.as_ref().map(|term| term.fencing) {
            term = current.map(|held| Term {
                fencing: held.fencing_number,
                sequence: 0,
                rollouts: HashMap::new(),
            });
            gateway.state().rollouts.set_holder(term.is_some());
        }
        let may_act = current.is_some_and(|held| order_window(&gateway).has_time_left(held, now));
        if let Some(term) = term.as_mut().filter(|_| may_act) {
            term.pass(&gateway, &held, &done_sender, now);
        }
        tokio::select! {
            () = tokio::time::sleep(PASS_INTERVAL) => {}
            changed = held.changed() => if changed.is_err() { return },
            done = done_receiver.recv() => if let Some(done) = done {
                apply_write(&gateway, term.as_mut(), done);
            },
        }
    }
}

impl Term {
    /// Makes the step that is due of each order.
    fn pass(
        &mut self,
        gateway: &Arc<Gateway>,
        held: &HeldLease,
        done_sender: &mpsc::UnboundedSender<WriteDone>,
        now: Instant,
    ) {
        let (orders, reports) = collect(gateway, now);
        self.rollouts.retain(|service, rollout| {
            let mut orders = orders.iter();
            orders.any(|view| view.order.service == *service && rollout.is_of(&view.order.target))
        });
        let settings = plan_settings(gateway);
        for view in orders {
            let service = view.order.service.clone();
            let rollout = self
                .rollouts
                .entry(service.clone())
                .or_insert_with(|| HeldRollout::new(&view, settings, now));
            for report in &reports {
                rollout.record_report(report, now);
            }
            let pass = rollout.pass(&view, now);
            if let Some(step) = &pass.changed {
                log_step(
                    gateway,
                    &view,
                    rollout,
                    step.share_permille,
                    step.is_handover,
                );
            }
            if let Some(reason) = pass.bad_reason {
                let reason = describe(gateway, reason);
                gateway.event_log.log(&LogEvent::RolloutBad {
                    service: &view.order.service,
                    target: &view.order.target,
                    reason,
                });
            }
            if let Some(write) = pass.write {
                start_write(gateway, held, done_sender, (self.fencing, service), write);
            }
            let rollout = self.rollouts.get_mut(&view.order.service);
            if let Some(share_permille) =
                rollout.and_then(|rollout| rollout.grant_due(GRANT_INTERVAL, now))
            {
                self.sequence += 1;
                let grant = RolloutGrant {
                    service: view.order.service.clone(),
                    target: view.order.target.clone(),
                    share_permille,
                    fencing: self.fencing,
                    sequence: self.sequence,
                };
                send_grant(gateway, grant);
            }
        }
        let progress = self.rollouts.values();
        let progress = progress.map(|rollout| rollout.progress(now)).collect();
        gateway.state().rollouts.progress = progress;
    }
}

/// Returns the orders with what the holder needs to know of each, and the reports of all VMs.
fn collect(gateway: &Gateway, now: Instant) -> (Vec<OrderView>, Vec<RolloutReport>) {
    let mut state = gateway.state();
    let mut reports = state.rollouts.take_reports();
    reports.extend(state.rollout_reports(gateway, now));
    let orders = state.rollouts.iter().map(|known| OrderView {
        order: known.entry.order.clone(),
        stored: known.entry.state(),
        known: state.rollouts.conclusion(&known.entry.order.service),
        revision: known.entry.revision,
    });
    (orders.collect(), reports)
}

fn plan_settings(gateway: &Gateway) -> RolloutPlanSettings {
    let bounds = &gateway.settings.bounds;
    RolloutPlanSettings {
        exposure_share: bounds.exposure_share.unwrap_or_default(),
        exposure_slack: bounds.exposure_slack,
        rollback_time: bounds.rollback_timeout,
        contact_timeout: bounds.contact_timeout,
        report_interval: report_interval(gateway),
        grant_interval: GRANT_INTERVAL,
        verdict: VerdictSettings::default(),
    }
}

/// Sends a grant to all VMs that this one knows, itself included.
fn send_grant(gateway: &Arc<Gateway>, grant: RolloutGrant) {
    let own_address = gateway.settings.peer_address;
    let addresses: Vec<SocketAddr> = {
        let state = gateway.state();
        let known = state.peers.addresses.keys();
        known
            .copied()
            .filter(|address| *address != own_address)
            .collect()
    };
    let message = Message::RolloutGrant(grant.clone());
    for address in addresses {
        send_to(gateway, &message, address);
    }
    gateway.record_rollout_grant(grant, None);
}

/// Writes a status if the term is still held and valid.
fn start_write(
    gateway: &Arc<Gateway>,
    held: &HeldLease,
    done_sender: &mpsc::UnboundedSender<WriteDone>,
    (fencing, service): (FencingNumber, ServiceId),
    write: StatusWrite,
) {
    let (gateway, held, done_sender) = (gateway.clone(), held.clone(), done_sender.clone());
    tokio::spawn(async move {
        let current = *held.borrow();
        let current = current.filter(|held| held.fencing_number == fencing);
        let is_open =
            current.is_some_and(|held| order_window(&gateway).has_time_left(held, gateway.now()));
        let store = &gateway.platform.store;
        let result = match is_open {
            true => {
                let status = write.status.clone();
                let put = store.put_rollout_status(service.clone(), write.expected, status);
                put.await
            }
            false => Err(StoreCallFailure::NoResponse("the lease is not held".into())),
        };
        // Sending fails only during shutdown, when the receiver has been dropped.
        let _ = done_sender.send(WriteDone {
            service,
            write,
            fencing,
            result,
        });
    });
}

/// Records the result of a write, also of an earlier term: what the store has accepted holds.
fn apply_write(gateway: &Gateway, term: Option<&mut Term>, done: WriteDone) {
    let (service, status) = (&done.service, &done.write.status);
    let rollout = term
        .filter(|term| term.fencing == done.fencing)
        .and_then(|term| term.rollouts.get_mut(service))
        .filter(|rollout| rollout.is_of(&status.target));
    let applied = match &done.result {
        Ok(StatusWriteResult::Applied(revision)) => Some(*revision),
        _ => None,
    };
    if let Some(rollout) = rollout {
        rollout.record_write(applied, status.state, gateway.now());
    }
    let outcome = match done.result {
        Ok(StatusWriteResult::Applied(revision)) => {
            gateway.event_log.log(&LogEvent::RolloutStatusWritten {
                service,
                target: &status.target,
                state: status.state.name(),
                revision,
                fencing: done.fencing,
            });
            record_written(gateway, service, status.state, &status.target, revision);
            "written"
        }
        Ok(StatusWriteResult::Conflict(current)) => {
            log_failed(gateway, service, "the object has changed".to_owned());
            match current {
                Ok(entry) if entry.order.service == *service => gateway.record_rollout(entry),
                Ok(_) => {}
                Err(reason) => log_failed(gateway, service, reason),
            }
            "conflict"
        }
        Ok(StatusWriteResult::Missing) => {
            log_failed(gateway, service, "the object does not exist".to_owned());
            "missing"
        }
        Err(failure) => {
            log_failed(gateway, service, failure.to_string());
            "failed"
        }
    };
    gateway.metrics.count_rollout_write(outcome);
}

fn record_written(
    gateway: &Gateway,
    service: &str,
    state: RolloutState,
    target: &str,
    revision: u64,
) {
    if !state.is_final() {
        return;
    }
    let is_new = {
        let mut locked = gateway.state();
        let known = locked.rollouts.get(service);
        let is_same = known.is_some_and(|known| known.entry.order.target == target);
        is_same
            && locked
                .rollouts
                .conclude(service, target, state, era_of(revision))
    };
    if is_new {
        gateway.log_rollout_concluded(service, target, state, revision);
    }
}

fn log_failed(gateway: &Gateway, service: &str, reason: String) {
    gateway
        .event_log
        .log(&LogEvent::RolloutCallFailed { service, reason });
}

fn log_step(
    gateway: &Gateway,
    view: &OrderView,
    rollout: &HeldRollout,
    share_permille: u16,
    is_handover: bool,
) {
    gateway.event_log.log(&LogEvent::RolloutStep {
        service: &view.order.service,
        target: &view.order.target,
        share_permille,
        is_handover,
        sent: rollout.fleet.sent(),
        sent_to_target: rollout.fleet.sent_to_target(),
        elapsed_ms: rollout.fleet.elapsed(gateway.now()).as_millis() as u64,
    });
}

/// Returns what was found bad, with the name of the route.
fn describe(gateway: &Gateway, reason: super::BadReason) -> String {
    use super::BadReason;
    let on_route = |route: Option<super::RouteHash>| {
        let Some(route) = route else {
            return "over all routes".to_owned();
        };
        let table = gateway.table();
        let name = table.as_ref().and_then(|table| {
            let mut routes = table.routes();
            let route = routes.find(|known| super::route_hash(&known.name) == route);
            route.map(|route| route.name.clone())
        });
        match name {
            Some(name) => format!("on route {name}"),
            None => "on routes that are not known here".to_owned(),
        }
    };
    match reason {
        BadReason::Failures(route) => format!("more failures {}", on_route(route)),
        BadReason::Slow(route) => format!("slower responses {}", on_route(route)),
        BadReason::Refusals(route) => format!("more refusals {}", on_route(route)),
        BadReason::UnderFullLoad => "worse under all requests than under some".to_owned(),
        BadReason::ExposureExceeded => "doubtful when the exposure was used up".to_owned(),
        BadReason::TimeExceeded => "too little evidence in the time allowed".to_owned(),
    }
}

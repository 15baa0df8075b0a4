//! Reports and grants as datagrams between the VMs and the holder of the lease.
//!
//! The holder sends its grants to all VMs that it knows; each VM reports to the VM whose grant it
//! accepted last. Both replace earlier ones, so a lost datagram only delays them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{RolloutEntry, RolloutGrant, RolloutReport, RolloutState};
use crate::clock::Instant;
use crate::gateway::datagram::{Message, send};
use crate::gateway::event_log::LogEvent;
use crate::gateway::model::ServiceId;
use crate::gateway::state::{Gateway, GatewayState};
use crate::ids::ObjectVersion;
use crate::platform::era_of;

/// Minimum interval between two reports of a VM on one order.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Time per VM of the fleet to add up to the interval: the holder gets 500 reports a second at most.
const REPORT_INTERVAL_PER_VM: Duration = Duration::from_millis(2);
/// Number of intervals after which a report is sent although nothing has changed, as the last one
/// may be lost.
const UNCHANGED_REPORT_INTERVALS: u32 = 2;

/// Returns the interval of a VM's reports on one order.
pub(super) fn report_interval(gateway: &Gateway) -> Duration {
    let vms = gateway.state().fleet_size() as u32;
    REPORT_INTERVAL_MIN.max(REPORT_INTERVAL_PER_VM * vms)
}

/// Last report that was sent on an order.
#[derive(Debug)]
struct SentReport {
    /// Its content without the time.
    content: RolloutReport,
    sent_at: Instant,
}

/// Reports to the holder of the lease on all orders that are not concluded, until dropped.
pub(in crate::gateway) async fn send_reports(gateway: Arc<Gateway>) {
    let mut sent: HashMap<ServiceId, SentReport> = HashMap::new();
    loop {
        let interval = report_interval(&gateway);
        tokio::time::sleep(interval).await;
        let now = gateway.now();
        let reports = {
            let mut state = gateway.state();
            let grantor = state.rollouts.grantor();
            // The holder collects its own report itself.
            grantor.map(|grantor| (grantor, state.rollout_reports(&gateway, now)))
        };
        let Some((grantor, reports)) = reports else {
            continue;
        };
        sent.retain(|service, _| reports.iter().any(|report| report.service == *service));
        for report in reports {
            let content = RolloutReport {
                seen_for_ms: 0,
                ..report.clone()
            };
            let is_due = sent.get(&report.service).is_none_or(|last| {
                let age = now.saturating_sub(last.sent_at);
                last.content != content || age >= interval * UNCHANGED_REPORT_INTERVALS
            });
            if is_due {
                let service = report.service.clone();
                let sent_at = now;
                send_to(&gateway, &Message::RolloutReport(Box::new(report)), grantor);
                sent.insert(service, SentReport { content, sent_at });
            }
        }
    }
}

/// Sends a message; logs it if that fails.
pub(super) fn send_to(gateway: &Gateway, message: &Message, address: SocketAddr) {
    let is_sent = gateway
        .peer_socket
        .get()
        .is_some_and(|socket| send(socket, message, address));
    if !is_sent {
        let reason = format!("a message on a rollout was not sent to {address}");
        gateway.event_log.log(&LogEvent::BeatFailed { reason });
    }
}

impl GatewayState {
    /// Returns this VM's reports on the orders that are not concluded.
    pub(super) fn rollout_reports(
        &mut self,
        gateway: &Gateway,
        now: Instant,
    ) -> Vec<RolloutReport> {
        let reports: Vec<RolloutReport> = self
            .rollouts
            .iter()
            .filter_map(|known| {
                let order = &known.entry.order;
                let is_concluded = self.rollouts.conclusion(&order.service).is_some();
                let log = known.log.as_ref().filter(|_| !is_concluded)?;
                let old = self.upstreams.iter().filter(|upstream| {
                    upstream.entry.service == order.service
                        && upstream.entry.software.as_ref() != Some(&order.target)
                });
                let old_in_flight = old.map(|upstream| upstream.own_load.requests).sum();
                let vm = gateway.settings.vm.clone();
                let grants = &self.rollouts.grants;
                Some(log.report(vm, gateway.incarnation, old_in_flight, grants, now))
            })
            .collect();
        for report in &reports {
            self.rollouts.record_reported(report);
        }
        reports
    }
}

impl Gateway {
    /// Records an order and its status as read from the store.
    pub(in crate::gateway) fn record_rollout(&self, entry: RolloutEntry) {
        let (order, revision) = (entry.order.clone(), entry.revision);
        let now = self.now();
        let change = self.state().rollouts.record_entry(entry, now);
        if change.is_new {
            self.event_log.log(&LogEvent::RolloutOrdered {
                service: &order.service,
                target: &order.target,
                within_ms: order.within.as_millis() as u64,
                revision,
            });
        }
        if let Some(state) = change.concluded {
            self.log_rollout_concluded(&order.service, &order.target, state, revision);
        }
    }

    /// Ends the rollout of an order that the operator has removed.
    pub(in crate::gateway) fn remove_rollout(&self, service: &str, revision: ObjectVersion) {
        if self.state().rollouts.remove(service) {
            self.event_log
                .log(&LogEvent::RolloutRemoved { service, revision });
        }
    }

    pub(super) fn log_rollout_concluded(
        &self,
        service: &str,
        target: &str,
        state: RolloutState,
        revision: ObjectVersion,
    ) {
        self.metrics.count_rollout_conclusion(state);
        self.event_log.log(&LogEvent::RolloutConcluded {
            service,
            target,
            state: state.name(),
            revision,
        });
    }

    /// Handles a grant of the holder of the lease.
    pub(in crate::gateway) fn handle_rollout_grant(
        self: &Arc<Self>,
        grant: RolloutGrant,
        from: SocketAddr,
    ) {
        if !self.state().rollouts.is_enabled() {
            return;
        }
        if let Some(message) = self.forgotten_conclusion(&grant) {
            send_to(self, &message, from);
        }
        self.record_rollout_grant(grant, Some(from));
    }

    /// Records a grant, of this VM if `from` is `None`.
    pub(super) fn record_rollout_grant(
        self: &Arc<Self>,
        grant: RolloutGrant,
        from: Option<SocketAddr>,
    ) {
        let now = self.now();
        let (service, target, fencing) =
            (grant.service.clone(), grant.target.clone(), grant.fencing);
        let changed = self.state().rollouts.record_grant(grant, from, now);
        let Some(share_permille) = changed else {
            return;
        };
        self.metrics.record_rollout_share(&service, share_permille);
        self.event_log.log(&LogEvent::RolloutShare {
            service: &service,
            target: &target,
            share_permille,
            fencing,
        });
        self.place_queued();
    }

    /// Returns the message about a conclusion that this VM has seen and the holder may not know, as
    /// the store has lost it.
    fn forgotten_conclusion(&self, grant: &RolloutGrant) -> Option<Message> {
        let state = self.state();
        let known = state.rollouts.get(&grant.service)?;
        let is_same = known.entry.order.target == grant.target;
        let concluded = state.rollouts.conclusion(&grant.service);
        let concluded =
            concluded.filter(|concluded| is_same && known.entry.state() != Some(*concluded))?;
        Some(Message::RolloutConclusion {
            service: grant.service.clone(),
            target: grant.target.clone(),
            is_done: concluded == RolloutState::Done,
        })
    }

    /// Handles the message of a VM that has seen a conclusion which the store may have lost.
    pub(in crate::gateway) fn handle_rollout_conclusion(
        &self,
        service: &str,
        target: &str,
        is_done: bool,
    ) {
        let concluded = match is_done {
            true => RolloutState::Done,
            false => RolloutState::RolledBack,
        };
        let mut state = self.state();
        let known = state.rollouts.get(service);
        let Some(known) = known.filter(|known| known.entry.order.target == target) else {
            return;
        };
        let revision = known.entry.revision;
        let is_new = state
            .rollouts
            .conclude(service, target, concluded, era_of(revision));
        drop(state);
        if is_new {
            self.log_rollout_concluded(service, target, concluded, revision);
        }
    }

    /// Handles the report of another VM.
    pub(in crate::gateway) fn handle_rollout_report(&self, report: RolloutReport) {
        let is_kept = self.state().rollouts.push_report(report);
        if !is_kept {
            let reason = "too many reports on rollouts wait".to_owned();
            self.event_log.log(&LogEvent::BeatFailed { reason });
        }
    }
}

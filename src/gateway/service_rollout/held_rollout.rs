//! State of one order at the holder of the lease. No I/O; the time is passed in.

use std::collections::HashMap;
use std::time::Duration;

use super::{
    BadReason, FleetCounts, RolloutOrder, RolloutPlan, RolloutPlanSettings, RolloutProgress,
    RolloutReport, RolloutState, RolloutStatus, RolloutStep,
};
use crate::clock::Instant;
use crate::gateway::model::{ServiceId, SoftwareVersion};
use crate::ids::{Incarnation, ObjectVersion, VmId};

/// Time beyond the interval of the reports in which those of all VMs arrive at a new holder.
const SETTLE_MARGIN: Duration = Duration::from_millis(300);
/// Time after the first of several failed writes of a status before the next one; it doubles with
/// each.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of times that it doubles: an object that was lost from the store may not return.
const WRITE_RETRY_DOUBLINGS: u32 = 5;
/// Number of contact timeouts after a conclusion for which grants are sent: VMs that do not hear of
/// it from the store within the first one have lost contact.
const CONCLUDED_GRANTS_TIMEOUTS: u32 = 3;

/// What the holder knows of an order from the store and from its own memory.
#[derive(Debug, Clone)]
pub(super) struct OrderView {
    pub(super) order: RolloutOrder,
    /// State in the store, if it belongs to the target.
    pub(super) stored: Option<RolloutState>,
    /// Conclusion that this VM has seen.
    pub(super) known: Option<RolloutState>,
    pub(super) revision: ObjectVersion,
}

/// Status to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StatusWrite {
    pub(super) status: RolloutStatus,
    /// Revision that the object must have.
    pub(super) expected: ObjectVersion,
}

/// What is due after a pass.
#[derive(Debug, Default)]
pub(super) struct PassResult {
    /// Step that differs from the one before.
    pub(super) changed: Option<RolloutStep>,
    /// What was found bad, once.
    pub(super) bad_reason: Option<BadReason>,
    pub(super) write: Option<StatusWrite>,
}

/// Order that this VM conducts.
#[derive(Debug)]
pub(super) struct HeldRollout {
    service: ServiceId,
    target: SoftwareVersion,
    plan: RolloutPlan,
    pub(super) fleet: FleetCounts,
    /// Time of the last report of each VM.
    reported_at: HashMap<(VmId, Incarnation), Instant>,
    settings: RolloutPlanSettings,
    since: Instant,
    step: Option<RolloutStep>,
    share_permille: u16,
    granted_at: Option<Instant>,
    granted_share_permille: Option<u16>,
    concluded_at: Option<Instant>,
    /// Whether a status was written in this term.
    is_claimed: bool,
    is_writing: bool,
    write_after: Instant,
    failed_writes: u32,
    written: Option<(RolloutState, ObjectVersion)>,
}

impl HeldRollout {
    pub(super) fn new(view: &OrderView, settings: RolloutPlanSettings, now: Instant) -> Self {
        Self {
            service: view.order.service.clone(),
            target: view.order.target.clone(),
            plan: RolloutPlan::new(view.order.within, view.known.or(view.stored), settings),
            fleet: FleetCounts::new(),
            reported_at: HashMap::new(),
            settings,
            since: now,
            step: None,
            share_permille: 0,
            granted_at: None,
            granted_share_permille: None,
            concluded_at: None,
            is_claimed: false,
            is_writing: false,
            write_after: now,
            failed_writes: 0,
            written: None,
        }
    }

    pub(super) fn is_of(&self, target: &str) -> bool {
        self.target == target
    }

    /// Records a report if it is one on this order.
    pub(super) fn record_report(&mut self, report: &RolloutReport, now: Instant) {
        let is_own = report.service == self.service && report.target == self.target;
        if is_own && self.fleet.record(report.clone(), now) {
            let vm = (report.vm.clone(), report.incarnation);
            self.reported_at.insert(vm, now);
        }
    }

    /// Makes the step that is due now.
    pub(super) fn pass(&mut self, view: &OrderView, now: Instant) -> PassResult {
        let mut result = PassResult::default();
        let concluded = view.stored.filter(|state| state.is_final()).or(view.known);
        let step = match concluded {
            Some(_) => None,
            None => self.next_step(now),
        };
        if let Some(step) = step
            && self.step != Some(step)
        {
            result.changed = Some(step);
            let earlier = self.step.and_then(|step| step.reason);
            result.bad_reason = step.reason.filter(|_| earlier.is_none());
            self.step = Some(step);
        }
        let conclusion = concluded.or(step.and_then(|step| step.conclusion));
        self.share_permille = match (conclusion, step) {
            (Some(RolloutState::Done), _) => 1_000,
            (Some(RolloutState::RolledBack), _) => 0,
            (_, Some(step)) => step.share_permille,
            (_, None) => 0,
        };
        if concluded.is_some() {
            self.concluded_at.get_or_insert(now);
        }
        result.write = self.due_write(view, conclusion.unwrap_or(RolloutState::Running), now);
        result
    }

    /// Returns the step of the plan once all VMs have had the time to report to this holder.
    fn next_step(&mut self, now: Instant) -> Option<RolloutStep> {
        let settle_time = self.settings.report_interval + SETTLE_MARGIN;
        let is_settled = now.saturating_sub(self.since) >= settle_time;
        if !self.is_claimed || !is_settled || self.reported_at.is_empty() {
            return None;
        }
        let contact_timeout = self.settings.contact_timeout;
        self.reported_at
            .retain(|_, at| now.saturating_sub(*at) < contact_timeout);
        self.fleet.set_members(self.reported_at.keys().cloned());
        let elapsed = self.fleet.elapsed(now);
        Some(self.plan.next(&self.fleet, elapsed, now))
    }

    /// Returns the status to write, if the store lacks it or this holder has not written any.
    fn due_write(
        &mut self,
        view: &OrderView,
        state: RolloutState,
        now: Instant,
    ) -> Option<StatusWrite> {
        let stored = match self.written {
            Some((state, revision)) if revision > view.revision => Some(state),
            _ => view.stored,
        };
        // A conclusion in the store is never replaced.
        let is_concluded = stored.is_some_and(RolloutState::is_final);
        let is_due = !is_concluded && (stored != Some(state) || !self.is_claimed);
        if !is_due || self.is_writing || now < self.write_after {
            return None;
        }
        self.is_writing = true;
        let written = self.written.map_or(0, |(_, revision)| revision);
        Some(StatusWrite {
            status: RolloutStatus {
                state,
                target: self.target.clone(),
            },
            expected: view.revision.max(written),
        })
    }

    /// Records the end of a write; `applied` is the object's revision if the store accepted it.
    pub(super) fn record_write(
        &mut self,
        applied: Option<ObjectVersion>,
        state: RolloutState,
        now: Instant,
    ) {
        self.is_writing = false;
        match applied {
            Some(revision) => {
                self.is_claimed = true;
                self.failed_writes = 0;
                self.written = Some((state, revision));
            }
            None => {
                let doublings = self.failed_writes.min(WRITE_RETRY_DOUBLINGS);
                self.write_after = now + WRITE_RETRY_DELAY * 2_u32.pow(doublings);
                self.failed_writes += 1;
            }
        }
    }

    /// Returns how far the rollout is.
    pub(super) fn progress(&self, now: Instant) -> RolloutProgress {
        RolloutProgress {
            service: self.service.clone(),
            target: self.target.clone(),
            share_permille: self.share_permille,
            sent: self.fleet.sent(),
            sent_to_target: self.fleet.sent_to_target(),
            elapsed_ms: self.fleet.elapsed(now).as_millis() as u64,
        }
    }

    /// Returns the share to grant now, if a grant is due.
    pub(super) fn grant_due(&mut self, interval: Duration, now: Instant) -> Option<u16> {
        let time_max = self.settings.contact_timeout * CONCLUDED_GRANTS_TIMEOUTS;
        let is_over = self
            .concluded_at
            .is_some_and(|at| now.saturating_sub(at) >= time_max);
        let is_changed = self.granted_share_permille != Some(self.share_permille);
        let is_old = self
            .granted_at
            .is_none_or(|at| now.saturating_sub(at) >= interval);
        if is_over || !(is_changed || is_old) {
            return None;
        }
        self.granted_at = Some(now);
        self.granted_share_permille = Some(self.share_permille);
        Some(self.share_permille)
    }
}

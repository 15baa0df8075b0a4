//! Steps of a rollout: a small share, a larger one, then all requests.
//!
//! The share grows with the evidence, and only as far as the requests that may still be exposed
//! cover finding the target bad at that share. A plan keeps nothing that the reports do not show,
//! apart from its conclusion: a successor's plan takes the same steps from the same reports.

use std::time::Duration;

use super::ALL_PERMILLE;
use super::exposure::Exposure;
use super::fleet::{Drain, FleetCounts};
use super::model::{RolloutPlanSettings, RolloutState};
use super::verdict::{BadReason, Evidence, weigh};
use crate::clock::Instant;

/// Parts of the time allowed: the old version is observed alone, the share may be widened, full load
/// may begin, it begins even if the exposure limit does not cover it, less evidence is required, none
/// is, a doubtful target is no longer waited for, and neither is one under load.
const OBSERVED_UNTIL: f64 = 0.05;
const WIDENED_FROM: f64 = 0.34;
const LOADED_FROM: f64 = 0.45;
const LOADED_AT_ANY_COST_FROM: f64 = 0.5;
const EVIDENCE_FULL_UNTIL: f64 = 0.4;
const EVIDENCE_WAIVED_FROM: f64 = 0.55;
const TRIAL_UNTIL: f64 = 0.8;
const LOAD_UNTIL: f64 = 0.92;

/// Part of the time allowed for which the first share is planned at least.
const TRIAL_PART_MIN: f64 = 0.1;

/// Evidence (as a log-likelihood ratio) required for a larger share, 1 in 100, and that against the
/// target with which one that is not found bad is accepted at the end.
const STEP_NATS: f64 = 4.6;
const DOUBT_NATS: f64 = 1.0;

/// Part of the evidence for a bad target from which the share does not grow.
const SUSPICION_MAX: f64 = 0.4;

/// Part of that evidence which suffices when the exposure limit is used up.
const EXCEEDED_SUSPICION: f64 = 0.6;

/// Part of the time allowed, and bounds of the time, for which nearly all requests go to the target
/// before the handover.
const LOAD_PART: f64 = 0.05;
const LOAD_MIN: Duration = Duration::from_millis(600);
const LOAD_MAX: Duration = Duration::from_millis(3_000);

/// Answers under this load before the handover: those of this time, within these bounds.
const LOAD_ANSWERS_TIME: Duration = Duration::from_millis(700);
const LOAD_ANSWERS_MIN: f64 = 5.0;
const LOAD_ANSWERS_MAX: f64 = 200.0;

/// Share of the target, in thousandths, while it is suspect under load.
const RECHECK_PERMILLE: u16 = 400;

/// Failures of the target from which the time until it must be stopped counts, without those of the
/// upstream with most failures: half of 50, as there may be only two upstreams. With that upstream,
/// good versions with one bad upstream were rolled back.
const BAD_RESPONSES: u64 = 25;

/// What the holder grants and writes now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutStep {
    /// Share of the requests that the target may get, in thousandths.
    pub share_permille: u16,
    /// Whether the old upstreams get nothing new.
    pub is_handover: bool,
    /// Conclusion to write to the store, if there is one; it never changes.
    pub conclusion: Option<RolloutState>,
    /// What was found if this plan concluded [`RolloutState::RolledBack`].
    pub reason: Option<BadReason>,
}

/// Steps of one order, as decided by the holder of the lease.
#[derive(Debug)]
pub struct RolloutPlan {
    within: Duration,
    settings: RolloutPlanSettings,
    started_at: Option<Instant>,
    /// Time at which [`BAD_RESPONSES`] failures of the target were known.
    failures_at: Option<Instant>,
    phase: Phase,
    /// Whether the target was bad under full load, where both versions may have been affected.
    has_alarmed: bool,
    conclusion: Option<RolloutState>,
    reason: Option<BadReason>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// The VMs have not all reported, or the old version has been observed for too short a time.
    Observing,
    /// The target gets a small share.
    Trial { permille: u16 },
    /// The target gets a larger share since this time.
    Widened { permille: u16, since: Instant },
    /// The target gets nearly all requests since this time.
    Loaded { permille: u16, since: Instant },
    /// The target gets all requests since this time.
    Handover { since: Instant },
}

/// What is known at one call.
struct Situation<'a> {
    fleet: &'a FleetCounts,
    elapsed: Duration,
    now: Instant,
    /// Time allowed that has passed, as a part.
    progress: f64,
    /// Time allowed for the target, which may have registered late.
    span: Duration,
    exposure: Exposure,
    evidence: Evidence,
    /// Evidence for the target from VMs that apply the present share.
    load_evidence: Evidence,
}

impl RolloutPlan {
    /// Creates the plan of an order. `conclusion` is the one that the store already has.
    pub fn new(
        within: Duration,
        conclusion: Option<RolloutState>,
        settings: RolloutPlanSettings,
    ) -> Self {
        Self {
            within,
            settings,
            started_at: None,
            failures_at: None,
            phase: Phase::Observing,
            has_alarmed: false,
            conclusion: conclusion.filter(|state| *state != RolloutState::Running),
            reason: None,
        }
    }

    /// Returns the step to take now. `elapsed` is the time since the order, as in
    /// [`FleetCounts::elapsed`].
    pub fn next(&mut self, fleet: &FleetCounts, elapsed: Duration, now: Instant) -> RolloutStep {
        self.started_at.get_or_insert(now);
        if self.conclusion.is_none() {
            let situation = self.situation(fleet, elapsed, now);
            if let Some(reason) = self.bad_reason(&situation) {
                self.roll_back(reason);
            } else {
                self.advance(&situation);
            }
        }
        let share_permille = match self.conclusion {
            Some(RolloutState::Done) => ALL_PERMILLE,
            Some(_) => 0,
            None => self.phase.permille(),
        };
        RolloutStep {
            share_permille,
            is_handover: share_permille == ALL_PERMILLE,
            conclusion: self.conclusion,
            reason: self.reason,
        }
    }

    /// Returns why the target is bad, if it is. Less evidence suffices when the time in which a bad
    /// target must be stopped after its 50th bad response is nearly over.
    fn bad_reason(&mut self, situation: &Situation<'_>) -> Option<BadReason> {
        let settings = &self.settings;
        let evidence = &situation.evidence;
        if situation.fleet.target_failures() < BAD_RESPONSES {
            return evidence.bad;
        }
        let failures_at = *self.failures_at.get_or_insert(situation.now);
        let delays = (settings.report_interval + settings.grant_interval) * 2;
        let time = settings.rollback_time.saturating_sub(delays);
        let is_due = situation.now.saturating_sub(failures_at) >= time;
        let is_suspect =
            is_due && evidence.suspicion >= EXCEEDED_SUSPICION && evidence.good_nats < 0.0;
        evidence.bad.or(evidence.suspect.filter(|_| is_suspect))
    }

    fn roll_back(&mut self, reason: BadReason) {
        self.conclusion = Some(RolloutState::RolledBack);
        self.reason = Some(reason);
    }

    fn situation<'a>(
        &self,
        fleet: &'a FleetCounts,
        elapsed: Duration,
        now: Instant,
    ) -> Situation<'a> {
        let settings = &self.settings;
        let (start, span) = self.target_span(fleet, elapsed, now);
        let progress = elapsed.saturating_sub(start).as_secs_f64() / span.as_secs_f64().max(0.001);
        let left = (start + span).saturating_sub(elapsed);
        let permille = self.phase.permille();
        Situation {
            fleet,
            elapsed,
            now,
            progress,
            span,
            exposure: Exposure::new(fleet, settings, permille, left),
            evidence: weigh(fleet, &settings.verdict, 0),
            load_evidence: weigh(fleet, &settings.verdict, permille),
        }
    }

    /// Returns when the time allowed begins, since the order, and its duration. It begins later if
    /// the target has registered late, and ends later if there is too little time left then.
    fn target_span(
        &self,
        fleet: &FleetCounts,
        elapsed: Duration,
        now: Instant,
    ) -> (Duration, Duration) {
        let since = fleet.target_since(now);
        let start = match since.is_zero() {
            true => elapsed,
            false => elapsed.saturating_sub(since),
        };
        match start {
            start if start <= self.within / 4 => (Duration::ZERO, self.within),
            start if start <= self.within / 2 => (start, self.within - start),
            start => (start, self.within),
        }
    }

    fn advance(&mut self, situation: &Situation<'_>) {
        let fleet = situation.fleet;
        match self.phase {
            Phase::Observing => {
                if self.is_observed(situation) {
                    let left = (LOADED_FROM - situation.progress).max(TRIAL_PART_MIN);
                    let time = situation.span.mul_f64(left);
                    let permille = situation.exposure.trial_permille(time);
                    self.phase = Phase::Trial { permille };
                }
            }
            // No upstream of the target is known: it gets nothing, whatever its share.
            Phase::Trial { .. } if fleet.sent_to_target() == 0 => {}
            Phase::Trial { permille } => self.advance_trial(permille, situation),
            Phase::Widened { since, .. } => {
                let is_reported = situation.now.saturating_sub(since) >= situation.exposure.delay();
                if is_reported && self.may_load(situation) {
                    self.load(situation.exposure.load_permille(), situation);
                } else {
                    self.end_doubtful_trial(situation);
                }
            }
            Phase::Loaded { permille, since } => self.advance_load(permille, since, situation),
            Phase::Handover { since } => self.advance_handover(since, situation),
        }
    }

    fn is_observed(&self, situation: &Situation<'_>) -> bool {
        let waited = situation
            .now
            .saturating_sub(self.started_at.unwrap_or_default());
        let has_reports =
            situation.fleet.is_complete() || waited >= self.settings.report_interval * 2;
        let time = self.within.mul_f64(OBSERVED_UNTIL);
        let time = time.max(self.settings.report_interval + self.settings.report_interval / 4);
        has_reports && situation.elapsed >= time && situation.fleet.sent() > 0
    }

    fn advance_trial(&mut self, permille: u16, situation: &Situation<'_>) {
        if self.may_load(situation) {
            let widened = situation.exposure.widened_permille();
            let is_late = situation.progress >= LOADED_FROM;
            if !is_late && widened >= permille.saturating_mul(2) {
                self.widen(widened, situation);
            } else if is_late {
                self.load(situation.exposure.load_permille(), situation);
            }
        } else if situation.exposure.is_trial_used_up() {
            // What is left is kept for the handover.
            self.phase = Phase::Trial { permille: 0 };
        }
        self.end_doubtful_trial(situation);
    }

    fn widen(&mut self, permille: u16, situation: &Situation<'_>) {
        let since = situation.now;
        self.phase = Phase::Widened { permille, since };
    }

    fn load(&mut self, permille: u16, situation: &Situation<'_>) {
        let since = situation.now;
        self.phase = Phase::Loaded { permille, since };
    }

    fn hand_over(&mut self, situation: &Situation<'_>) {
        let since = situation.now;
        self.phase = Phase::Handover { since };
    }

    fn end_doubtful_trial(&mut self, situation: &Situation<'_>) {
        let is_trial = matches!(self.phase, Phase::Trial { .. } | Phase::Widened { .. });
        if situation.progress >= TRIAL_UNTIL && is_trial {
            self.roll_back(BadReason::TimeExceeded);
        }
    }

    /// Returns whether there is enough evidence for a larger share, and enough exposure left for
    /// all requests if it is time for them.
    fn may_load(&self, situation: &Situation<'_>) -> bool {
        let progress = situation.progress;
        if progress < WIDENED_FROM {
            return false;
        }
        let is_covered =
            situation.exposure.covers_full_load() || progress >= LOADED_AT_ANY_COST_FROM;
        let is_trusted =
            situation.evidence.suspicion < SUSPICION_MAX || progress >= EVIDENCE_WAIVED_FROM;
        is_covered
            && is_trusted
            && situation.evidence.answers > 0.0
            && situation.evidence.good_nats
                >= required_nats(progress, EVIDENCE_FULL_UNTIL, EVIDENCE_WAIVED_FROM)
    }

    fn advance_load(&mut self, permille: u16, since: Instant, situation: &Situation<'_>) {
        let progress = situation.progress;
        let hold = situation.span.mul_f64(LOAD_PART).clamp(LOAD_MIN, LOAD_MAX);
        let is_held = situation.now.saturating_sub(since) >= hold;
        let evidence = &situation.evidence;
        let required = required_nats(progress, EVIDENCE_WAIVED_FROM, TRIAL_UNTIL);
        let answers = situation.exposure.rate_per_s() * LOAD_ANSWERS_TIME.as_secs_f64();
        let answers = answers.clamp(LOAD_ANSWERS_MIN, LOAD_ANSWERS_MAX);
        let is_good = evidence.good_nats >= required
            && situation.load_evidence.good_nats >= 0.0
            && evidence.suspicion < SUSPICION_MAX
            && (situation.load_evidence.answers >= answers || progress >= TRIAL_UNTIL);
        let has_answers = situation.load_evidence.answers >= answers;
        let is_doubtful = evidence.suspicion >= SUSPICION_MAX
            || has_answers
                && situation.load_evidence.good_nats < 0.0
                && evidence.suspicion >= SUSPICION_MAX / 2.0;
        let is_recheck = permille <= RECHECK_PERMILLE;
        if is_held && is_good {
            match is_recheck {
                true => self.load(situation.exposure.load_permille(), situation),
                false => self.hand_over(situation),
            }
        } else if evidence.suspicion >= EXCEEDED_SUSPICION && situation.exposure.is_exceeded() {
            self.roll_back(BadReason::ExposureExceeded);
        } else if is_doubtful && !is_recheck {
            self.recheck(situation);
        } else if progress >= LOAD_UNTIL {
            self.roll_back(BadReason::TimeExceeded);
        }
    }

    /// Lowers the share, as the target looks bad under load and both versions may be affected; the
    /// second time it is bad.
    fn recheck(&mut self, situation: &Situation<'_>) {
        if self.has_alarmed {
            return self.roll_back(BadReason::UnderFullLoad);
        }
        self.has_alarmed = true;
        self.load(RECHECK_PERMILLE, situation);
    }

    fn advance_handover(&mut self, since: Instant, situation: &Situation<'_>) {
        if situation.evidence.alarm >= 1.0 {
            return self.recheck(situation);
        }
        let settings = &self.settings;
        let drain = situation
            .fleet
            .drain(since, settings.contact_timeout, situation.now);
        let is_drained = match drain {
            Drain::Complete => true,
            Drain::SilentOnly => situation.progress >= TRIAL_UNTIL,
            Drain::Incomplete => false,
        };
        // Each VM has reported under full load, as it is drained only then.
        if is_drained {
            self.conclusion = Some(RolloutState::Done);
        }
    }
}

impl Phase {
    fn permille(self) -> u16 {
        match self {
            Self::Observing => 0,
            Self::Trial { permille }
            | Self::Widened { permille, .. }
            | Self::Loaded { permille, .. } => permille,
            Self::Handover { .. } => ALL_PERMILLE,
        }
    }
}

/// Returns the evidence required for the next step: [`STEP_NATS`] until `from`, then falling to
/// none at `to`, and beyond to what [`DOUBT_NATS`] accepts.
fn required_nats(progress: f64, from: f64, to: f64) -> f64 {
    let part = ((to - progress) / (to - from)).clamp(0.0, 1.0);
    match part > 0.0 {
        true => STEP_NATS * part,
        false => -DOUBT_NATS,
    }
}

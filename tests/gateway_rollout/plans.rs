//! Whole rollouts, and counted rates of false conclusions.

use std::time::Duration;

use celerylever::gateway::{
    FleetCounts, GrantBook, RequestLog, RequestOutcome, RolloutGrant, RolloutPlan,
    RolloutPlanSettings, RolloutState, RolloutStep, SentTo, route_hash,
};

use super::replay::{Fault, Outcome, Scenario, replay};

const GOOD: Option<Fault> = None;

fn failing(failures: f64) -> Option<Fault> {
    Some(Fault {
        failures,
        ..Fault::default()
    })
}

fn slow(slowness: f64) -> Option<Fault> {
    Some(Fault {
        slowness,
        ..Fault::default()
    })
}

fn fleet(vms: usize, rate_per_s: f64, within_ms: u64) -> Scenario {
    Scenario {
        vms,
        rate_per_s,
        within_ms,
        ..Scenario::default()
    }
}

fn outcomes(scenario: &Scenario, seeds: u64) -> Vec<Outcome> {
    (0..seeds).map(|seed| replay(scenario, seed)).collect()
}

fn count(outcomes: &[Outcome], state: RolloutState) -> usize {
    let state = Some(state);
    outcomes
        .iter()
        .filter(|outcome| outcome.conclusion == state)
        .count()
}

/// Guards against good versions that are rolled back, or done late, whatever the fleet and its load.
#[rstest::rstest]
#[case(fleet(6, 10.0, 12_000), 40, 9_600)]
#[case(fleet(80, 300.0, 12_000), 20, 9_000)]
#[case(fleet(80, 1_000.0, 30_000), 4, 18_000)]
#[case(fleet(300, 3_000.0, 12_000), 3, 9_000)]
fn good_versions_are_done_in_time(
    #[case] scenario: Scenario,
    #[case] seeds: u64,
    #[case] done_by_ms: u64,
) {
    for outcome in outcomes(&scenario, seeds) {
        assert_eq!(outcome.conclusion, Some(RolloutState::Done), "{outcome:?}");
        assert!(outcome.concluded_at_ms <= done_by_ms, "{outcome:?}");
    }
}

fn assert_rolled_back_within_limits(scenario: &Scenario, seeds: u64) {
    for outcome in outcomes(scenario, seeds) {
        assert_eq!(
            outcome.conclusion,
            Some(RolloutState::RolledBack),
            "{outcome:?}"
        );
        assert!(outcome.excess() <= 0.0, "{outcome:?}");
        assert!(outcome.after_bad_ms <= 5_000, "{outcome:?}");
    }
}

/// Guards against bad versions that are done, exposed to too many requests, or served too long.
#[rstest::rstest]
#[case(failing(0.3))]
#[case(failing(0.6))]
#[case(slow(3.0))]
#[case(slow(6.0))]
fn bad_versions_are_rolled_back_within_the_exposure_limit(#[case] target: Option<Fault>) {
    for (vms, rate_per_s, seeds) in [(6, 100.0, 20), (80, 1_000.0, 5), (300, 3_000.0, 2)] {
        let scenario = Scenario {
            target,
            ..fleet(vms, rate_per_s, 12_000)
        };
        assert_rolled_back_within_limits(&scenario, seeds);
    }
}

/// Guards against a version that turns bad after a while, under load, or on one route only.
#[rstest::rstest]
#[case(Fault { from_ms: 4_000, failures: 0.4, ..Fault::default() })]
#[case(Fault { permille_min: 700, failures: 0.4, ..Fault::default() })]
#[case(Fault { permille_min: 700, slowness: 4.0, ..Fault::default() })]
#[case(Fault { route: Some(1), failures: 0.4, ..Fault::default() })]
#[case(Fault { route: Some(2), slowness: 5.0, ..Fault::default() })]
fn versions_that_are_bad_only_sometimes_are_rolled_back(#[case] fault: Fault) {
    for (vms, rate_per_s, seeds) in [(80, 1_000.0, 5), (300, 3_000.0, 2)] {
        let scenario = Scenario {
            target: Some(fault),
            ..fleet(vms, rate_per_s, 12_000)
        };
        assert_rolled_back_within_limits(&scenario, seeds);
    }
}

/// Guards against the same versions where the exposure limit allows few requests.
#[rstest::rstest]
fn versions_that_are_bad_only_sometimes_are_rolled_back_at_low_rates(
    #[values((6, 100.0), (80, 300.0))] (vms, rate_per_s): (usize, f64),
    #[values(
        Fault { permille_min: 700, failures: 0.3, ..Fault::default() },
        Fault { route: Some(2), failures: 0.3, ..Fault::default() }
    )]
    fault: Fault,
) {
    let scenario = Scenario {
        target: Some(fault),
        ..fleet(vms, rate_per_s, 12_000)
    };
    assert_rolled_back_within_limits(&scenario, 20);
}

/// Guards against versions that fail and are done at ten requests a second.
#[test]
fn a_failing_version_is_rolled_back_at_ten_requests_a_second() {
    let scenario = Scenario {
        target: failing(0.2),
        ..fleet(6, 10.0, 12_000)
    };
    assert_rolled_back_within_limits(&scenario, 20);
}

/// Guards against a good version that is rolled back for what affects the old one alike, or for one
/// bad upstream.
#[rstest::rstest]
#[case(GOOD, Some(Fault { from_ms: 2_500, until_ms: 4_000, failures: 0.4, ..Fault::default() }))]
#[case(GOOD, Some(Fault { from_ms: 2_500, until_ms: 4_000, slowness: 4.0, ..Fault::default() }))]
#[case(Some(Fault { upstream: Some(1), failures: 0.6, ..Fault::default() }), None)]
#[case(Some(Fault { upstream: Some(1), slowness: 5.0, ..Fault::default() }), None)]
#[case(slow(1.3), None)]
fn disturbances_do_not_make_a_good_version_bad(
    #[case] target: Option<Fault>,
    #[case] both: Option<Fault>,
) {
    for (vms, rate_per_s, seeds) in [(80, 300.0, 10), (300, 3_000.0, 2)] {
        let scenario = Scenario {
            target,
            both,
            ..fleet(vms, rate_per_s, 12_000)
        };
        let outcomes = outcomes(&scenario, seeds);
        assert_eq!(
            count(&outcomes, RolloutState::Done),
            outcomes.len(),
            "{outcomes:?}"
        );
    }
}

/// Guards against a successor that starts over or loses what the predecessor's VMs have counted.
#[rstest::rstest]
#[case(GOOD, RolloutState::Done)]
#[case(failing(0.3), RolloutState::RolledBack)]
fn a_successor_continues(#[case] target: Option<Fault>, #[case] expected: RolloutState) {
    for successor_at_ms in [1_500, 4_000, 5_500] {
        let scenario = Scenario {
            target,
            successor_at_ms: Some(successor_at_ms),
            ..fleet(80, 1_000.0, 12_000)
        };
        for outcome in outcomes(&scenario, 4) {
            assert_eq!(outcome.conclusion, Some(expected), "{outcome:?}");
            assert!(outcome.concluded_at_ms <= 9_600, "{outcome:?}");
        }
    }
}

/// Two VMs that report every 500 ms under the share that the plan gave last.
struct Reports {
    logs: Vec<RequestLog>,
    grants: Vec<GrantBook>,
    fleet: FleetCounts,
    plan: RolloutPlan,
    now: Duration,
}

impl Reports {
    fn new() -> Self {
        let log = |_| RequestLog::new("lookup".into(), "v2".into(), Duration::ZERO);
        let grants = |_| GrantBook::new(Duration::from_millis(1_500));
        let settings = RolloutPlanSettings::default();
        Self {
            logs: (0..2).map(log).collect(),
            grants: (0..2).map(grants).collect(),
            fleet: FleetCounts::new(),
            plan: RolloutPlan::new(Duration::from_secs(12), None, settings),
            now: Duration::ZERO,
        }
    }

    /// Lets half a second pass in which each VM sends ten requests, reports (unless it is `silent`)
    /// and has `old_in_flight` requests at old upstreams.
    fn advance(&mut self, silent: Option<usize>, old_in_flight: [u32; 2]) -> RolloutStep {
        self.now += Duration::from_millis(500);
        let step = self
            .plan
            .next(&self.fleet, self.fleet.elapsed(self.now), self.now);
        for (vm, old_in_flight) in old_in_flight.into_iter().enumerate() {
            if silent == Some(vm) {
                continue;
            }
            let (log, grants) = (&mut self.logs[vm], &mut self.grants[vm]);
            let grant = RolloutGrant {
                service: "lookup".into(),
                target: "v2".into(),
                share_permille: step.share_permille,
                fencing: 1,
                sequence: self.now.as_millis() as u32,
            };
            grants.record(grant, self.now);
            for number in 0..20_u16 {
                let is_target = number * 50 < step.share_permille;
                let sent_to = match is_target {
                    true => SentTo::Target(["a", "b"][usize::from(number) % 2]),
                    false => SentTo::Old,
                };
                let request = log.start(route_hash("/"), sent_to, self.now);
                let answered_at = self.now + Duration::from_millis(30);
                log.conclude(request, RequestOutcome::Success, answered_at);
            }
            let now = self.now + Duration::from_millis(100);
            let report = log.report(format!("vm-{vm}"), 1, old_in_flight, grants, now);
            self.fleet.record(report, now);
        }
        step
    }
}

/// Guards against old upstreams that are stopped while requests or streams are in flight there, or
/// while a VM still sends them new ones.
#[test]
fn a_rollout_is_done_only_when_nothing_is_in_flight_at_old_upstreams() {
    let mut reports = Reports::new();
    for _ in 0..30 {
        let step = reports.advance(None, [0, 1]);
        assert_eq!(step.conclusion, None, "{:?}", reports.now);
    }
    assert!(reports.advance(None, [0, 1]).is_handover);
    reports.advance(None, [0, 0]);
    let step = reports.advance(None, [0, 0]);
    assert_eq!(step.conclusion, Some(RolloutState::Done));
}

/// Guards against a VM without contact that blocks a rollout forever, and against one that is
/// passed over at once although it may still have requests at old upstreams.
#[rstest::rstest]
#[case(0, Duration::from_secs(9))]
#[case(3, Duration::from_secs(11))]
fn a_silent_vm_delays_a_rollout_only_for_a_while(
    #[case] old_in_flight: u32,
    #[case] done_by: Duration,
) {
    let mut reports = Reports::new();
    let mut conclusion = None;
    while conclusion.is_none() && reports.now < Duration::from_secs(12) {
        let is_silent = reports.now >= Duration::from_secs(3);
        let step = reports.advance(is_silent.then_some(1), [0, old_in_flight]);
        conclusion = step.conclusion;
    }
    assert_eq!(conclusion, Some(RolloutState::Done));
    let done_at = reports.now;
    let earliest = Duration::from_secs(if old_in_flight > 0 { 9 } else { 6 });
    assert!(earliest <= done_at && done_at <= done_by, "{done_at:?}");
}

/// Guards against a verdict that is reversed, by the same holder or by a successor that has read it.
#[test]
fn a_conclusion_never_changes() {
    let mut reports = Reports::new();
    for conclusion in [RolloutState::Done, RolloutState::RolledBack] {
        let settings = RolloutPlanSettings::default();
        reports.plan = RolloutPlan::new(Duration::from_secs(12), Some(conclusion), settings);
        for _ in 0..4 {
            let step = reports.advance(None, [0, 0]);
            assert_eq!(step.conclusion, Some(conclusion));
            assert_eq!(step.is_handover, conclusion == RolloutState::Done);
        }
    }
}

/// Guards against a rollout to a version without upstreams that is concluded.
#[test]
fn a_rollout_to_an_unknown_version_stays_running() {
    let mut fleet = FleetCounts::new();
    let settings = RolloutPlanSettings::default();
    let mut plan = RolloutPlan::new(Duration::from_secs(12), None, settings);
    let mut log = RequestLog::new("lookup".into(), "v9".into(), Duration::ZERO);
    let grants = GrantBook::new(Duration::from_millis(1_500));
    for half_seconds in 1..60 {
        let now = Duration::from_millis(500 * half_seconds);
        let request = log.start(route_hash("/"), SentTo::Old, now);
        log.conclude(request, RequestOutcome::Success, now);
        fleet.record(log.report("vm-0".into(), 1, 0, &grants, now), now);
        assert_eq!(plan.next(&fleet, fleet.elapsed(now), now).conclusion, None);
    }
}

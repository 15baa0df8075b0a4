//! Replay of a rollout without a network: arrivals spread over VMs, and delayed reports and grants.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use celerylever::gateway::{
    BadReason, FleetCounts, GrantBook, RequestLog, RequestOutcome, RolloutGrant, RolloutPlan,
    RolloutPlanSettings, RolloutReport, RolloutState, SentRequest, SentTo, route_hash,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "lookup";
const TARGET: &str = "v2";
const UPSTREAMS: [&str; 3] = ["new-a", "new-b", "new-c"];

/// Interval at which the holder decides, as the wiring does.
const DECISION_INTERVAL_MS: u64 = 50;

/// What is wrong with responses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    /// Share that fails.
    pub(crate) failures: f64,
    /// Factor on response times.
    pub(crate) slowness: f64,
    /// Time since the order from which this applies, and until which it does.
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
    /// Only while the target's share is at least this.
    pub(crate) permille_min: u16,
    /// Only on this route.
    pub(crate) route: Option<usize>,
    /// Only at this upstream of the target.
    pub(crate) upstream: Option<usize>,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            failures: 0.0,
            slowness: 1.0,
            from_ms: 0,
            until_ms: u64::MAX,
            permille_min: 0,
            route: None,
            upstream: None,
        }
    }
}

/// One rollout.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) vms: usize,
    pub(crate) rate_per_s: f64,
    pub(crate) within_ms: u64,
    /// Share of requests, share of failures and middle response time, by route.
    pub(crate) routes: Vec<(f64, f64, f64)>,
    /// Spread of response times (of their logarithm).
    pub(crate) spread: f64,
    /// Faults of the target.
    pub(crate) target: Option<Fault>,
    /// Fault of both versions.
    pub(crate) both: Option<Fault>,
    /// Maximum delays of a report and of a grant.
    pub(crate) report_delay_ms: u64,
    pub(crate) grant_delay_ms: u64,
    /// Share of datagrams lost.
    pub(crate) loss: f64,
    /// Time at which a successor replaces the holder.
    pub(crate) successor_at_ms: Option<u64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            vms: 80,
            rate_per_s: 1_000.0,
            within_ms: 12_000,
            routes: vec![(0.6, 0.0, 40.0), (0.25, 0.08, 15.0), (0.15, 0.02, 120.0)],
            spread: 0.4,
            target: None,
            both: None,
            report_delay_ms: 40,
            grant_delay_ms: 40,
            loss: 0.01,
            successor_at_ms: None,
        }
    }
}

/// What became of a rollout.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    pub(crate) conclusion: Option<RolloutState>,
    pub(crate) reason: Option<BadReason>,
    pub(crate) concluded_at_ms: u64,
    /// Requests until the end of the time allowed, and those of them that the target got.
    pub(crate) sent: u64,
    pub(crate) exposed: u64,
    /// Time from the target's 50th bad response to the last request sent to it.
    pub(crate) after_bad_ms: u64,
}

impl Outcome {
    /// Returns the requests beyond the exposure limit.
    pub(crate) fn excess(&self) -> f64 {
        self.exposed as f64 - 0.1 * self.sent as f64 - 50.0
    }
}

#[derive(Debug)]
enum Event {
    Response(usize, SentRequest, RequestOutcome, bool),
    Report(usize),
    ReportArrival(Box<RolloutReport>),
    GrantArrival(usize, RolloutGrant),
    Decision,
    GrantRound,
}

struct Vm {
    log: RequestLog,
    grants: GrantBook,
}

struct Replay<'a> {
    scenario: &'a Scenario,
    random: StdRng,
    vms: Vec<Vm>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: std::collections::HashMap<u64, Event>,
    next_event: u64,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Replays a rollout.
pub(crate) fn replay(scenario: &Scenario, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let report_interval_ms = 500.max(2 * scenario.vms as u64);
    let vms = (0..scenario.vms).map(|_| Vm {
        log: RequestLog::new(SERVICE.into(), TARGET.into(), Duration::ZERO),
        grants: GrantBook::new(ms(1_500)),
    });
    let vms = vms.collect();
    let phases: Vec<_> = (0..scenario.vms)
        .map(|_| random.random_range(1..=report_interval_ms))
        .collect();
    let mut replay = Replay {
        scenario,
        random,
        vms,
        events: BinaryHeap::new(),
        pending: std::collections::HashMap::new(),
        next_event: 0,
    };
    for (vm, phase) in phases.into_iter().enumerate() {
        replay.push(phase, Event::Report(vm));
    }
    replay.push(DECISION_INTERVAL_MS, Event::Decision);
    replay.push(1, Event::GrantRound);
    replay.run(report_interval_ms)
}

impl Replay<'_> {
    fn push(&mut self, at: u64, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.pending.insert(id, event);
        self.events.push(Reverse((at, id)));
    }

    fn run(&mut self, report_interval_ms: u64) -> Outcome {
        let scenario = self.scenario;
        let settings = RolloutPlanSettings {
            report_interval: ms(report_interval_ms),
            ..RolloutPlanSettings::default()
        };
        let new_plan = || RolloutPlan::new(ms(scenario.within_ms), None, settings);
        let (mut plan, mut fleet) = (new_plan(), FleetCounts::new());
        let (mut share, mut sequence, mut fencing) = (0, 0, 1);
        let mut result = Outcome {
            conclusion: None,
            reason: None,
            concluded_at_ms: 0,
            sent: 0,
            exposed: 0,
            after_bad_ms: 0,
        };
        let mut bad_responses = 0;
        let mut bad_at_ms = None;
        let mut next_arrival = 0.0;
        loop {
            let next_event = self.events.peek().map_or(u64::MAX, |event| event.0.0);
            if next_arrival as u64 <= next_event {
                let now = next_arrival as u64;
                if now >= scenario.within_ms {
                    return result;
                }
                result.sent += 1;
                if self.arrive(now) {
                    result.exposed += 1;
                    if let Some(bad_at) = bad_at_ms {
                        result.after_bad_ms = now - bad_at;
                    }
                }
                let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
                next_arrival += -uniform.ln() * 1_000.0 / scenario.rate_per_s;
                continue;
            }
            let Some(Reverse((now, id))) = self.events.pop() else {
                return result;
            };
            let event = self.pending.remove(&id).expect("event is pending");
            match event {
                Event::Response(vm, request, outcome, is_bad) => {
                    self.vms[vm].log.conclude(request, outcome, ms(now));
                    bad_responses += u32::from(is_bad);
                    if bad_responses >= 50 {
                        bad_at_ms.get_or_insert(now);
                    }
                }
                Event::Report(vm) => {
                    let Vm { log, grants } = &self.vms[vm];
                    let report = log.report(format!("vm-{vm}"), 1, 0, grants, ms(now));
                    if !self.is_lost() {
                        let delay = self.random.random_range(1..=scenario.report_delay_ms);
                        self.push(now + delay, Event::ReportArrival(Box::new(report)));
                    }
                    self.push(now + report_interval_ms, Event::Report(vm));
                }
                Event::ReportArrival(report) => {
                    fleet.record(*report, ms(now));
                }
                Event::GrantArrival(vm, grant) => {
                    self.vms[vm].grants.record(grant, ms(now));
                }
                Event::Decision => {
                    if scenario.successor_at_ms.is_some_and(|at| now >= at) && fencing == 1 {
                        (plan, fleet, fencing) = (new_plan(), FleetCounts::new(), 2);
                    }
                    let step = plan.next(&fleet, fleet.elapsed(ms(now)), ms(now));
                    if step.share_permille != share {
                        share = step.share_permille;
                        sequence += 1;
                        self.grant(share, fencing, sequence, now);
                    }
                    if step.conclusion.is_some() && result.conclusion.is_none() {
                        result.conclusion = step.conclusion;
                        result.reason = step.reason;
                        result.concluded_at_ms = now;
                    }
                    self.push(now + DECISION_INTERVAL_MS, Event::Decision);
                }
                Event::GrantRound => {
                    sequence += 1;
                    self.grant(share, fencing, sequence, now);
                    self.push(now + 500, Event::GrantRound);
                }
            }
        }
    }

    fn grant(&mut self, share_permille: u16, fencing: u64, sequence: u32, now: u64) {
        for vm in 0..self.vms.len() {
            if self.is_lost() {
                continue;
            }
            let delay = self.random.random_range(1..=self.scenario.grant_delay_ms);
            let grant = RolloutGrant {
                service: SERVICE.into(),
                target: TARGET.into(),
                share_permille,
                fencing,
                sequence,
            };
            self.push(now + delay, Event::GrantArrival(vm, grant));
        }
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_bool(self.scenario.loss)
    }

    /// Sends a request; returns whether the target got it.
    fn arrive(&mut self, now: u64) -> bool {
        let scenario = self.scenario;
        let vm = self.random.random_range(0..self.vms.len());
        let mut drawn = self.random.random_range(0.0..1.0);
        let route = scenario.routes.iter().position(|(share, ..)| {
            drawn -= share;
            drawn < 0.0
        });
        let route = route.unwrap_or(0);
        let (_, base_failures, median_ms) = scenario.routes[route];
        let permille = self.vms[vm].grants.share(SERVICE, TARGET, ms(now));
        let is_target = self.random.random_range(0..1_000) < permille;
        let upstream = self.random.random_range(0..UPSTREAMS.len());
        let applies = |fault: &Fault| {
            (fault.from_ms..fault.until_ms).contains(&now)
                && permille >= fault.permille_min
                && fault.route.is_none_or(|only| only == route)
                && fault.upstream.is_none_or(|only| only == upstream)
        };
        let target = scenario.target.filter(|fault| is_target && applies(fault));
        let both = scenario.both.filter(applies);
        let (mut successes, mut time_ms) = (1.0 - base_failures, median_ms);
        for fault in target.into_iter().chain(both) {
            successes *= 1.0 - fault.failures;
            time_ms *= fault.slowness;
        }
        let normal: f64 = (0..12)
            .map(|_| self.random.random_range(0.0..1.0))
            .sum::<f64>()
            - 6.0;
        time_ms *= (normal * scenario.spread).exp();
        let is_failure = !self.random.random_bool(successes);
        // Half of the failures come at once, the others as late as responses.
        if is_failure && self.random.random_bool(0.5) {
            time_ms = 3.0;
        }
        let sent_to = match is_target {
            true => SentTo::Target(UPSTREAMS[upstream]),
            false => SentTo::Old,
        };
        let route = route_hash(&route.to_string());
        let request = self.vms[vm].log.start(route, sent_to, ms(now));
        let outcome = match is_failure {
            true => RequestOutcome::Failure,
            false => RequestOutcome::Success,
        };
        let is_bad = is_target && (is_failure || target.is_some_and(|fault| fault.slowness > 1.0));
        let ended = now + time_ms.max(1.0) as u64;
        self.push(ended, Event::Response(vm, request, outcome, is_bad));
        is_target
    }
}

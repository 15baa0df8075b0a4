//! Comparison of the target with the old version by sequential probability ratio tests.
//!
//! For each route and over all of them there are tests of the failures, of the times to the first
//! byte and of refusals. A test restarts whenever its sum is below zero, so that a target that
//! turns bad later is found as fast as one that is bad at once. One upstream of the target that is
//! worse than the others does not make the version bad: the others must be found worse as well.

use std::collections::{BTreeMap, BTreeSet};

use super::counts::RouteHash;
use super::fleet::FleetCounts;
use super::scores::{FAILURES, Score, TESTS, TIMES};

/// Probability that one upstream of a good target is bad, as assumed before any answer. With 0.05, a
/// replayed good version with one bad upstream was found bad by what its other upstreams failed.
const BAD_UPSTREAM_SHARE: f64 = 0.3;

/// Share of the target's and the old version's answers from which a route must be found good.
const ROUTE_SHARE_MIN: f64 = 0.02;

/// Part of the evidence required over all routes that each of them must have, and evidence against
/// it that is accepted where none is required. A route has few answers.
const ROUTE_EVIDENCE_PART: f64 = 0.7;
const ROUTE_DOUBT_NATS: f64 = 1.5;

/// Error rates of [`judge`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VerdictSettings {
    /// Probability that a good version is judged bad, at most.
    pub false_bad: f64,
    /// Probability that a bad version is judged good, at most.
    pub false_good: f64,
}

impl Default for VerdictSettings {
    fn default() -> Self {
        Self {
            false_bad: 0.001,
            false_good: 0.001,
        }
    }
}

/// What was found bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadReason {
    /// More failures than at the old version on a route, or over all routes if `None`.
    Failures(Option<RouteHash>),
    /// Slower responses than at the old version on a route, or over all routes if `None`.
    Slow(Option<RouteHash>),
    /// Refusals, where the old version refuses nothing.
    Refusals(Option<RouteHash>),
    /// More failures, slower responses or refusals twice whenever it got all requests.
    UnderFullLoad,
    /// The exposure limit is used up, and the evidence is against the target.
    ExposureExceeded,
    /// Too little evidence of a good version at the end of the time allowed.
    TimeExceeded,
}

/// Result of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence does not suffice.
    Undecided,
    /// The target is as good as the old version.
    Good,
    /// The target is worse.
    Bad {
        /// What was found.
        reason: BadReason,
    },
}

/// Evidence for and against the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Evidence {
    /// What was found bad.
    pub(super) bad: Option<BadReason>,
    /// What the highest sum against the target is of.
    pub(super) suspect: Option<BadReason>,
    /// Highest sum against the target, as a part of what it takes to be bad.
    pub(super) suspicion: f64,
    /// Highest sum against the target, as a part of what it takes to be bad, if answers count too
    /// for which there are none of the old version at the same time.
    pub(super) alarm: f64,
    /// Log-likelihood ratio for the target, as the least that any test has.
    pub(super) good_nats: f64,
    /// Answers that this is based on.
    pub(super) answers: f64,
}

/// Compares the target with the old version.
pub fn judge(fleet: &FleetCounts, settings: &VerdictSettings) -> Verdict {
    let evidence = weigh(fleet, settings, 0);
    match evidence.bad {
        Some(reason) => Verdict::Bad { reason },
        None if evidence.good_nats >= (1.0 / settings.false_good).ln() => Verdict::Good,
        None => Verdict::Undecided,
    }
}

/// Weighs all evidence against the target, and the evidence for it of VMs that applied at least the
/// share `permille_min`.
pub(super) fn weigh(
    fleet: &FleetCounts,
    settings: &VerdictSettings,
    permille_min: u16,
) -> Evidence {
    let scores = fleet.scores();
    let waiting = fleet.waiting_nats();
    let all = scores.iter().flatten();
    let routes: BTreeSet<_> = all.clone().map(|score| score.key.route).collect();
    let upstreams: BTreeSet<_> = all.clone().map(|score| score.key.upstream).collect();
    let tests = TESTS * (routes.len() + 1);
    let bad_nats = (tests as f64 / settings.false_bad).ln();
    let rest_nats = bad_nats + BAD_UPSTREAM_SHARE.ln();
    let answers = |route: Option<RouteHash>| -> f64 {
        let scores = all.clone().filter(|score| is_in(score, route));
        scores.map(|score| score.answers).sum()
    };
    let mut evidence = Evidence {
        bad: None,
        suspect: None,
        suspicion: 0.0,
        alarm: 0.0,
        good_nats: f64::MAX,
        answers: 0.0,
    };
    for score in all.clone() {
        if score.key.permille >= permille_min {
            evidence.answers += score.answers;
        }
    }
    let total = answers(None);
    for scope in std::iter::once(None).chain(routes.iter().copied().map(Some)) {
        for test in 0..TESTS {
            let suspicion = |needs_control: bool| {
                let highest = |excluded: Option<u8>| {
                    let sums = Sums {
                        scores: &scores,
                        waiting: &waiting,
                        scope,
                        test,
                        excluded,
                    };
                    sums.highest(needs_control)
                };
                let part = highest(None) / bad_nats;
                let rest = upstreams
                    .iter()
                    .filter(|_| part > 0.0 && upstreams.len() > 1);
                rest.fold(part, |part, upstream| {
                    part.min(highest(Some(*upstream)) / rest_nats)
                })
            };
            evidence.alarm = evidence.alarm.max(suspicion(false));
            let suspicion = suspicion(true);
            if suspicion > evidence.suspicion {
                evidence.suspicion = suspicion;
                evidence.suspect = Some(match test {
                    FAILURES => BadReason::Failures(scope),
                    TIMES => BadReason::Slow(scope),
                    _ => BadReason::Refusals(scope),
                });
            }
        }
        let good_nats = good_nats(&scores, &waiting, scope, permille_min, upstreams.len());
        let good_nats = match scope {
            None => good_nats,
            Some(_) if answers(scope) < ROUTE_SHARE_MIN * total => continue,
            Some(_) => (good_nats + ROUTE_DOUBT_NATS) / ROUTE_EVIDENCE_PART,
        };
        evidence.good_nats = evidence.good_nats.min(good_nats);
    }
    evidence.bad = evidence.suspect.filter(|_| evidence.suspicion >= 1.0);
    evidence
}

fn is_in(score: &Score, scope: Option<RouteHash>) -> bool {
    scope.is_none_or(|route| route == score.key.route)
}

/// Evidence of one test on one route or all of them, without one upstream.
struct Sums<'a> {
    scores: &'a [Vec<Score>],
    waiting: &'a BTreeMap<(RouteHash, u8), f64>,
    scope: Option<RouteHash>,
    test: usize,
    excluded: Option<u8>,
}

impl Sums<'_> {
    /// Returns the highest sum of consecutive slices that ends now.
    ///
    /// Requests that wait are added to a sum that has at least the slice before the open one, as
    /// they were sent together with those that have been answered there.
    fn highest(&self, needs_control: bool) -> f64 {
        let sums = self.scores.iter().map(|slice| {
            let scores = slice.iter().filter(|score| {
                is_in(score, self.scope) && self.excluded != Some(score.key.upstream)
            });
            let nats = scores.map(|score| match (score.has_control, needs_control) {
                (true, _) => score.nats[self.test],
                (false, true) => score.nats[self.test].min(0.0),
                (false, false) => score.raw_nats[self.test],
            });
            nats.sum::<f64>()
        });
        let sums: Vec<f64> = sums.collect();
        let (earlier, last) = sums.split_at(sums.len().saturating_sub(2));
        let highest = earlier
            .iter()
            .fold(0.0_f64, |sum, nats| (sum + nats).max(0.0));
        let waiting = match self.test {
            TIMES => waiting_sum(self.waiting, self.scope, self.excluded),
            _ => 0.0,
        };
        let with_waiting = highest + last.iter().sum::<f64>() + waiting;
        let without = last.iter().fold(highest, |sum, nats| sum.max(0.0) + nats);
        with_waiting.max(without)
    }
}

fn waiting_sum(
    waiting: &BTreeMap<(RouteHash, u8), f64>,
    scope: Option<RouteHash>,
    excluded: Option<u8>,
) -> f64 {
    let waiting = waiting.iter().filter(|((route, upstream), _)| {
        scope.is_none_or(|scope| scope == *route) && excluded != Some(*upstream)
    });
    waiting.map(|(_, nats)| nats).sum()
}

/// Returns the least evidence for the target among the tests of failures and times, without the
/// worst upstream if there are several.
fn good_nats(
    scores: &[Vec<Score>],
    waiting: &BTreeMap<(RouteHash, u8), f64>,
    scope: Option<RouteHash>,
    permille_min: u16,
    upstreams: usize,
) -> f64 {
    let tests = [FAILURES, TIMES].map(|test| {
        let mut sums = BTreeMap::<u8, f64>::new();
        let scores = scores.iter().flatten().filter(|score| is_in(score, scope));
        for score in scores.filter(|score| score.key.permille >= permille_min) {
            *sums.entry(score.key.upstream).or_default() += score.ended_nats[test];
        }
        if test == TIMES {
            for ((route, upstream), nats) in waiting {
                if scope.is_none_or(|scope| scope == *route) {
                    *sums.entry(*upstream).or_default() += nats;
                }
            }
        }
        let worst = sums.values().copied().fold(0.0, f64::max);
        let excluded = if upstreams > 1 { worst } else { 0.0 };
        excluded - sums.values().sum::<f64>()
    });
    tests[0].min(tests[1])
}

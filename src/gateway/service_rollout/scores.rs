//! Log-likelihood ratios of "the target is bad" to "the target is as good as the old version".
//!
//! The old version's answers on the same route in the same slice of time, and up to
//! [`HISTORY_ANSWERS`] earlier ones, say what is expected of the target.

use std::collections::BTreeMap;

use super::ALL_PERMILLE;
use super::counts::RouteHash;
use super::response_times::RESPONSE_TIME_BUCKETS;
use super::slices::{Slice, Tally, TargetKey};

/// Failures of a bad target among what succeeds at the old version. Bad versions fail 20 or more in
/// 100; the test divides halfway between 0 and this share.
const BAD_FAILURE_SHARE: f64 = 0.15;

/// Share of failures assumed of the old version at least and at most.
const OLD_FAILURES_MIN: f64 = 0.01;
const OLD_FAILURES_MAX: f64 = 0.9;

/// Weight and share of failures of what is assumed before the old version has answered.
const PRIOR_ANSWERS: f64 = 2.0;
const PRIOR_FAILURES: f64 = 0.02;

/// Shares of refusals between which the test divides, where the old version refuses nothing.
const GOOD_REFUSAL_SHARE: f64 = 0.05;
const BAD_REFUSAL_SHARE: f64 = 0.4;

/// Half-doublings by which the responses of a bad target are later: three are a factor of 2.8, five
/// one of 5.7.
const BAD_SHIFTS: [usize; 3] = [3, 4, 5];

/// Share of the old version's responses taken to be one bucket later and earlier, so that a target
/// that is a tenth slower and crosses the edge of a bucket is not bad.
const LATER_SHARE: f64 = 0.15;
const EARLIER_SHARE: f64 = 0.05;

/// Share of responses at any time at all, so that a single one proves nothing.
const ANY_TIME_SHARE: f64 = 0.02;

/// Bounds of what one response contributes.
const TIME_NATS_MIN: f64 = -1.5;
const TIME_NATS_MAX: f64 = 2.0;

/// Share of the old version's responses that are later than a request which counts as overdue.
///
/// Younger requests are left out: those in flight are always the slower ones.
const OVERDUE_SHARE: f64 = 0.25;

/// Share of the old version's responses that are later than usual.
const LATE_SHARE: f64 = 0.05;

/// Share of the old version among the answers of a slice from which it serves as a control.
const CONTROL_SHARE: f64 = 0.03;

/// Times of the old version on a route from which its histogram is used.
const TIMES_MIN: f64 = 5.0;

/// Weight of earlier answers of the old version: enough at 10 requests a second, where a slice has
/// five answers, and little at 1,000.
const HISTORY_ANSWERS: f64 = 60.0;

/// Factor by which earlier answers count less from slice to slice.
const HISTORY_DECAY: f64 = 0.93;

/// Log-likelihood ratio that "both versions are affected in this slice" costs against "only the
/// target is", by assumption: one slice in 33.
const DISTURBANCE_NATS: f64 = 3.5;

/// What each response of the old version in the same slice adds to that, if it is as usual.
const UNDISTURBED_NATS: f64 = 0.5;

/// Shares of failures by which both versions may be affected.
const DISTURBED_FAILURES: [f64; 4] = [0.1, 0.2, 0.4, 0.7];

/// Tests.
pub(super) const FAILURES: usize = 0;
pub(super) const TIMES: usize = 1;
pub(super) const TESTS: usize = 3;

/// Evidence of one slice on an upstream of the target.
#[derive(Debug, Clone)]
pub(super) struct Score {
    pub(super) key: TargetKey,
    /// Whether the old version answered enough in the same slice to tell what affects both.
    pub(super) has_control: bool,
    /// Requests that ended well or failed.
    pub(super) answers: f64,
    /// Log-likelihood ratio by test, if nothing affects both versions.
    pub(super) raw_nats: [f64; TESTS],
    /// Log-likelihood ratio by test, where all requests sent count that have not failed yet.
    pub(super) nats: [f64; TESTS],
    /// The same where only requests that have ended count.
    pub(super) ended_nats: [f64; TESTS],
}

/// Earlier answers of the old version by route.
#[derive(Debug, Clone, Default)]
pub(super) struct History {
    routes: BTreeMap<RouteHash, Tally>,
    has_refused: bool,
    /// Slice that was added last.
    last: Slice,
}

/// Log-likelihood ratios of single answers on a route.
struct Ratios {
    /// Share of failures of the old version.
    good: f64,
    failure: f64,
    success: f64,
    times: Option<TimeRatios>,
}

/// Log-likelihood ratios of response times, and of requests that have waited for so long.
struct TimeRatios {
    response: [f64; RESPONSE_TIME_BUCKETS],
    waiting: [f64; RESPONSE_TIME_BUCKETS],
}

impl History {
    /// Adds a slice that is complete.
    pub(super) fn absorb(&mut self, slice: &Slice) {
        for tally in self.routes.values_mut() {
            tally.scale(HISTORY_DECAY);
        }
        for (route, tally) in &slice.old {
            self.has_refused |= tally.refusals > 0.0;
            self.routes.entry(*route).or_default().add(tally, 1.0);
        }
        self.last = slice.clone();
    }

    /// Returns the scores of a slice.
    pub(super) fn score(&self, slice: &Slice) -> Vec<Score> {
        let no_waiting = [0.0; RESPONSE_TIME_BUCKETS];
        let mut ratios = BTreeMap::new();
        let mut target_answers = BTreeMap::<RouteHash, f64>::new();
        for (key, tally) in &slice.target {
            *target_answers.entry(key.route).or_default() += tally.answers();
            ratios
                .entry(key.route)
                .or_insert_with(|| self.ratios(key.route, slice, &no_waiting));
        }
        let has_refused = self.has_refused || slice.old.values().any(|tally| tally.refusals > 0.0);
        let scores = slice.target.iter().map(|(key, tally)| {
            let ratios = &ratios[&key.route];
            let in_time = tally.sent.max(tally.failures) - tally.failures;
            let time_nats = ratios.time_nats(tally);
            let failure_nats = tally.failures * ratios.failure;
            let refusal_nats = match has_refused {
                true => 0.0,
                false => refusal_nats(tally),
            };
            let old_answers = slice.old.get(&key.route).map_or(0.0, Tally::answers);
            let control = old_answers / (old_answers + target_answers[&key.route]).max(1.0);
            let nats = [
                failure_nats + in_time * ratios.success,
                time_nats,
                refusal_nats,
            ];
            Score {
                key: *key,
                has_control: key.permille < ALL_PERMILLE || control >= CONTROL_SHARE,
                answers: tally.answers(),
                nats,
                raw_nats: nats,
                ended_nats: [
                    failure_nats + tally.successes * ratios.success,
                    time_nats,
                    refusal_nats,
                ],
            }
        });
        let mut scores: Vec<_> = scores.collect();
        let disturbed = self.disturbed(slice);
        for (route, ratios) in &ratios {
            let mut target = Tally::default();
            for (_, tally) in slice.target.iter().filter(|(key, _)| key.route == *route) {
                target.add(tally, 1.0);
            }
            let old = slice.old.get(route);
            let old = old.cloned().unwrap_or_default();
            let kept_failures = ratios.disturbance_nats(&target, &old);
            let kept_times = DISTURBANCE_NATS - ratios.time_nats(&old);
            let mut of_route: Vec<_> = scores
                .iter_mut()
                .filter(|score| score.key.route == *route)
                .collect();
            type Nats = fn(&mut Score) -> &mut [f64; TESTS];
            let nats: [Nats; 2] = [|score| &mut score.nats, |score| &mut score.ended_nats];
            for nats in nats {
                for test in [FAILURES, TIMES] {
                    let sum = of_route
                        .iter_mut()
                        .map(|score| nats(score)[test])
                        .sum::<f64>();
                    let kept = match test {
                        FAILURES => sum - kept_failures,
                        _ => sum.min(kept_times),
                    };
                    if sum > 0.0 {
                        // What speaks for an upstream stays: the others may still be good.
                        let against = of_route.iter_mut().map(|score| nats(score)[test].max(0.0));
                        let against = against.sum::<f64>();
                        let kept = kept.max(0.0) * (1.0 - disturbed[test]);
                        let part = (kept + against - sum) / against;
                        for score in &mut of_route {
                            let nats = &mut nats(score)[test];
                            *nats *= if *nats > 0.0 { part } else { 1.0 };
                        }
                    }
                }
            }
        }
        scores
    }

    /// Returns the probabilities that both versions are affected in a slice, by failures and by
    /// slow responses, as the old version's answers on all routes show.
    fn disturbed(&self, slice: &Slice) -> [f64; 2] {
        let mut failure_odds = DISTURBED_FAILURES.map(|_| 0.0);
        let mut time_nats = 0.0;
        let no_slice = Slice::default();
        for (route, tally) in &slice.old {
            // What is usual, without this slice.
            let usual = self.ratios(*route, &no_slice, &[0.0; RESPONSE_TIME_BUCKETS]);
            time_nats += usual.time_nats(tally);
            for (nats, share) in failure_odds.iter_mut().zip(DISTURBED_FAILURES) {
                let disturbed = usual.good + (1.0 - usual.good) * share;
                *nats += tally.failures * (disturbed / usual.good).ln()
                    + tally.successes * ((1.0 - disturbed) / (1.0 - usual.good)).ln();
            }
        }
        let odds = failure_odds.map(f64::exp).iter().sum::<f64>() / failure_odds.len() as f64;
        [odds, time_nats.exp()].map(|odds| {
            let odds = odds.min(1e9) * (-DISTURBANCE_NATS).exp();
            odds / (1.0 + odds)
        })
    }

    /// Returns the log-likelihood ratios of requests that wait at the target for their first byte,
    /// by bucket of their age. `old_waiting` are those that wait at the old version.
    pub(super) fn waiting_ratios(
        &self,
        route: RouteHash,
        slice: &Slice,
        old_waiting: &[f64; RESPONSE_TIME_BUCKETS],
    ) -> [f64; RESPONSE_TIME_BUCKETS] {
        let times = self.ratios(route, slice, old_waiting).times;
        times.map_or([0.0; RESPONSE_TIME_BUCKETS], |times| times.waiting)
    }

    /// Returns what requests that wait at the target can prove at most, as the old version may be
    /// affected alike.
    pub(super) fn waiting_max(&self, route: RouteHash, slice: &Slice) -> f64 {
        let last = self.last.old.get(&route).map_or(0.0, Tally::timed);
        let open = slice.old.get(&route).map_or(0.0, Tally::timed);
        DISTURBANCE_NATS + UNDISTURBED_NATS * (last + open)
    }

    /// Returns the middle time of the old version's responses, as a bucket.
    pub(super) fn median_bucket(&self) -> Option<usize> {
        let mut all = Tally::default();
        for tally in self.routes.values() {
            all.add(tally, 1.0);
        }
        let half = all.timed() / 2.0;
        let mut sum = 0.0;
        let reaches_half = |count: &f64| {
            sum += count;
            sum >= half
        };
        let bucket = all.times.iter().position(reaches_half);
        bucket.filter(|_| half > 0.0)
    }

    fn ratios(
        &self,
        route: RouteHash,
        slice: &Slice,
        old_waiting: &[f64; RESPONSE_TIME_BUCKETS],
    ) -> Ratios {
        let mut old = slice.old.get(&route).cloned().unwrap_or_default();
        if let Some(history) = self.routes.get(&route) {
            let weight = |count: f64| HISTORY_ANSWERS / count.max(HISTORY_ANSWERS);
            old.add(history, weight(history.answers().max(history.timed())));
        }
        let failures = old.failures + PRIOR_ANSWERS * PRIOR_FAILURES;
        let good = failures / (old.answers() + PRIOR_ANSWERS);
        let good = good.clamp(OLD_FAILURES_MIN, OLD_FAILURES_MAX);
        let bad = good + (1.0 - good) * BAD_FAILURE_SHARE;
        Ratios {
            good,
            failure: (bad / good).ln(),
            success: ((1.0 - bad) / (1.0 - good)).ln(),
            times: (old.timed() >= TIMES_MIN).then(|| time_ratios(&old, old_waiting)),
        }
    }
}

impl Ratios {
    fn time_nats(&self, tally: &Tally) -> f64 {
        let times = self.times.as_ref().map(|ratios| {
            let times = tally.times.iter().zip(&ratios.response);
            times.map(|(count, nats)| count * nats).sum()
        });
        times.unwrap_or_default()
    }

    /// Returns the log-likelihood ratio of "both versions fail alike, more than usual" to "both are
    /// as usual"; zero if the latter is likelier.
    fn disturbance_nats(&self, target: &Tally, old: &Tally) -> f64 {
        let failures = target.failures + old.failures;
        let successes = target.successes + old.successes;
        let share = (failures + 0.5) / (failures + successes + 1.0);
        if share <= self.good {
            return 0.0;
        }
        let nats = failures * (share / self.good).ln()
            + successes * ((1.0 - share) / (1.0 - self.good)).ln();
        (nats - DISTURBANCE_NATS).max(0.0)
    }
}

fn refusal_nats(tally: &Tally) -> f64 {
    let refused = (BAD_REFUSAL_SHARE / GOOD_REFUSAL_SHARE).ln();
    let accepted = ((1.0 - BAD_REFUSAL_SHARE) / (1.0 - GOOD_REFUSAL_SHARE)).ln();
    tally.refusals * refused + (tally.sent - tally.refusals).max(0.0) * accepted
}

fn time_ratios(old: &Tally, old_waiting: &[f64; RESPONSE_TIME_BUCKETS]) -> TimeRatios {
    let seen = shares(&old.times);
    let mut good = [0.0; RESPONSE_TIME_BUCKETS];
    add_shifted(&mut good, &seen, 0, 1.0 - LATER_SHARE - EARLIER_SHARE);
    add_shifted(&mut good, &seen, 1, LATER_SHARE);
    for (bucket, share) in seen.iter().enumerate() {
        good[bucket.saturating_sub(1)] += share * EARLIER_SHARE;
    }
    let mut bad = [0.0; RESPONSE_TIME_BUCKETS];
    for shift in BAD_SHIFTS {
        add_shifted(&mut bad, &good, shift, 1.0 / BAD_SHIFTS.len() as f64);
    }
    let any_time = ANY_TIME_SHARE / RESPONSE_TIME_BUCKETS as f64;
    for share in good.iter_mut().chain(&mut bad) {
        *share = *share * (1.0 - ANY_TIME_SHARE) + any_time;
    }
    let mut response = [0.0; RESPONSE_TIME_BUCKETS];
    let mut waiting = [0.0; RESPONSE_TIME_BUCKETS];
    for bucket in 0..RESPONSE_TIME_BUCKETS {
        let nats = (bad[bucket] / good[bucket]).ln();
        response[bucket] = nats.clamp(TIME_NATS_MIN, TIME_NATS_MAX);
        let rest = |shares: &[f64; RESPONSE_TIME_BUCKETS]| shares[bucket..].iter().sum::<f64>();
        // Where the old version's requests wait as long, waiting says nothing of the target.
        let old_late = rest(&old.times) + rest(old_waiting);
        let old_all = old.timed() + rest(old_waiting);
        let good_rest = rest(&good).max(old_late / old_all.max(1.0));
        let nats = (rest(&bad) / good_rest).ln();
        if good_rest <= OVERDUE_SHARE {
            waiting[bucket] = nats.clamp(0.0, TIME_NATS_MAX);
        }
    }
    // Even later than the slowest bad version expected is no better.
    let late = usual_max(&seen);
    for bucket in late + 1..RESPONSE_TIME_BUCKETS {
        response[bucket] = response[bucket].max(response[bucket - 1]);
        waiting[bucket] = waiting[bucket].max(waiting[bucket - 1]);
    }
    TimeRatios { response, waiting }
}

/// Returns the first bucket after which at most [`LATE_SHARE`] of the responses come.
fn usual_max(shares: &[f64; RESPONSE_TIME_BUCKETS]) -> usize {
    let mut rest = 1.0;
    let bucket = shares.iter().position(|share| {
        rest -= share;
        rest <= LATE_SHARE
    });
    bucket.unwrap_or(RESPONSE_TIME_BUCKETS - 1)
}

fn shares(counts: &[f64; RESPONSE_TIME_BUCKETS]) -> [f64; RESPONSE_TIME_BUCKETS] {
    let total = counts.iter().sum::<f64>().max(1.0);
    counts.map(|count| count / total)
}

/// Adds `shares` times `weight`, later by `shift` buckets.
fn add_shifted(
    sum: &mut [f64; RESPONSE_TIME_BUCKETS],
    shares: &[f64; RESPONSE_TIME_BUCKETS],
    shift: usize,
    weight: f64,
) {
    for (bucket, share) in shares.iter().enumerate() {
        sum[(bucket + shift).min(RESPONSE_TIME_BUCKETS - 1)] += share * weight;
    }
}

//! The outcome ledger against a naive record of what really ran.

use celerylever::error::{Code, ExecutionStatus};
use celerylever::outcome::{
    AttemptFailure, AttemptHistory, NextStep, Outcome, RetryRule, StopReason,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEED: u64 = 6;
const SEQUENCES: usize = 200_000;
const ATTEMPTS_MAX: usize = 4;

/// One attempt as it really went.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    is_repeatable: bool,
    failure: AttemptFailure,
    did_run: bool,
}

/// Failures after which the request certainly was not run, by docs/PROTOCOLS.md.
fn is_certain(failure: AttemptFailure) -> bool {
    matches!(
        failure,
        AttemptFailure::NotBuilt
            | AttemptFailure::ConnectFailed
            | AttemptFailure::Refused
            | AttemptFailure::WeightVersionRefused
            | AttemptFailure::Rejected
    )
}

/// Plays attempts until the ledger says to tell; returns those made and what is told.
fn play(attempts: &[Attempt], stop: StopReason) -> (Vec<Attempt>, Outcome) {
    let mut history = AttemptHistory::default();
    let mut made = Vec::new();
    for attempt in attempts {
        if !history.allows_attempt(attempt.is_repeatable) {
            continue;
        }
        history.start_attempt();
        made.push(*attempt);
        if let NextStep::Finish(outcome) =
            history.record_failure(attempt.failure, attempt.is_repeatable)
        {
            return (made, outcome);
        }
    }
    (made, history.outcome_at_stop(stop))
}

fn check(attempts: &[Attempt], stop: StopReason) {
    let (made, outcome) = play(attempts, stop);
    let runs = made.iter().filter(|attempt| attempt.did_run).count();
    let has_single = made
        .iter()
        .any(|attempt| attempt.did_run && !attempt.is_repeatable);
    let is_certain = made.iter().all(|attempt| is_certain(attempt.failure));
    let expected = if is_certain {
        ExecutionStatus::NotRun
    } else {
        ExecutionStatus::Unknown
    };
    assert_eq!(outcome.ran, expected, "told of {made:?}");
    assert!(
        outcome.ran != ExecutionStatus::NotRun || runs == 0,
        "a lie about {made:?}"
    );
    assert!(!has_single || runs == 1, "run twice: {made:?}");
    assert!(!outcome.is_retryable || outcome.ran == ExecutionStatus::NotRun);
    let known = made.iter().map(|attempt| attempt.failure.code());
    let mut allowed: Vec<Code> = known.chain([stop.code()]).collect();
    allowed.push(Code::UpstreamTimeout);
    assert!(allowed.contains(&outcome.code), "{outcome:?} of {made:?}");
}

/// Returns every attempt that can be, with each truth that its failure leaves open.
fn all_attempts() -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for failure in AttemptFailure::ALL.iter().copied() {
        for is_repeatable in [false, true] {
            for did_run in [false, true] {
                if !(did_run && is_certain(failure)) {
                    attempts.push(Attempt {
                        is_repeatable,
                        failure,
                        did_run,
                    });
                }
            }
        }
    }
    attempts
}

#[test]
fn every_single_failure_is_told_truthfully() {
    for attempt in all_attempts() {
        for stop in StopReason::ALL {
            check(&[attempt], *stop);
        }
    }
}

#[test]
fn every_pair_of_failures_is_told_truthfully() {
    for first in all_attempts() {
        for second in all_attempts() {
            for stop in StopReason::ALL {
                check(&[first, second], *stop);
            }
        }
    }
}

#[test]
fn random_sequences_of_failures_are_told_truthfully() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let attempts = all_attempts();
    for _ in 0..SEQUENCES {
        let count = rng.random_range(0..=ATTEMPTS_MAX);
        let chosen: Vec<Attempt> = (0..count)
            .map(|_| attempts[rng.random_range(0..attempts.len())])
            .collect();
        check(
            &chosen,
            StopReason::ALL[rng.random_range(0..StopReason::ALL.len())],
        );
    }
}

#[rstest]
#[case::refused_last(
    AttemptFailure::ConnectionBroken,
    AttemptFailure::Refused,
    Code::UpstreamUnknown
)]
#[case::connect_last(
    AttemptFailure::HeadTimeout,
    AttemptFailure::ConnectFailed,
    Code::UpstreamTimeout
)]
fn last_refusal_hides_no_earlier_run(
    #[case] first: AttemptFailure,
    #[case] second: AttemptFailure,
    #[case] code: Code,
) {
    let mut history = AttemptHistory::default();
    assert_eq!(history.record_failure(first, true), NextStep::Retry);
    assert_eq!(history.record_failure(second, true), NextStep::Retry);
    let outcome = history.outcome_at_stop(StopReason::NoUpstream);
    assert_eq!(
        (outcome.code, outcome.ran),
        (code, ExecutionStatus::Unknown)
    );
}

#[rstest]
#[case::nothing_sent(&[], ExecutionStatus::NotRun)]
#[case::refused(&[AttemptFailure::Refused], ExecutionStatus::NotRun)]
#[case::maybe_run(&[AttemptFailure::Refused, AttemptFailure::HeadTimeout], ExecutionStatus::Unknown)]
fn empty_budget_is_told_with_what_is_known(
    #[case] failures: &[AttemptFailure],
    #[case] ran: ExecutionStatus,
) {
    let mut history = AttemptHistory::default();
    for failure in failures {
        history.record_failure(*failure, true);
    }
    let outcome = history.outcome_at_stop(StopReason::BudgetEmpty);
    assert_eq!((outcome.code, outcome.ran), (Code::RetryBudget, ran));
}

#[test]
fn delivered_stream_is_never_told_as_not_run() {
    for stop in StopReason::ALL {
        let mut history = AttemptHistory::default();
        history.start_attempt();
        history.record_delivery();
        assert_eq!(history.outcome_at_stop(*stop).ran, ExecutionStatus::Unknown);
        assert!(!history.outcome_at_stop(*stop).is_retryable);
    }
}

#[test]
fn open_attempt_is_never_told_as_not_run() {
    for stop in StopReason::ALL {
        let mut history = AttemptHistory::default();
        history.start_attempt();
        assert_eq!(history.outcome_at_stop(*stop).ran, ExecutionStatus::Unknown);
    }
}

#[test]
fn documentation_lists_every_failure_point() {
    let text = std::fs::read_to_string("docs/OUTCOMES.md").unwrap();
    let rows: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let failures = AttemptFailure::ALL.iter().map(|failure| {
        format!(
            "| `{}` | {} | {} | {} | {} | `{}` | {failure} |",
            failure.name(),
            failure.ran().name(),
            failure.retry_rule().name(),
            counted(*failure),
            failure.code().number(),
            failure.code().name(),
        )
    });
    let stops = StopReason::ALL.iter().map(|stop| {
        let code = stop.code();
        format!(
            "| `{}` | {} | `{}` | {stop} |",
            stop.name(),
            code.number(),
            code.name()
        )
    });
    let expected: Vec<String> = failures.chain(stops).collect();
    assert_eq!(rows, expected, "\n{}", expected.join("\n"));
}

fn counted(failure: AttemptFailure) -> String {
    match failure.retry_rule() {
        RetryRule::Never => "–".to_owned(),
        RetryRule::Always | RetryRule::IfRepeatable => {
            format!("`{}`", failure.retry_reason().label())
        }
    }
}

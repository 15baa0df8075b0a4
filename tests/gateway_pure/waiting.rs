//! Tests of the request queue: order, admission and refusal of requests that cannot be served.

use super::*;

fn queued_request(priority: u8, objective_ms: u64, deadline_ms: u64) -> QueuedRequest {
    QueuedRequest {
        priority,
        prefill_tokens: 1_000,
        place_by: MS(objective_ms),
        deadline: MS(deadline_ms),
    }
}

#[test]
fn ranks_go_before_urgency_and_both_before_what_is_late() {
    let mut queue = RequestQueue::new(QueueSettings::default());
    let push = |queue: &mut RequestQueue, request| queue.push(request, 1e6, MS(100)).unwrap();
    let late = push(&mut queue, queued_request(0, 50, 9_000));
    let low = push(&mut queue, queued_request(1, 200, 9_000));
    let urgent = push(&mut queue, queued_request(0, 300, 9_000));
    let calm = push(&mut queue, queued_request(0, 600, 9_000));
    assert_eq!(queue.placement_order(MS(100)), [urgent, calm, low, late]);
}

#[test]
fn what_would_not_start_in_time_is_turned_away_at_once() {
    let mut queue = RequestQueue::new(QueueSettings::default());
    queue
        .push(queued_request(0, 100, 5_000), 1_000.0, MS(0))
        .unwrap();
    let refused = queue.push(queued_request(0, 100, 500), 1_000.0, MS(0));
    assert_eq!(refused, Err(MS(1_000)));
}

#[test]
fn a_late_request_does_not_starve() {
    let mut queue = RequestQueue::new(QueueSettings::default());
    let late = queue
        .push(queued_request(1, 100, 60_000), 1e6, MS(0))
        .unwrap();
    for step in 0..10 {
        queue
            .push(queued_request(0, 10_000 + step, 60_000), 1e6, MS(9_000))
            .unwrap();
    }
    assert_eq!(queue.placement_order(MS(9_000))[0], late);
}

/// Requests that are still within their objective use the whole prefill capacity of the engines. A
/// late request is then refused long before its deadline.
#[test]
fn a_late_request_that_gets_nothing_is_given_up() {
    let mut queue = RequestQueue::new(QueueSettings::default());
    let late = queue
        .push(queued_request(1, 100, 9_000), 2_000.0, MS(0))
        .unwrap();
    let refused_at = (0..100).find_map(|step| {
        let now = MS(step * 100);
        let in_time = queued_request(1, step * 100 + 300, 9_000 + step * 100);
        for _ in 0..2 {
            let ticket = queue.push(in_time, 2_000.0, now).unwrap();
            queue.remove_placed(ticket, now);
        }
        queue.push(in_time, 2_000.0, now).unwrap();
        let refused = queue.remove_unservable(2_000.0, now);
        let is_late = refused.iter().any(|(ticket, _)| *ticket == late);
        is_late.then_some(now)
    });
    assert!(
        refused_at.is_some_and(|at| at < MS(1_000)),
        "{refused_at:?}"
    );
}

#[test]
fn a_late_request_is_kept_while_nothing_goes_before_it() {
    let mut queue = RequestQueue::new(QueueSettings::default());
    let late = queue
        .push(queued_request(1, 100, 9_000), 2_000.0, MS(0))
        .unwrap();
    for step in 0..20 {
        assert_eq!(queue.remove_unservable(2_000.0, MS(step * 100)), []);
    }
    assert_eq!(queue.placement_order(MS(2_000)), [late]);
}

/// The engines prefill at a fifth of their nominal rate. The wait is estimated from the measured
/// rate, so a later request that would miss its deadline is refused at once.
#[test]
fn waits_are_foretold_from_what_was_given_out() {
    let mut queue = RequestQueue::new(QueueSettings::default());
    let deadline = queued_request(0, 9_000, 9_000);
    for _ in 0..4 {
        queue.push(deadline, 10_000.0, MS(0)).unwrap();
    }
    queue.remove_placed(queue.placement_order(MS(500))[0], MS(500));
    let refused = queue.push(queued_request(0, 9_000, 1_900), 10_000.0, MS(500));
    assert_eq!(refused, Err(MS(1_500)));
    assert!(queue.push(deadline, 10_000.0, MS(500)).is_ok());
}

/// A second in which no request was placed says little about the time after it: the estimated wait
/// stays bounded.
#[test]
fn a_standstill_sends_no_caller_away_for_long() {
    let mut queue = RequestQueue::new(QueueSettings::default());
    for _ in 0..9 {
        queue
            .push(queued_request(0, 100, 9_000), 1_000.0, MS(0))
            .unwrap();
    }
    let refused = queue.push(queued_request(0, 100, 9_000), 1_000.0, MS(1_500));
    assert_eq!(refused, Err(MS(5_000)));
}

#[test]
fn tokens_are_given_back() {
    let mut queue = RequestQueue::new(QueueSettings::default());
    let ticket = queue
        .push(queued_request(0, 100, 5_000), 1e6, MS(0))
        .unwrap();
    assert_eq!(queue.prefill_tokens(), 1_000);
    queue.remove(ticket);
    assert_eq!((queue.prefill_tokens(), queue.is_empty()), (0, true));
}

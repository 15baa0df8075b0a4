//! Tests of the schedule by which engines load new weights.

use super::*;

/// Deadline so far away that it does not raise the number of concurrent loads.
const DISTANT_DEADLINE: Duration = Duration::from_secs(1_000);

fn instance(id: &str) -> UpstreamInstance {
    UpstreamInstance {
        id: id.to_owned(),
        born_ms: 1,
    }
}

fn engines(weights: &[u64]) -> Vec<EngineView> {
    let views = weights
        .iter()
        .enumerate()
        .map(|(index, weights)| EngineView {
            instance: instance(&format!("e{index}")),
            weights: Some(*weights),
            requests: 0,
            is_unreachable: false,
        });
    views.collect()
}

fn order_count(actions: &[RolloutAction]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, RolloutAction::Order(_)))
        .count()
}

#[test]
fn a_third_loads_at_once_and_those_get_no_new_work_before() {
    let views = engines(&[1; 9]);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    assert_eq!(rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(0)), []);
    assert_eq!(rollout.engines_in_rollout().count(), 3);
    assert_eq!(
        order_count(&rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(60))),
        3
    );
    assert_eq!(
        rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(70)),
        []
    );
}

#[test]
fn those_furthest_behind_come_first() {
    let views = engines(&[3, 2, 1]);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    rollout.next_actions(4, &views, DISTANT_DEADLINE, MS(0));
    assert_eq!(rollout.engines_in_rollout().collect::<Vec<_>>(), ["e2"]);
}

#[test]
fn the_next_one_follows_once_one_is_done() {
    let mut views = engines(&[1; 3]);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(0));
    let actions = rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(60));
    let [RolloutAction::Order(first)] = &actions[..] else {
        panic!("expected exactly one order, got {actions:?}");
    };
    rollout.record_order(first, MS(65));
    rollout.finish(first);
    views
        .iter_mut()
        .filter(|view| view.instance == *first)
        .for_each(|view| view.weights = Some(2));
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(300));
    assert!(
        rollout.engines_in_rollout().all(|id| *id != first.id)
            && rollout.engines_in_rollout().count() == 1
    );
}

#[test]
fn an_order_not_seen_in_force_is_looked_into() {
    let views = engines(&[1]);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(0));
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(60));
    rollout.record_order(&instance("e0"), MS(70));
    assert_eq!(
        rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(200)),
        []
    );
    assert_eq!(
        rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(330)),
        [RolloutAction::Check(instance("e0"))]
    );
}

/// Guards against unreachable engines that, for seconds, occupied the places of engines that could
/// have loaded the weights.
#[test]
fn engines_that_cannot_be_reached_come_last_and_hold_nobody_up() {
    let mut views = engines(&[1; 6]);
    views[0].is_unreachable = true;
    views[1].is_unreachable = true;
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(0));
    let in_rollout: Vec<_> = rollout.engines_in_rollout().cloned().collect();
    assert_eq!(in_rollout, ["e2", "e3"]);
}

/// Guards against a rollout that loads two engines at a time and therefore exceeds the time allowed
/// for new weights, so that requests start on older ones.
#[test]
fn as_many_load_at_once_as_it_takes_to_be_in_time() {
    let views = engines(&[1; 12]);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    rollout.next_actions(2, &views, MS(3_600), MS(0));
    assert_eq!(rollout.engines_in_rollout().count(), 4);
    rollout.next_actions(2, &views, MS(3_600), MS(3_500));
    assert_eq!(rollout.engines_in_rollout().count(), 6);
}

#[test]
fn an_engine_born_again_is_rolled_anew() {
    let mut views = engines(&[1]);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(0));
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(60));
    views[0].instance.born_ms = 2;
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(100));
    let actions = rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(200));
    assert_eq!(actions, [RolloutAction::Order(views[0].instance.clone())]);
}

/// Runs a rollout of engines, of which the first ones stay busy with another order; returns the
/// time at which the last of the others has the weights.
fn run_with_busy_engines(
    mut views: Vec<EngineView>,
    busy: usize,
    due: Duration,
) -> Option<Duration> {
    const LOAD_TIME: Duration = Duration::from_millis(800);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    let mut ordered: Vec<(UpstreamInstance, Duration)> = Vec::new();
    for now in (0..20_000).step_by(40).map(MS) {
        for action in rollout.next_actions(2, &views, due, now) {
            let (RolloutAction::Order(instance) | RolloutAction::Check(instance)) = action;
            let is_busy = views[..busy].iter().any(|view| view.instance == instance);
            match ordered.iter().find(|(known, _)| *known == instance) {
                Some((_, at)) if now >= *at + LOAD_TIME => {
                    let loaded = views.iter_mut().filter(|view| view.instance == instance);
                    loaded.for_each(|view| view.weights = Some(2));
                    rollout.finish(&instance);
                }
                Some(_) => rollout.record_still_loading(&instance, now),
                None if is_busy => rollout.record_still_loading(&instance, now),
                None => {
                    ordered.push((instance.clone(), now));
                    rollout.record_order(&instance, now);
                }
            }
        }
        if views[busy..].iter().all(|view| view.weights == Some(2)) {
            return Some(now);
        }
    }
    None
}

/// Guards against engines that stay busy and, each time they are given up, take the places of
/// engines that could load the weights.
#[rstest]
fn engines_that_stay_busy_hold_the_others_up_only_once(#[values(0, 1, 3)] busy: usize) {
    let due = MS(5_100);
    let done_at = run_with_busy_engines(engines(&[1; 9]), busy, due);
    assert!(done_at.is_some_and(|at| at <= due), "{done_at:?}");
}

/// Guards against engines that respond late under load, count as unreachable and are therefore
/// loaded one by one.
#[rstest]
fn engines_that_respond_late_load_in_time(#[values(5, 8, 9)] avoided: usize) {
    let due = MS(5_100);
    let mut views = engines(&[1; 9]);
    views[..avoided]
        .iter_mut()
        .for_each(|view| view.is_unreachable = true);
    let done_at = run_with_busy_engines(views, 0, due);
    assert!(done_at.is_some_and(|at| at <= due), "{done_at:?}");
}

/// Guards against unreachable engines that take places of engines that could load the weights.
#[test]
fn engines_that_cannot_be_reached_take_no_place_of_the_others() {
    let mut views = engines(&[1; 9]);
    views[..3]
        .iter_mut()
        .for_each(|view| view.is_unreachable = true);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    for at in [0, 2_000, 4_000] {
        rollout.next_actions(2, &views, MS(5_100), MS(at));
        let reachable = ["e3", "e4", "e5", "e6", "e7", "e8"];
        let in_rollout = rollout.engines_in_rollout();
        let reachable = in_rollout.filter(|id| reachable.contains(&id.as_str()));
        assert!((2..=3).contains(&reachable.count()), "at {at} ms");
    }
}

/// Guards against an engine that responds more slowly than the timeout and is never ordered.
#[test]
fn a_call_without_a_response_allows_the_next_one_more_time() {
    let mut views = engines(&[1]);
    let mut rollout = RolloutSchedule::new(RolloutSettings::default());
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(0));
    let e0 = instance("e0");
    let mut timeouts = Vec::new();
    for _ in 0..4 {
        timeouts.push(rollout.call_timeout(&e0));
        rollout.record_lost_call(&e0);
    }
    assert_eq!(timeouts, [MS(500), MS(1_000), MS(2_000), MS(2_000)]);
    let born_again = UpstreamInstance {
        born_ms: 2,
        ..e0.clone()
    };
    assert_eq!(rollout.call_timeout(&born_again), MS(500));
    views[0].weights = Some(2);
    rollout.next_actions(2, &views, DISTANT_DEADLINE, MS(100));
    assert_eq!(rollout.call_timeout(&e0), MS(500));
}

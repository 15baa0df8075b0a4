//! Counted error rates of the verdict.

use super::replay::{Fault, Result, Scenario, replay};
use celerylever::gateway::RolloutState;

#[test]
#[ignore]
fn survey() {
    let fail = |failures: f64| Fault {
        failures,
        ..Fault::default()
    };
    let slow = |slowness: f64| Fault {
        slowness,
        ..Fault::default()
    };
    let loads = [
        (6, 10.0, 12_000),
        (6, 100.0, 12_000),
        (80, 300.0, 12_000),
        (80, 1000.0, 12_000),
        (300, 3000.0, 12_000),
        (80, 10.0, 12_000),
        (80, 1000.0, 30_000),
        (300, 3000.0, 30_000),
    ];
    let kinds: Vec<(&str, Option<Fault>, Option<Fault>)> = vec![
        ("good", None, None),
        (
            "good, both fail 40% 3-4.5 s",
            None,
            Some(Fault {
                from_ms: 3_000,
                until_ms: 4_500,
                ..fail(0.4)
            }),
        ),
        (
            "good, both slow x4 3-4.5 s",
            None,
            Some(Fault {
                from_ms: 3_000,
                until_ms: 4_500,
                ..slow(4.0)
            }),
        ),
        (
            "good, both fail 40% 6-7 s",
            None,
            Some(Fault {
                from_ms: 6_000,
                until_ms: 7_000,
                ..fail(0.4)
            }),
        ),
        (
            "good, 1 upstream fails 60%",
            Some(Fault {
                upstream: Some(1),
                ..fail(0.6)
            }),
            None,
        ),
        (
            "good, 1 upstream slow x5",
            Some(Fault {
                upstream: Some(1),
                ..slow(5.0)
            }),
            None,
        ),
        ("good, 1.3x", Some(slow(1.3)), None),
        ("fail 20%", Some(fail(0.2)), None),
        ("fail 60%", Some(fail(0.6)), None),
        ("slow x3", Some(slow(3.0)), None),
        ("slow x6", Some(slow(6.0)), None),
        (
            "fail 30% from 4 s",
            Some(Fault {
                from_ms: 4_000,
                ..fail(0.3)
            }),
            None,
        ),
        (
            "fail 30% from 6 s",
            Some(Fault {
                from_ms: 6_000,
                ..fail(0.3)
            }),
            None,
        ),
        (
            "fail 30% at load",
            Some(Fault {
                permille_min: 700,
                ..fail(0.3)
            }),
            None,
        ),
        (
            "slow x4 at load",
            Some(Fault {
                permille_min: 700,
                ..slow(4.0)
            }),
            None,
        ),
        (
            "fail 30% route 1",
            Some(Fault {
                route: Some(1),
                ..fail(0.3)
            }),
            None,
        ),
        (
            "fail 30% route 2",
            Some(Fault {
                route: Some(2),
                ..fail(0.3)
            }),
            None,
        ),
        (
            "slow x4 route 2",
            Some(Fault {
                route: Some(2),
                ..slow(4.0)
            }),
            None,
        ),
    ];
    let seeds: u64 = std::env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20);
    let only = std::env::var("ONLY").unwrap_or_default();
    let harsh = std::env::var("HARSH").is_ok();
    let load: Option<usize> = std::env::var("LOAD")
        .ok()
        .and_then(|text| text.parse().ok());
    for (index, (vms, rate_per_s, within_ms)) in loads.into_iter().enumerate() {
        if load.is_some_and(|load| load != index) {
            continue;
        }
        println!("## {vms} VMs, {rate_per_s}/s, {within_ms} ms");
        for (name, target, both) in &kinds {
            if !name.contains(&only) {
                continue;
            }
            let mut scenario = Scenario {
                vms,
                rate_per_s,
                within_ms,
                target: *target,
                both: *both,
                ..Scenario::default()
            };
            if harsh {
                scenario.report_delay_ms = 100;
                scenario.grant_delay_ms = 500;
                scenario.loss = 0.05;
            }
            let results: Vec<Result> = (0..seeds).map(|seed| replay(&scenario, seed)).collect();
            let count = |state| {
                results
                    .iter()
                    .filter(|result| result.conclusion == state)
                    .count()
            };
            let mut times: Vec<_> = results.iter().map(|r| r.concluded_at_ms).collect();
            times.sort();
            let mut excess: Vec<_> = results.iter().map(|r| r.excess() as i64).collect();
            excess.sort();
            let exposed = results.iter().map(|r| r.exposed).sum::<u64>() / seeds;
            let over = excess.iter().filter(|e| **e > 0).count();
            let after = results.iter().map(|r| r.after_bad_ms).max().unwrap();
            let good = name.starts_with("good");
            let back: Vec<_> = results
                .iter()
                .filter(|r| r.conclusion == Some(RolloutState::RolledBack))
                .map(|r| r.excess() as i64)
                .collect();
            let limit = match good {
                true => String::new(),
                false => format!(
                    "exposed {exposed:6} excess {:6} {:6} over {over:3} back-excess {:?} after50 {after}",
                    excess[excess.len() / 2],
                    excess[excess.len() - 1],
                    back.iter().max()
                ),
            };
            let mut reasons = std::collections::BTreeMap::new();
            for r in &results {
                if let Some(reason) = r.reason {
                    *reasons.entry(format!("{reason:?}")).or_insert(0) += 1;
                }
            }
            println!(
                "{name:28} done {:3} back {:3} none {:3}  at {:5} {:5} {:5} {limit} {reasons:?}",
                count(Some(RolloutState::Done)),
                count(Some(RolloutState::RolledBack)),
                count(None),
                times[0],
                times[times.len() / 2],
                times[times.len() - 1]
            );
        }
    }
}

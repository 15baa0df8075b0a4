//! Counted error rates of the verdict alone, for fleets with much and little traffic.

use std::time::Duration;

use celerylever::gateway::{
    FleetCounts, RolloutReport, RouteCounts, UpstreamCounts, Verdict, VerdictSettings,
    VersionCounts, judge,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLICES: u64 = 16;
const UPSTREAMS: u8 = 3;

/// Shares of failures on the routes: plain lookups fail by themselves in about 8 of 100.
const BASE_FAILURES: [f64; 3] = [0.0, 0.02, 0.08];

/// Adds `requests` to `counts`, of which a share fails and the others are late by `factor`.
fn add(counts: &mut VersionCounts, requests: u32, failures: f64, factor: f64, random: &mut StdRng) {
    for _ in 0..requests {
        counts.sent += 1;
        if random.random_bool(failures) {
            counts.failures += 1;
            continue;
        }
        counts.successes += 1;
        let normal = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let millis = 40.0 * factor * (0.5 * normal).exp();
        counts
            .times
            .record(Duration::from_secs_f64(millis / 1_000.0));
    }
}

/// Returns the verdict after [`SLICES`] reports with `requests` to the target per route each, or
/// the first one that is bad, and how many requests the target got until then.
fn verdict(requests: u32, failures: f64, factor: f64, seed: u64) -> (Verdict, u32) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = FleetCounts::new();
    let mut report = RolloutReport {
        service: "lookup".into(),
        target: "v2".into(),
        vm: "vm-0".into(),
        routes: (0..BASE_FAILURES.len() as u32)
            .map(|route| RouteCounts {
                route,
                ..RouteCounts::default()
            })
            .collect(),
        ..RolloutReport::default()
    };
    for route in &mut report.routes {
        let upstreams = (0..UPSTREAMS).map(|upstream| UpstreamCounts {
            upstream,
            ..UpstreamCounts::default()
        });
        route.target = upstreams.collect();
    }
    let mut last = Verdict::Undecided;
    for slice in 1..=SLICES {
        for (route, base) in report.routes.iter_mut().zip(BASE_FAILURES) {
            add(&mut route.old, 10 * requests, base, 1.0, &mut random);
            for _ in 0..requests {
                let upstream = random.random_range(0..UPSTREAMS) as usize;
                let counts = &mut route.target[upstream].counts;
                add(
                    counts,
                    1,
                    base + (1.0 - base) * failures,
                    factor,
                    &mut random,
                );
            }
        }
        report.seen_for_ms = slice as u32 * 500;
        fleet.record(report.clone(), Duration::from_millis(slice * 500));
        last = judge(&fleet, &VerdictSettings::default());
        if let Verdict::Bad { .. } = last {
            return (last, slice as u32 * requests * BASE_FAILURES.len() as u32);
        }
    }
    (last, SLICES as u32 * requests * BASE_FAILURES.len() as u32)
}

fn is_bad(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Bad { .. })
}

/// Guards against good versions that are judged bad more often than stated: 1 in 1,000.
#[rstest::rstest]
#[case(1, 700)]
#[case(12, 300)]
fn good_versions_are_rarely_judged_bad(#[case] requests: u32, #[case] seeds: u64) {
    let bad = (0..seeds).filter(|seed| is_bad(verdict(requests, 0.0, 1.0, *seed).0));
    assert!(bad.count() <= 2);
}

/// Guards against bad versions that are judged good more often than stated, 1 in 1,000, or found
/// too late for the exposure limit.
#[rstest::rstest]
#[case(0.2, 1.0, 120)]
#[case(0.6, 1.0, 36)]
#[case(0.0, 3.0, 40)]
#[case(0.0, 6.0, 40)]
fn bad_versions_are_found_early(
    #[case] failures: f64,
    #[case] factor: f64,
    #[case] median_requests_max: u32,
) {
    let mut needed = Vec::new();
    for seed in 0..100 {
        let (verdict, requests) = verdict(6, failures, factor, seed);
        assert!(is_bad(verdict), "{verdict:?} with seed {seed}");
        needed.push(requests);
    }
    needed.sort_unstable();
    assert!(needed[50] <= median_requests_max, "{needed:?}");
}

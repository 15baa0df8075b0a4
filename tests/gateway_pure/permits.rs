//! Permits for requests to limited upstreams, and what VMs tell each other of limits.

use super::*;

const PROCESS: u64 = 7;
/// Window in which the requests to an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).unwrap()
}

fn group(vms: usize, units: f64) -> VmGroup {
    VmGroup {
        vms,
        demand_per_s: Some(units),
    }
}

fn ask(
    accounts: &mut PermitAccounts,
    per_s: f64,
    own_vms: usize,
    others: &[VmGroup],
    now: Duration,
) -> PermitDecision {
    let request = PermitRequest {
        process: PROCESS,
        rate: rate(per_s),
        own_vms,
        others,
        is_held_back: true,
    };
    accounts.decide(&request, now)
}

#[test]
fn permits_come_at_even_intervals() {
    let mut accounts = PermitAccounts::default();
    let granted = (0..4_000).step_by(10).filter(|ms| {
        let decision = ask(&mut accounts, 2.0, 1, &[], MS(*ms));
        decision.is_granted
    });
    let granted: Vec<u64> = granted.collect();
    assert_eq!(granted, [500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500]);
}

#[test]
fn vms_that_are_refused_get_successive_turns() {
    let mut accounts = PermitAccounts::default();
    let mut wait = |ms| ask(&mut accounts, 2.0, 3, &[], MS(ms)).wait;
    assert_eq!(wait(0), MS(500));
    assert_eq!(wait(100), MS(900));
    assert_eq!(wait(200), MS(1_300));
}

#[test]
fn an_unused_account_saves_no_burst() {
    let mut accounts = PermitAccounts::default();
    ask(&mut accounts, 2.0, 1, &[], MS(0));
    let mut is_granted = |ms| ask(&mut accounts, 2.0, 1, &[], MS(ms)).is_granted;
    assert!(is_granted(9_000));
    assert!(!is_granted(9_200));
    assert!(is_granted(9_250));
    assert!(!is_granted(9_700));
    assert!(is_granted(9_750));
}

#[test]
fn zones_without_recent_heartbeats_keep_their_part() {
    let mut accounts = PermitAccounts::default();
    let silent = VmGroup {
        vms: 3,
        demand_per_s: None,
    };
    let decision = ask(&mut accounts, 2.0, 1, &[silent], MS(0));
    assert_eq!(decision.wait, MS(2_000));
}

#[test]
fn a_limit_of_nothing_leaves_requests_that_notice_its_end() {
    let mut accounts = PermitAccounts::default();
    ask(&mut accounts, 0.0, 1, &[], MS(0));
    assert!(!ask(&mut accounts, 0.0, 1, &[], MS(3_900)).is_granted);
    assert!(ask(&mut accounts, 0.0, 1, &[], MS(4_000)).is_granted);
}

#[test]
fn calls_without_permit_delay_the_next_permit() {
    let mut accounts = PermitAccounts::default();
    ask(&mut accounts, 2.0, 1, &[], MS(0));
    accounts.record_call(PROCESS, MS(100));
    assert!(!ask(&mut accounts, 2.0, 1, &[], MS(900)).is_granted);
    assert!(ask(&mut accounts, 2.0, 1, &[], MS(1_000)).is_granted);
}

/// VMs of several zones that ask again when they were told to, as long as they have requests.
struct Fleet {
    zones: Vec<PermitAccounts>,
    vms_per_zone: usize,
    /// Demands of the zones as their last heartbeats told them.
    told: Vec<f64>,
}

impl Fleet {
    /// Returns the times of all permits in 60 s.
    fn run(&mut self, per_s: f64, is_hungry: impl Fn(usize, u64) -> bool) -> Vec<u64> {
        let zones = self.zones.len();
        let mut asks_at = vec![vec![0; self.vms_per_zone]; zones];
        let mut permits = Vec::new();
        for ms in (0..60_000).step_by(10) {
            if ms % 200 == 0 {
                for zone in 0..zones {
                    let told = self.zones[zone].demands(MS(ms));
                    self.told[zone] = told.first().map_or(0.0, |(_, units)| f64::from(*units));
                }
            }
            for (zone, asks_at) in asks_at.iter_mut().enumerate() {
                let others: Vec<VmGroup> = (0..zones)
                    .filter(|other| *other != zone)
                    .map(|other| group(self.vms_per_zone, self.told[other]))
                    .collect();
                for ask_at in asks_at.iter_mut() {
                    if *ask_at > ms || !is_hungry(zone, ms) {
                        continue;
                    }
                    let account = &mut self.zones[zone];
                    let decision = ask(account, per_s, self.vms_per_zone, &others, MS(ms));
                    *ask_at = ms + decision.wait.as_millis() as u64;
                    if decision.is_granted {
                        permits.push(ms);
                    }
                }
            }
        }
        permits
    }
}

fn fleet(zones: usize, vms_per_zone: usize) -> Fleet {
    Fleet {
        zones: (0..zones).map(|_| PermitAccounts::default()).collect(),
        vms_per_zone,
        told: vec![0.0; zones],
    }
}

fn in_window_max(permits: &[u64]) -> usize {
    let window = WINDOW.as_millis() as u64;
    let counts = permits.iter().enumerate().map(|(index, from)| {
        let rest = permits[index..].iter();
        rest.take_while(|at| **at < from + window).count()
    });
    counts.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whichever zones have requests when, the fleet stays within a limit, and uses it while some
    /// zone has requests.
    #[test]
    fn a_fleet_stays_within_a_limit_and_uses_it(
        zones in 1_usize..=6,
        vms_per_zone in 1_usize..=50,
        per_s in 0.5_f64..20.0,
        phase_ms in 500_u64..8_000,
        seed in any::<u64>(),
    ) {
        let is_hungry = |zone: usize, ms: u64| {
            let phase = ms / phase_ms;
            zone as u64 == phase % zones as u64 || (seed >> ((phase + zone as u64) % 64)) & 1 == 1
        };
        let permits = fleet(zones, vms_per_zone).run(per_s, is_hungry);
        let most = in_window_max(&permits);
        let allowed = (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize;
        prop_assert!(most <= allowed, "{} permits in one window, {} allowed", most, allowed);
        let expected = per_s * 60.0;
        prop_assert!(permits.len() as f64 >= expected * 0.5, "{} of {}", permits.len(), expected);
    }
}

/// Guards against one request a second of each of hundreds of VMs, each within its own part.
#[test]
fn three_hundred_vms_stay_within_a_low_limit_together() {
    let permits = fleet(6, 50).run(2.7, |_, _| true);
    assert!(in_window_max(&permits) <= 17, "{}", in_window_max(&permits));
    assert!(permits.len() >= 145, "{}", permits.len());
}

#[test]
fn news_of_a_limit_reach_vms_that_had_no_response() {
    let (mut one, mut other) = (UpstreamLimits::default(), UpstreamLimits::default());
    let named = |per_s| AnnouncedLimit::Rate(rate(per_s));
    one.record_response(PROCESS, named(2.7), MS(1_000));
    let news = one.next_news(MS(1_100));
    assert_eq!(other.apply(&news, false, MS(1_100)).len(), 1);
    assert_eq!(other.rate(PROCESS), Some(rate(2.7)));
    // It was told a moment ago.
    other.record_response(PROCESS, named(2.7), MS(1_200));
    assert!(!other.has_news());
    other.record_response(PROCESS, named(2.7), MS(2_200));
    assert!(other.has_news());
}

#[test]
fn older_news_do_not_replace_what_a_response_said() {
    let (mut one, mut other) = (UpstreamLimits::default(), UpstreamLimits::default());
    let named = |per_s| AnnouncedLimit::Rate(rate(per_s));
    one.record_response(PROCESS, named(2.0), MS(1_000));
    other.record_response(PROCESS, named(4.0), MS(1_500));
    let news = one.next_news(MS(1_600));
    assert_eq!(other.apply(&news, true, MS(1_600)), []);
    assert_eq!(other.rate(PROCESS), Some(rate(4.0)));
    // Neither does the end of the limit, if a response has named it since.
    one.record_response(PROCESS, AnnouncedLimit::Absent, MS(2_100));
    let news = one.next_news(MS(2_200));
    assert_eq!(other.apply(&news, true, MS(2_200)), []);
    one.record_response(PROCESS, named(2.0), MS(2_300));
    one.record_response(PROCESS, AnnouncedLimit::Absent, MS(3_400));
    let news = one.next_news(MS(3_400));
    let ended = LimitChange {
        process: PROCESS,
        rate: None,
    };
    assert_eq!(other.apply(&news, true, MS(3_400)), [ended]);
}

#[test]
fn a_permit_is_not_waited_for_after_a_limit_has_ended() {
    let mut limits = UpstreamLimits::default();
    limits.record_response(PROCESS, AnnouncedLimit::Rate(rate(1.0)), MS(0));
    limits.set_wait(PROCESS, MS(9_000));
    assert_eq!(limits.waits_until(PROCESS, MS(100)), Some(MS(9_000)));
    limits.record_response(PROCESS, AnnouncedLimit::Absent, MS(3_000));
    assert_eq!(limits.waits_until(PROCESS, MS(3_100)), None);
}

/// Guards against representatives that tell each other the same news without end: a message takes
/// some time, so what it says looks a little newer than what was told.
#[test]
fn news_of_a_limit_come_to_rest() {
    let mut zones = [UpstreamLimits::default(), UpstreamLimits::default()];
    zones[0].record_response(PROCESS, AnnouncedLimit::Rate(rate(2.7)), MS(1_000));
    let mut now = MS(1_000);
    let mut messages = 0;
    for round in 0..40 {
        let (sender, receiver) = (round % 2, (round + 1) % 2);
        let news = zones[sender].next_news(now);
        now += MS(3);
        messages += usize::from(!news.is_empty());
        zones[receiver].apply(&news, true, now);
        now += MS(22);
    }
    assert!(messages <= 4, "{messages} messages");
    // What is named a second later is told again.
    zones[1].record_response(PROCESS, AnnouncedLimit::Rate(rate(2.7)), MS(2_100));
    assert!(zones[1].has_news());
}

/// Guards against a delayed repeat of older news that replaces what was named since.
#[test]
fn delayed_news_do_not_replace_a_limit_that_was_named_since() {
    let (mut one, mut other) = (UpstreamLimits::default(), UpstreamLimits::default());
    one.record_response(PROCESS, AnnouncedLimit::Rate(rate(2.0)), MS(1_000));
    let news = one.next_news(MS(1_000));
    other.record_response(PROCESS, AnnouncedLimit::Rate(rate(4.0)), MS(1_010));
    assert_eq!(other.apply(&news, true, MS(1_030)), []);
    assert_eq!(other.rate(PROCESS), Some(rate(4.0)));
}

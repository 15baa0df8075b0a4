//! Requests as a whole that crash engines: evidence against them, and their trials.

use celerylever::gateway::{
    Conclusion, CrashEvidence, CrashGuard, InterruptedRun, Quarantine, QuarantineVerdict, Suspect,
};

use super::strikes::{SETTLED, at, concluded, strike_begun};
use super::*;

const DEADLY: Suspect = Suspect::Request(7);
const FREQUENT: Suspect = Suspect::Request(8);
const DOCUMENT: Suspect = Suspect::Part(2);

fn held(suspect: Suspect, crashes: u64, is_ambiguous: bool) -> Quarantine {
    let mut quarantine = Quarantine::default();
    let conclusion = Conclusion {
        suspect,
        crashes: (0..crashes).map(|process| (process, at(0))).collect(),
        is_ambiguous,
    };
    quarantine.hold(&conclusion, None, at(0)).unwrap();
    quarantine
}

/// Returns the times of all trials within a day, if one is made whenever it is due.
fn trials(quarantine: &mut Quarantine, suspect: Suspect) -> Vec<u64> {
    let mut trials = Vec::new();
    for ms in (0..24 * 3_600_000).step_by(1_000) {
        if let QuarantineVerdict::TrialDue { round, .. } = quarantine.verdict(&[suspect], at(ms)) {
            quarantine.permit_trial(suspect, round, at(ms)).unwrap();
            trials.push(ms);
        }
    }
    trials
}

/// Guards against a request that its second attempt and the next copy carry to all engines of a
/// service before three separate events are seen.
#[test]
fn engines_that_fall_one_after_the_other_under_one_request_are_separate_events() {
    let mut evidence = CrashEvidence::default();
    strike_begun(&mut evidence, 1, 0, 84, &[DEADLY]);
    strike_begun(&mut evidence, 2, 85, 165, &[DEADLY]);
    strike_begun(&mut evidence, 3, 170, 250, &[DEADLY]);
    assert_eq!(concluded(&mut evidence, at(900)), []);
    assert_eq!(concluded(&mut evidence, at(950)), [(DEADLY, false)]);
}

#[test]
fn engines_that_fall_together_are_no_evidence_against_a_request_at_some_of_them() {
    let mut evidence = CrashEvidence::default();
    for outage in 0..5 {
        let ms = outage * 2_000 + 1_000;
        strike_begun(&mut evidence, outage * 3, ms - 10, ms, &[FREQUENT]);
        for engine in 1..3 {
            let other = Suspect::Request(100 + outage * 3 + engine);
            strike_begun(
                &mut evidence,
                outage * 3 + engine,
                ms - 20,
                ms + engine,
                &[other],
            );
        }
    }
    assert_eq!(concluded(&mut evidence, at(10_000) + SETTLED), []);
}

/// Guards against sound requests that are refused for a part which only copies of one request had.
#[test]
fn a_request_is_concluded_rather_than_the_parts_of_its_prompt() {
    let mut evidence = CrashEvidence::default();
    for process in 1..=3 {
        strike_begun(
            &mut evidence,
            process,
            process * 500,
            process * 500 + 80,
            &[DEADLY, DOCUMENT],
        );
    }
    assert_eq!(
        concluded(&mut evidence, at(2_000) + SETTLED),
        [(DEADLY, false)]
    );
    assert_eq!(concluded(&mut evidence, at(9_000) + SETTLED), []);
}

/// Guards against a part that is found late because one request with it, sent again and again, was
/// held first.
#[test]
fn crashes_of_a_held_request_count_against_its_parts_beside_another_one() {
    let mut evidence = CrashEvidence::default();
    for process in 1..=3 {
        strike_begun(
            &mut evidence,
            process,
            process * 500,
            process * 500 + 80,
            &[DEADLY, DOCUMENT],
        );
    }
    assert_eq!(concluded(&mut evidence, at(3_000)), [(DEADLY, false)]);
    strike_begun(&mut evidence, 4, 3_100, 3_200, &[FREQUENT, DOCUMENT]);
    assert_eq!(concluded(&mut evidence, at(4_000)), [(DOCUMENT, false)]);
}

#[test]
fn a_part_is_concluded_rather_than_the_requests_with_it() {
    let mut evidence = CrashEvidence::default();
    for process in 1..=4 {
        let request = Suspect::Request(100 + process / 2);
        strike_begun(
            &mut evidence,
            process,
            process * 500,
            process * 500 + 80,
            &[request, DOCUMENT],
        );
    }
    assert_eq!(
        concluded(&mut evidence, at(3_000) + SETTLED),
        [(DOCUMENT, false)]
    );
}

#[test]
fn requests_that_nothing_tells_apart_are_concluded_together() {
    let mut evidence = CrashEvidence::default();
    for process in 1..=3 {
        strike_begun(
            &mut evidence,
            process,
            process * 500,
            process * 500 + 80,
            &[DEADLY, FREQUENT],
        );
    }
    assert_eq!(
        concluded(&mut evidence, at(2_000) + SETTLED),
        [(DEADLY, true), (FREQUENT, true)]
    );
}

#[test]
fn an_answer_between_crashes_clears_a_frequent_request() {
    let mut evidence = CrashEvidence::default();
    for process in 1..=8 {
        let ms = process * 1_000;
        strike_begun(&mut evidence, process, ms, ms + 80, &[DEADLY, FREQUENT]);
        if process % 2 == 0 {
            evidence.record_answer(FREQUENT, at(ms + 500));
        }
    }
    assert_eq!(
        concluded(&mut evidence, at(9_000) + SETTLED),
        [(DEADLY, false)]
    );
}

#[rstest]
#[case::three_crashes(3, false, &[4_000, 604_000])]
#[case::four_crashes(4, false, &[4_000])]
#[case::five_crashes(5, false, &[])]
#[case::five_crashes_and_another_suspect(5, true, &[0])]
fn copies_of_a_request_are_tried_a_few_times_only(
    #[case] crashes: u64,
    #[case] is_ambiguous: bool,
    #[case] expected: &[u64],
) {
    let mut quarantine = held(DEADLY, crashes, is_ambiguous);
    assert_eq!(trials(&mut quarantine, DEADLY), expected);
    // It is held all the same.
    assert!(quarantine.is_held(DEADLY));
}

#[test]
fn a_part_and_a_request_with_equal_hashes_are_told_apart() {
    let quarantine = held(Suspect::Request(2), 3, false);
    assert_eq!(
        quarantine.verdict(&[DOCUMENT], at(1)),
        QuarantineVerdict::Clear
    );
    let record = quarantine.record(Suspect::Request(2), at(0)).unwrap();
    assert_eq!(record.suspect(), Suspect::Request(2));
}

#[test]
fn a_stored_record_without_a_kind_is_of_a_part() {
    let quarantine = held(DOCUMENT, 3, false);
    let record = quarantine.record(DOCUMENT, at(0)).unwrap();
    let mut stored = serde_json::to_value(&record).unwrap();
    assert_eq!(stored["part"], 2);
    stored.as_object_mut().unwrap().remove("kind");
    assert_eq!(
        serde_json::from_value::<celerylever::gateway::QuarantineRecord>(stored).unwrap(),
        record
    );
}

/// Conclusions of VMs that exchange all news of crashes.
#[test]
fn vms_conclude_together_what_each_saw_once() {
    let mut guards = [(); 3].map(|()| CrashGuard::default());
    for (vm, process) in [(0, 1), (1, 2), (2, 3)] {
        let ms = process * 500;
        let run = InterruptedRun {
            suspects: [DEADLY].into(),
            began_at: at(ms),
        };
        guards[vm].record_broken(process, run, std::iter::empty(), at(ms + 80));
        guards[vm].record_crash(process);
        let news = guards[vm].next_news(at(ms + 100));
        for (other, guard) in guards.iter_mut().enumerate() {
            if other != vm {
                guard.apply(&news, false, at(ms + 120));
            }
        }
    }
    for guard in &mut guards {
        let changes = guard.tick(at(3_000));
        assert_eq!(changes.len(), 1);
        assert_eq!(changes[0].record.suspect(), DEADLY);
    }
    // An answer releases it, which the others are told.
    let run = InterruptedRun {
        suspects: [DEADLY].into(),
        began_at: at(4_000),
    };
    assert!(guards[0].record_end(9, &run, at(4_100)).is_some());
    let news = guards[0].next_news(at(4_200));
    assert_eq!(guards[1].apply(&news, false, at(4_200)).len(), 1);
    let verdict = guards[1].verdict(&[DEADLY], at(4_300));
    assert_eq!(verdict, QuarantineVerdict::Clear);
}

//! Tests of the retry budgets of services.

use super::*;

#[rstest]
#[case(1)]
#[case(8)]
#[case(78)]
fn repeats_of_all_vms_stay_within_the_budget(#[case] vms: usize) {
    let bounds = RetryBudgetBounds {
        ratio: 0.2,
        slack: 56,
    };
    let (mut retries, mut requests) = (0_u32, 0_u32);
    for _ in 0..vms {
        let mut budgets = RetryBudgets::new(bounds);
        for step in 0..200 {
            let now = MS(step * 50);
            budgets.record_request("notes", vms, now);
            requests += 1;
            retries += u32::from(budgets.try_take("notes", vms, now));
        }
    }
    let bound = requests as f64 * bounds.ratio + f64::from(bounds.slack);
    assert!(
        f64::from(retries) <= bound,
        "{retries} retries, at most {bound} expected"
    );
    assert!(f64::from(retries) >= f64::from(requests) * 0.1);
}

#[test]
fn services_do_not_share_a_budget() {
    let mut budgets = RetryBudgets::new(RetryBudgetBounds {
        ratio: 0.2,
        slack: 2,
    });
    while budgets.try_take("notes", 1, MS(0)) {}
    assert!(budgets.try_take("slots", 1, MS(0)));
}

#[test]
fn a_budget_follows_the_size_of_the_fleet() {
    let bounds = RetryBudgetBounds {
        ratio: 0.2,
        slack: 50,
    };
    let mut budgets = RetryBudgets::new(bounds);
    // The first request arrives before any other VM is known.
    budgets.record_request("notes", 1, MS(0));
    let grants = (0..100).filter(|step| budgets.try_take("notes", 120, MS(1 + step)));
    let grants = grants.count();
    assert!(grants <= 1, "{grants} retries of one VM in 120");
}

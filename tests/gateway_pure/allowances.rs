//! Tests of the customers' rate limits, which all VMs of the fleet share.

use super::*;

const RATE: u64 = 10_000;

fn allowance() -> Allowance {
    Allowance {
        unit: CostUnit::Token { plain_tokens: 200 },
        rate_per_s: RATE,
        burst: RATE,
    }
}

fn responsive_group(vms: usize, demand: f64) -> VmGroup {
    VmGroup {
        vms,
        demand_per_s: Some(demand),
    }
}

fn unresponsive_group(vms: usize) -> VmGroup {
    VmGroup {
        vms,
        demand_per_s: None,
    }
}

/// Sends `per_s` requests a second for `seconds` and returns the cost units that were granted.
fn request_at_rate(
    accounts: &mut Allowances,
    others: &[VmGroup],
    cost: u64,
    per_s: u64,
    seconds: u64,
) -> u64 {
    let request_count = per_s * seconds;
    let granted = (0..request_count).filter(|request| {
        let now = MS(request * 1_000 / per_s);
        accounts
            .try_take("teifi", &allowance(), cost, 1, others, now)
            .is_ok()
    });
    granted.count() as u64 * cost
}

/// The shares of the rate follow the demand within two seconds; after that, no request within the
/// rate is refused.
#[test]
fn an_account_whose_others_are_idle_gets_the_whole_rate() {
    let mut accounts = Allowances::new(AllowanceSettings::default());
    request_at_rate(&mut accounts, &[responsive_group(7, 0.0)], 100, 95, 2);
    let request_times = (2 * 95..12 * 95).map(|request| MS(request * 1_000 / 95));
    let refused = request_times.filter(|now| {
        let result = accounts.try_take(
            "teifi",
            &allowance(),
            100,
            1,
            &[responsive_group(7, 0.0)],
            *now,
        );
        result.is_err()
    });
    assert_eq!(refused.count(), 0);
}

#[test]
fn a_silent_part_is_left_alone() {
    let mut accounts = Allowances::new(AllowanceSettings::default());
    let granted = request_at_rate(&mut accounts, &[unresponsive_group(3)], 100, 400, 20);
    let vm_share = RATE / 4;
    assert!(
        granted <= vm_share * 21 && granted >= vm_share * 19,
        "granted {granted} units at a share of {vm_share} units/s"
    );
}

/// Accounts on VMs that are partitioned from each other; each receives requests for far more than
/// the rate.
#[rstest]
#[case(2, 100)]
#[case(4, 100)]
#[case(8, 1_000)]
fn cut_off_accounts_stay_within_the_rate_together(#[case] vms: usize, #[case] cost: u64) {
    let others = [unresponsive_group(vms - 1)];
    let total: u64 = (0..vms)
        .map(|_| {
            let mut accounts = Allowances::new(AllowanceSettings::default());
            request_at_rate(&mut accounts, &others, cost, 200, 8)
        })
        .sum();
    let bound = RATE * 8 + RATE;
    assert!(
        total <= bound + cost * vms as u64,
        "granted {total} units, at most {bound} expected"
    );
}

#[test]
fn a_refusal_tells_when_enough_is_there() {
    let mut accounts = Allowances::new(AllowanceSettings::default());
    let start = accounts.try_take("teifi", &allowance(), 7_900, 1, &[], MS(0));
    assert!(start.is_ok());
    let refused = accounts.try_take("teifi", &allowance(), 5_000, 1, &[], MS(0));
    let wait = refused.unwrap_err().retry_after;
    let retried = accounts.try_take("teifi", &allowance(), 5_000, 1, &[], wait + MS(10));
    assert!(retried.is_ok());
}

#[test]
fn a_lower_limit_binds_what_was_saved() {
    let mut accounts = Allowances::new(AllowanceSettings::default());
    accounts
        .try_take("teifi", &allowance(), 1, 1, &[], MS(0))
        .unwrap();
    let low = Allowance {
        rate_per_s: 100,
        burst: 100,
        ..allowance()
    };
    accounts
        .try_take("teifi", &low, 100, 1, &[], MS(2_000))
        .unwrap();
    assert!(
        accounts
            .try_take("teifi", &low, 100, 1, &[], MS(2_010))
            .is_err()
    );
}

/// Guards against the refusal of a request that costs more than the capacity of an account while
/// the account is almost full: the account grants it and its balance becomes negative.
#[test]
fn a_request_larger_than_an_account_is_taken_on_credit() {
    let mut accounts = Allowances::new(AllowanceSettings::default());
    let others = [unresponsive_group(7)];
    let result = accounts.try_take("teifi", &allowance(), 5_000, 1, &others, MS(0));
    assert!(result.is_ok());
    let retried = accounts.try_take("teifi", &allowance(), 100, 1, &others, MS(0));
    assert!(retried.unwrap_err().remaining < 0);
}

/// The single account of a zone with many VMs has room for a request that costs more than the
/// share of one VM.
#[test]
fn a_request_larger_than_a_single_part_is_granted() {
    let mut accounts = Allowances::new(AllowanceSettings::default());
    let others = [responsive_group(60, 0.0)];
    assert!(
        accounts
            .try_take("teifi", &allowance(), 2_000, 20, &others, MS(0))
            .is_ok()
    );
}

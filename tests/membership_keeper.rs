//! Lease keeper at single steps that the simulation meets rarely.

use std::net::SocketAddr;
use std::time::Duration;

use celerylever::membership::{
    RecordObject, RecordState, RecordWriteOutcome, Timing, VmIdentity, VmLease, VmLeaseAction,
    VmRecord, WitnessId,
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn witness(port: u16) -> WitnessId {
    WitnessId {
        peer_address: SocketAddr::from(([127, 0, 0, 1], port)),
        vm: format!("vm-{port}"),
    }
}

fn witnesses(ports: &[u16]) -> Vec<WitnessId> {
    ports.iter().map(|port| witness(*port)).collect()
}

fn identity() -> VmIdentity {
    VmIdentity {
        vm: "vm-0".into(),
        incarnation: 100,
        peer_address: Some(witness(1_000).peer_address),
        availability_zone: "a".into(),
    }
}

/// Returns a keeper that registered at time zero with these witnesses.
fn registered(ports: &[u16]) -> (VmLease, VmRecord) {
    let mut lease = VmLease::new(Timing::default(), identity());
    assert_eq!(write_due(&mut lease, Duration::ZERO, &[]), None);
    lease.read_completed(Duration::ZERO, Some(RecordObject::default()));
    let record = write_due(&mut lease, Duration::ZERO, ports).unwrap();
    lease.write_completed(
        Duration::ZERO,
        Duration::ZERO,
        RecordWriteOutcome::Applied(7),
    );
    (lease, record)
}

fn write_due(lease: &mut VmLease, now: Duration, ports: &[u16]) -> Option<VmRecord> {
    match lease.next_action(now, &witnesses(ports), 0)? {
        VmLeaseAction::Read => None,
        VmLeaseAction::Write { record, .. } => Some(record),
    }
}

/// Returns until when the keeper is valid after vouches of these witnesses sent at second 5.
fn valid_after_vouches(lease: &mut VmLease, ports: &[u16]) -> Option<Duration> {
    for port in ports {
        lease.lease_confirmed(6 * SECOND, 5 * SECOND, witness(*port).peer_address, 100);
    }
    lease.valid_until()
}

#[rstest]
#[case::majority(&[1, 2], 14)]
#[case::minority(&[1], 9)]
#[case::strangers(&[8, 9], 9)]
fn strict_majority_of_the_recorded_extends(#[case] ports: &[u16], #[case] until_s: u64) {
    let (mut lease, _) = registered(&[1, 2, 3]);
    let until = valid_after_vouches(&mut lease, ports);
    assert_eq!(until, Some(Duration::from_secs(until_s)));
}

#[rstest]
#[case::recorded_only(&[1, 2], 9)]
#[case::written_only(&[4, 5], 9)]
#[case::both(&[1, 2, 4, 5], 14)]
fn unknown_write_needs_both_majorities(#[case] ports: &[u16], #[case] until_s: u64) {
    let (mut lease, _) = registered(&[1, 2, 3]);
    write_due(&mut lease, 3 * SECOND, &[4, 5, 6]).unwrap();
    lease.write_completed(4 * SECOND, 3 * SECOND, RecordWriteOutcome::Unknown);
    let until = valid_after_vouches(&mut lease, ports);
    assert_eq!(until, Some(Duration::from_secs(until_s)));
}

#[test]
fn vouches_do_not_revive_a_lapsed_lease() {
    let (mut lease, _) = registered(&[1]);
    let address = witness(1).peer_address;
    lease.lease_confirmed(9 * SECOND, 8 * SECOND, address, 100);
    assert_eq!(lease.valid_until(), Some(9 * SECOND));
}

#[test]
fn vouches_for_an_earlier_incarnation_count_for_nothing() {
    let (mut lease, _) = registered(&[1]);
    let address = witness(1).peer_address;
    lease.lease_confirmed(6 * SECOND, 5 * SECOND, address, 99);
    assert_eq!(lease.valid_until(), Some(9 * SECOND));
}

#[test]
fn fence_ends_the_lease_and_the_next_incarnation_registers() {
    let (mut lease, record) = registered(&[1]);
    write_due(&mut lease, 3 * SECOND, &[1]).unwrap();
    let fenced = RecordObject {
        version: 9,
        record: Some(VmRecord {
            state: RecordState::Fenced,
            ..record
        }),
    };
    lease.write_completed(4 * SECOND, 3 * SECOND, RecordWriteOutcome::Conflict(fenced));
    assert_eq!((lease.valid_until(), lease.fence_count()), (None, 1));
    let next = write_due(&mut lease, 4 * SECOND, &[1]).unwrap();
    assert_eq!((next.incarnation, next.state), (101, RecordState::Active));
}

#[test]
fn stale_read_changes_nothing() {
    let (mut lease, record) = registered(&[1, 2, 3]);
    write_due(&mut lease, 3 * SECOND, &[4, 5, 6]).unwrap();
    let stale = RecordObject {
        version: 6,
        record: Some(VmRecord {
            witnesses: witnesses(&[1]),
            ..record
        }),
    };
    lease.write_completed(4 * SECOND, 3 * SECOND, RecordWriteOutcome::Conflict(stale));
    let until = valid_after_vouches(&mut lease, &[1]);
    assert_eq!(until, Some(9 * SECOND));
}

#[test]
fn malformed_record_is_never_overwritten() {
    let mut lease = VmLease::new(Timing::default(), identity());
    for second in 0..100 {
        let now = second * SECOND;
        match lease.next_action(now, &[], 0) {
            Some(VmLeaseAction::Read) => {
                let malformed = RecordObject {
                    version: 3,
                    record: None,
                };
                lease.read_completed(now, Some(malformed));
            }
            action => assert_eq!(action, None),
        }
    }
}

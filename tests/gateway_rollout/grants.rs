//! Grants of traffic shares at a VM.

use std::time::Duration;

use celerylever::gateway::{GrantBook, RolloutGrant};

const AGE_MAX: Duration = Duration::from_millis(1_500);

fn grant(share_permille: u16, fencing: u64, sequence: u32) -> RolloutGrant {
    RolloutGrant {
        service: "lookup".into(),
        target: "v2".into(),
        share_permille,
        fencing,
        sequence,
    }
}

fn share(book: &GrantBook, now: Duration) -> u16 {
    book.share("lookup", "v2", now)
}

/// Guards against a VM without contact that goes on sending requests to the target.
#[test]
fn an_old_grant_is_no_longer_in_force() {
    let mut book = GrantBook::new(AGE_MAX);
    let received_at = Duration::from_secs(5);
    assert!(book.record(grant(250, 1, 1), received_at));
    assert_eq!(share(&book, received_at + AGE_MAX / 2), 250);
    assert_eq!(share(&book, received_at + AGE_MAX), 0);
}

/// Guards against two holders whose grants alternate, and against delayed datagrams.
#[test]
fn grants_of_an_older_lease_and_older_grants_are_ignored() {
    let mut book = GrantBook::new(AGE_MAX);
    let now = Duration::from_secs(5);
    assert!(book.record(grant(1_000, 2, 7), now));
    assert!(!book.record(grant(50, 1, 9), now));
    assert!(!book.record(grant(50, 2, 6), now));
    assert_eq!(share(&book, now), 1_000);
    assert!(book.record(grant(50, 3, 1), now));
    assert_eq!(share(&book, now), 50);
}

/// Guards against a share that is applied to another target or service.
#[test]
fn a_grant_is_for_its_target_only() {
    let mut book = GrantBook::new(AGE_MAX);
    let now = Duration::from_secs(5);
    book.record(grant(300, 1, 1), now);
    assert_eq!(book.share("lookup", "v3", now), 0);
    assert_eq!(book.share("search", "v2", now), 0);
    assert!(!book.record(grant(1_001, 1, 2), now));
}

//! Tests of the copies of the store's objects in a VM's memory.

use super::*;

fn weights_change(name: &str, number: u64) -> ObjectChange {
    let record = ObjectRecord::Weights(TargetWeights {
        model: name.to_owned(),
        weights: number,
    });
    ObjectChange {
        name: name.to_owned(),
        record: Some(record),
    }
}

fn deletion(name: &str) -> ObjectChange {
    ObjectChange {
        name: name.to_owned(),
        record: None,
    }
}

#[test]
fn an_older_listing_changes_nothing() {
    let mut mirror = ObjectMirror::default();
    mirror.replace(Listing {
        objects: vec![weights_change("m", 2)],
        revision: 20,
    });
    let changes = mirror.replace(Listing {
        objects: vec![weights_change("m", 1)],
        revision: 10,
    });
    assert_eq!((changes.len(), mirror.revision()), (0, 20));
}

#[test]
fn a_listing_tells_what_is_gone() {
    let mut mirror = ObjectMirror::default();
    mirror.replace(Listing {
        objects: vec![weights_change("m", 1), weights_change("n", 1)],
        revision: 10,
    });
    let changes = mirror.replace(Listing {
        objects: vec![weights_change("m", 1)],
        revision: 11,
    });
    assert_eq!(changes, [deletion("n")]);
}

#[test]
fn changes_after_a_revision_that_is_no_longer_kept_are_not_named() {
    let mut mirror = ObjectMirror::default();
    mirror.replace(Listing {
        objects: vec![],
        revision: 10,
    });
    assert!(mirror.changes_after(9).is_none());
    for number in 0..400 {
        mirror.apply(vec![weights_change("m", number)], 11 + number);
    }
    assert!(mirror.changes_after(20).is_none());
    assert_eq!(mirror.changes_after(409).unwrap().changes.len(), 1);
}

proptest! {
    /// A mirror that copies another one from any revision on ends with the same objects.
    #[test]
    fn a_follower_ends_with_the_same_objects(steps in proptest::collection::vec((0_u8..4, proptest::option::of(1_u64..9)), 1..40), from in 0_usize..40) {
        let mut mirror = ObjectMirror::default();
        let mut follower = ObjectMirror::default();
        mirror.replace(Listing { objects: vec![], revision: 1 });
        for (step, (name, number)) in steps.iter().enumerate() {
            let name = format!("m{name}");
            let change = number.map_or_else(|| deletion(&name), |number| weights_change(&name, number));
            mirror.apply(vec![change], step as u64 + 2);
            if step == from {
                follower.replace(mirror.listing().unwrap());
            }
        }
        match follower.revision() {
            0 => { follower.replace(mirror.listing().unwrap()); }
            after => {
                let changes = mirror.changes_after(after).unwrap();
                follower.apply(changes.changes, changes.revision);
            }
        }
        prop_assert_eq!(follower.listing(), mirror.listing());
    }
}

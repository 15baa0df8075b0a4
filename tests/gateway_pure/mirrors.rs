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

fn upstream_change(name: &str) -> ObjectChange {
    ObjectChange {
        name: name.to_owned(),
        record: Some(ObjectRecord::Upstream(entry(1, UpstreamStage::Ready))),
    }
}

/// Guards against weights that fall back, and engines that stay listed, after a restore.
#[test]
fn a_listing_of_a_later_era_replaces_all_but_newer_content_of_the_operator() {
    let mut weights = ObjectMirror::default();
    weights.replace(Listing {
        objects: vec![weights_change("m", 5), weights_change("n", 1)],
        revision: store_position(1, 90).unwrap(),
    });
    let changes = weights.replace(Listing {
        objects: vec![weights_change("m", 4)],
        revision: store_position(2, 40).unwrap(),
    });
    assert_eq!(changes, []);
    assert_eq!(weights.listing().unwrap().objects.len(), 2);
    let mut upstreams = ObjectMirror::default();
    upstreams.replace(Listing {
        objects: vec![upstream_change("i-1"), upstream_change("i-2")],
        revision: store_position(1, 90).unwrap(),
    });
    let changes = upstreams.replace(Listing {
        objects: vec![upstream_change("i-1")],
        revision: store_position(2, 40).unwrap(),
    });
    assert_eq!(changes, [deletion("i-2")]);
}

/// A follower must list again, as the changes of the earlier era lead to another state.
#[test]
fn followers_list_again_after_a_restore() {
    let mut mirror = ObjectMirror::default();
    let before = store_position(1, 90).unwrap();
    mirror.replace(Listing {
        objects: vec![],
        revision: before,
    });
    mirror.apply(vec![weights_change("m", 2)], before + 1);
    mirror.replace(Listing {
        objects: vec![weights_change("m", 2)],
        revision: store_position(2, 40).unwrap(),
    });
    assert!(mirror.changes_after(before).is_none());
    assert!(mirror.changes_after(before + 1).is_none());
}

/// Another VM may know what the restored store has forgotten.
#[test]
fn an_older_listing_with_newer_content_of_the_operator_is_applied() {
    let mut mirror = ObjectMirror::default();
    mirror.replace(Listing {
        objects: vec![weights_change("m", 4)],
        revision: store_position(2, 50).unwrap(),
    });
    let changes = mirror.replace(Listing {
        objects: vec![weights_change("m", 5)],
        revision: store_position(2, 40).unwrap(),
    });
    assert_eq!(changes, [weights_change("m", 5)]);
    assert_eq!(mirror.revision(), store_position(2, 50).unwrap());
}

proptest! {
    /// Positions of different eras are ordered by their eras, whatever the revisions.
    #[test]
    fn positions_are_ordered_by_era_and_then_by_revision(one in (0_u64..1_000, 1_u64..1 << 44), other in (0_u64..1_000, 1_u64..1 << 44)) {
        let position = |(era, revision)| store_position(era, revision).unwrap();
        prop_assert_eq!(position(one).cmp(&position(other)), one.cmp(&other));
        prop_assert_eq!((era_of(position(one)), revision_of(position(one))), one);
    }
}

#[test]
fn positions_that_do_not_fit_are_refused() {
    assert_eq!(store_position(1 << 20, 1), None);
    assert_eq!(store_position(1, 1 << 44), None);
    assert_eq!(store_position(7, 0), Some(0));
}

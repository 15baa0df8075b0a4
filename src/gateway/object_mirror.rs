//! Copy of the store's objects of one kind, with the latest changes for VMs that watch the store
//! through this one.
//!
//! After the store was restored from an older copy, its listing replaces the objects of upstreams,
//! which write them again, but not newer content of the operator, which was in force already.

use std::collections::{BTreeMap, VecDeque};

use super::platform_api::{ChangeBatch, Listing, ObjectChange, ObjectRecord};
use crate::ids::ObjectVersion;
use crate::platform::era_of;

/// Changes kept for VMs that watch the store through this one.
const CHANGES_MAX: usize = 256;

/// Copy of the store's objects of one kind.
#[derive(Debug, Clone, Default)]
pub struct ObjectMirror {
    objects: BTreeMap<String, ObjectRecord>,
    /// Position in the store's history of the copy; 0 before the first listing.
    revision: ObjectVersion,
    changes: VecDeque<(ObjectVersion, ObjectChange)>,
    /// Store revision after which `changes` is complete.
    complete_after: ObjectVersion,
}

impl ObjectMirror {
    /// Returns the store revision of the copy; 0 before the first listing.
    pub fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// Returns the store revision of the last change.
    pub fn last_change_revision(&self) -> ObjectVersion {
        self.changes
            .back()
            .map_or(self.complete_after, |(revision, _)| *revision)
    }

    /// Replaces all objects by a listing; returns the differences.
    ///
    /// Of a listing older than the copy, only newer content of the operator is applied: its sender
    /// may have seen what a restored store has forgotten.
    pub fn replace(&mut self, listing: Listing) -> Vec<ObjectChange> {
        if self.revision > listing.revision {
            let mut newer = listing.objects;
            newer.retain(|change| {
                let known = self.objects.get(&change.name);
                is_superseded(known, change.record.as_ref())
            });
            return self.apply(newer, self.revision);
        }
        let is_restored = self.revision > 0 && era_of(listing.revision) > era_of(self.revision);
        if self.revision == 0 || is_restored {
            // Changes of an earlier era lead to another state than the listing.
            self.changes.clear();
            self.complete_after = listing.revision;
        }
        let is_listed = |name: &String| listing.objects.iter().any(|change| change.name == *name);
        let removed = self
            .objects
            .iter()
            .filter(|(name, record)| !(is_listed(name) || is_restored && is_from_operator(record)));
        let removed: Vec<ObjectChange> = removed
            .map(|(name, _)| ObjectChange {
                name: name.clone(),
                record: None,
            })
            .collect();
        let is_current = |change: &ObjectChange| {
            let known = self.objects.get(&change.name);
            !is_restored || !is_superseded(change.record.as_ref(), known)
        };
        let listed = listing.objects.into_iter().filter(is_current);
        let changes = listed.chain(removed).collect();
        self.apply(changes, listing.revision)
    }

    /// Applies changes in order; returns those that differ from the copy.
    pub fn apply(
        &mut self,
        changes: Vec<ObjectChange>,
        revision: ObjectVersion,
    ) -> Vec<ObjectChange> {
        let mut changed = Vec::new();
        for change in changes {
            if self.objects.get(&change.name) == change.record.as_ref() {
                continue;
            }
            match &change.record {
                Some(record) => self.objects.insert(change.name.clone(), record.clone()),
                None => self.objects.remove(&change.name),
            };
            self.changes.push_back((revision, change.clone()));
            changed.push(change);
        }
        while self.changes.len() > CHANGES_MAX {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.complete_after = revision;
            }
        }
        self.revision = self.revision.max(revision);
        changed
    }

    /// Returns all objects; `None` before the first listing.
    pub fn listing(&self) -> Option<Listing> {
        let objects = self.objects.iter().map(|(name, record)| ObjectChange {
            name: name.clone(),
            record: Some(record.clone()),
        });
        (self.revision > 0).then(|| Listing {
            objects: objects.collect(),
            revision: self.revision,
        })
    }

    /// Returns the changes after a revision; `None` if some of them are no longer kept.
    pub fn changes_after(&self, revision: ObjectVersion) -> Option<ChangeBatch> {
        if revision < self.complete_after || self.revision == 0 {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(ChangeBatch {
            changes: later.map(|(_, change)| change.clone()).collect(),
            revision: self.revision.max(revision),
        })
    }
}

/// Returns whether the operator writes the object, so that a restored store that lacks it does not
/// end what was in force.
fn is_from_operator(record: &ObjectRecord) -> bool {
    match record {
        ObjectRecord::Config(_) | ObjectRecord::Weights(_) | ObjectRecord::Rollout(_) => true,
        ObjectRecord::Upstream(_) | ObjectRecord::Unusable(_) => false,
    }
}

/// Returns whether `known` has a higher version of the operator than `listed`.
fn is_superseded(listed: Option<&ObjectRecord>, known: Option<&ObjectRecord>) -> bool {
    match (listed, known) {
        (Some(ObjectRecord::Config(listed)), Some(ObjectRecord::Config(known))) => {
            listed.version < known.version
        }
        (Some(ObjectRecord::Weights(listed)), Some(ObjectRecord::Weights(known))) => {
            listed.weights < known.weights
        }
        _ => false,
    }
}

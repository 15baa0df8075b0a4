//! Objects of one kind as the store has them, with the latest changes for VMs that follow this one.

use std::collections::{BTreeMap, VecDeque};

use super::platform_api::{ChangeBatch, Listing, ObjectChange, ObjectRecord};
use crate::ids::ObjectVersion;

/// Changes kept for VMs that follow this one.
const CHANGES_MAX: usize = 256;

/// Objects of one kind.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    objects: BTreeMap<String, ObjectRecord>,
    /// Revision up to which everything was seen; 0 before the first listing.
    revision: ObjectVersion,
    changes: VecDeque<(ObjectVersion, ObjectChange)>,
    /// Revision after which all changes are kept.
    complete_after: ObjectVersion,
}

impl Mirror {
    /// Returns the revision up to which everything was seen; 0 before the first listing.
    pub fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// Returns the revision at which something changed last.
    pub fn changed(&self) -> ObjectVersion {
        self.changes
            .back()
            .map_or(self.complete_after, |(revision, _)| *revision)
    }

    /// Takes all objects; returns what differs, or nothing where newer changes were seen.
    pub fn replace(&mut self, listing: Listing) -> Vec<ObjectChange> {
        if self.revision > listing.revision {
            return Vec::new();
        }
        if self.revision == 0 {
            self.complete_after = listing.revision;
        }
        let is_listed = |name: &String| listing.objects.iter().any(|change| change.name == *name);
        let gone = self.objects.keys().filter(|name| !is_listed(name)).cloned();
        let gone: Vec<ObjectChange> = gone
            .map(|name| ObjectChange { name, record: None })
            .collect();
        let changes = listing.objects.into_iter().chain(gone).collect();
        self.apply(changes, listing.revision)
    }

    /// Takes changes in their order; returns those that differ from what was known.
    pub fn apply(
        &mut self,
        changes: Vec<ObjectChange>,
        revision: ObjectVersion,
    ) -> Vec<ObjectChange> {
        let mut news = Vec::new();
        for change in changes {
            if self.objects.get(&change.name) == change.record.as_ref() {
                continue;
            }
            match &change.record {
                Some(record) => self.objects.insert(change.name.clone(), record.clone()),
                None => self.objects.remove(&change.name),
            };
            self.changes.push_back((revision, change.clone()));
            news.push(change);
        }
        while self.changes.len() > CHANGES_MAX {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.complete_after = revision;
            }
        }
        self.revision = self.revision.max(revision);
        news
    }

    /// Returns all objects; nothing before the first listing.
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

    /// Returns the changes after a revision; nothing where some are no longer kept.
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

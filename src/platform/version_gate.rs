//! Filter that accepts content only in increasing order of version.

use crate::ids::ObjectVersion;

/// Stores the content with the highest version offered so far and rejects every other version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionGate<T> {
    in_force: Option<(ObjectVersion, T)>,
}

impl<T> Default for VersionGate<T> {
    fn default() -> Self {
        Self { in_force: None }
    }
}

impl<T> VersionGate<T> {
    /// Stores `content` if `version` is above the current one, and returns whether it did.
    pub fn offer(&mut self, version: ObjectVersion, content: T) -> bool {
        if version <= self.version() {
            return false;
        }
        self.in_force = Some((version, content));
        true
    }

    /// Returns the current version, or 0 before any content was accepted.
    pub fn version(&self) -> ObjectVersion {
        self.in_force.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Returns the current content, or `None` before any was accepted.
    pub fn content(&self) -> Option<&T> {
        self.in_force.as_ref().map(|(_, content)| content)
    }
}

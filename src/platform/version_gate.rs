//! Gate that lets versions rise only.

use crate::ids::ObjectVersion;

/// Holds the highest version offered so far and refuses every other one.
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
    /// Accepts `content` if `version` is above the one in force; returns whether it did.
    pub fn offer(&mut self, version: ObjectVersion, content: T) -> bool {
        if version <= self.version() {
            return false;
        }
        self.in_force = Some((version, content));
        true
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> ObjectVersion {
        self.in_force.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Returns the content in force.
    pub fn content(&self) -> Option<&T> {
        self.in_force.as_ref().map(|(_, content)| content)
    }
}

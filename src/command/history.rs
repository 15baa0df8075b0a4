//! Copies of replaced documents, stored for rollbacks.

use super::error::CommandError;
use super::store::Store;
use crate::ids::ObjectVersion;
use crate::platform::{Kind, Object, PutOutcome, StoreError};

const KIND: Kind = Kind::History;
const PREFIX: &str = "history.";
const KEPT_VERSIONS_MAX: usize = 20;

/// Stores a copy of the current document before it is replaced.
pub(super) async fn save_copy(store: &impl Store, current: &Object) -> Result<(), CommandError> {
    let name = copy_name(current.version);
    match store.put(KIND, &name, 0, &current.value).await? {
        PutOutcome::Applied(_) | PutOutcome::Conflict(Some(_)) => Ok(()),
        PutOutcome::Conflict(None) | PutOutcome::NotApplied | PutOutcome::Unknown => {
            Err(CommandError::NotApplied)
        }
    }
}

/// Deletes the oldest copies beyond [`KEPT_VERSIONS_MAX`].
pub(super) async fn prune_copies(store: &impl Store) -> Result<(), StoreError> {
    let listing = store.list(KIND).await?;
    let mut copies: Vec<(ObjectVersion, Object)> = listing
        .items
        .into_iter()
        .filter_map(|object| Some((copied_version(&object.name)?, object)))
        .collect();
    copies.sort_by_key(|(version, _)| *version);
    let surplus = copies.len().saturating_sub(KEPT_VERSIONS_MAX);
    for (_, object) in copies.into_iter().take(surplus) {
        store.delete(KIND, &object.name, object.version).await?;
    }
    Ok(())
}

/// Reads the copy of a replaced version.
pub(super) async fn read_copy(
    store: &impl Store,
    version: ObjectVersion,
) -> Result<Object, CommandError> {
    let copy = store.get(KIND, &copy_name(version)).await?;
    copy.ok_or_else(|| {
        let message = format!(
            "version {version} is not stored; only the last {KEPT_VERSIONS_MAX} replaced versions are"
        );
        CommandError::NotFound(message)
    })
}

fn copy_name(version: ObjectVersion) -> String {
    format!("{PREFIX}{version}")
}

fn copied_version(name: &str) -> Option<ObjectVersion> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

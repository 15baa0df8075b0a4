//! Installs new versions of the configuration document and reports the state of the entry.

mod advertised_versions;
mod fetch;
mod follow;
mod initial_documents;
mod status;
mod version_tracker;

pub use advertised_versions::AdvertisedVersions;
pub use fetch::{FETCH_TIMEOUT, UncheckedDocument, fetch_document};
pub use follow::{FollowerContext, follow};
pub use status::{EntryState, EntryStatus, report_status};
pub use version_tracker::{FetchAction, FetchRequest, VersionTracker, VersionTrackerSettings};

/// Name of the store object that holds the current configuration document.
pub const DOCUMENT_NAME: &str = "current";

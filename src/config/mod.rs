//! Keeps the configuration in force up to date and reports it.

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

/// Name of the document in force.
pub const DOCUMENT_NAME: &str = "current";

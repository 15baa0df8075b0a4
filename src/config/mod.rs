//! Keeps the configuration in force up to date and reports it.

mod fetch;
mod follow;
mod plan;
mod sightings;
mod start;
mod status;

pub use fetch::{FETCH_TIMEOUT, Fetched, fetch};
pub use follow::{Follow, follow};
pub use plan::{Fetch, Next, PlanSettings, VersionPlan};
pub use sightings::Sightings;
pub use status::{Status, VmState, report};

/// Name of the document in force.
pub const DOCUMENT_NAME: &str = "current";

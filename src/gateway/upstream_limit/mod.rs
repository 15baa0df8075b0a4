//! Limits on requests that upstreams name in their responses.
//!
//! An upstream in need names the requests a second that it takes from all VMs together.

mod announced;
mod limits;

pub use announced::{AnnouncedLimit, RequestRate};
pub use limits::{LimitChange, UpstreamLimits};

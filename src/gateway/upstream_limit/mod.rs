//! Limits on requests that upstreams name in their responses.
//!
//! An upstream in need names the requests a second that it takes from all VMs together. Each VM
//! tells the others what responses say. A request to such an upstream needs a permit of the VM of
//! the zone that keeps the upstream's account; the accounts of all zones together permit no more
//! than the limit, evenly spread over time.
//!
//! The decisions are made by [`UpstreamLimits`] (what a VM knows) and [`PermitAccounts`] (what the
//! keeper of an account permits), which perform no I/O; the time is passed in.

mod accounts;
mod announced;
mod limits;
mod news;
pub(super) mod permit_exchange;
mod placing;

pub use accounts::{PermitAccounts, PermitDecision, PermitRequest};
pub use announced::{AnnouncedLimit, RequestRate};
pub use limits::{LimitChange, UpstreamLimits};
pub use news::LimitNews;
pub(super) use news::{PermitCall, PermitReply};

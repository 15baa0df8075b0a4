//! Upstreams that fall over when they have to reject too many requests.
//!
//! While the upstreams of a service are brittle, each request to one of them needs a permit of the
//! one VM that keeps the upstream's ledger for the fleet. Until it is known that the upstream has
//! not rejected it, a request counts as one that may be rejected; the ledger permits no more of
//! them in a second than the upstream bears. So the bound holds for any number of VMs, whatever
//! they know of the upstream's load.
//!
//! [`BrittleServices`] (what a VM knows), [`SendLedgers`] (what the keeper permits) and
//! [`KeeperTerms`] (since when this VM is the keeper) perform no I/O; the time is passed in.

mod exchange;
mod keeper;
mod ledger;
mod messages;
mod permit;
mod services;
mod terms;

pub(super) use exchange::{send_all_brittle_services, send_brittle_news};
pub use keeper::{KeeperView, SendKeeper};
pub(super) use keeper::{VM_MARK, ZONE_MARK};
pub use ledger::{PermitId, SendDecision, SendLedgers, SendOutcome, SendRequest};
pub(super) use messages::{SendCall, SendReply, SendReport};
pub(super) use permit::SendPermit;
pub use services::BrittleServices;
pub use terms::KeeperTerms;

use std::time::Duration;

/// Time from a permit to the arrival of its request at the upstream, at most; later it is not sent.
const ARRIVAL_MAX: Duration = Duration::from_millis(500);

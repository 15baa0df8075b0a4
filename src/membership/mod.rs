//! Fleet membership of VMs: leases, failure detection and fencing.
//!
//! Each VM holds a lease on its own record in the store. The lease is extended either by the store
//! or by a strict majority of the witnesses named in the record, so that neither a store outage nor
//! the loss of a few VMs stops the VM. A VM that can reach neither stops using its resources when
//! the lease expires, which is before another VM may reassign them.

mod action;
mod core;
mod driver;
mod failure_detector;
mod handle;
mod isolation;
mod member_list;
mod record;
mod record_fencer;
mod reply_times;
mod timing;
mod vm_lease;
pub mod wire;
mod witness;

pub use self::core::{MembershipCore, MembershipSettings};
pub use action::{Action, PeerMessage, PeerReply, StoreAction};
pub use driver::{MembershipDriver, PeerClient};
pub use handle::Membership;
pub use isolation::IsolationDetector;
pub use member_list::{Member, MemberList};
pub use record::{RecordObject, RecordState, RecordWriteOutcome, VmRecord, WitnessId};
pub use record_fencer::{FenceAction, FenceOutcome, RecordFencer};
pub use timing::Timing;
pub use vm_lease::{VmIdentity, VmLease, VmLeaseAction};
pub use witness::Witness;

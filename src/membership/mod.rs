//! Which VMs are alive, and until when each may spend what it holds.
//!
//! Each VM holds a lease on its own record in the store. Either the store or a strict majority of
//! the recorded witnesses keeps it going, so that neither an outage of the store nor the loss of a
//! few VMs stops it, while a VM that is cut off from both stops by itself before another may
//! reassign what it held.

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

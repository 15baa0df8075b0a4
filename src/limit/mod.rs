//! Rate limits of customers, enforced over all VMs together.
//!
//! Customers are hashed to slots. A record in the store says which VMs hold which share of a
//! slot's rates and bursts. Holders lend tokens to the VMs that admit requests; borrowers report
//! what was consumed and return what is unused.

mod amount;
mod assignment;
mod borrower;
mod borrower_account;
mod bucket;
mod demand;
mod fleet_membership;
mod interfaces;
mod lender;
mod limiter;
mod reservation;
mod slot_table;
mod tasks;
pub mod wire;

pub use amount::{MILLION, Microtokens, PartsPerMillion, RateShare, to_microtokens, to_tokens};
pub use assignment::{
    Candidate, HOLDERS_PER_SLOT_MAX, PlanContext, RecordError, SLOT_COUNT, Slot, SlotRecord,
    SlotShare, plan_claim, plan_leave, plan_split, slot_from_name, slot_name, slot_of,
};
pub use borrower::{Borrower, BorrowerSettings, OutgoingExchange, ReservedTokens};
pub use bucket::Bucket;
pub use fleet_membership::FleetMembership;
pub use interfaces::{FleetView, HolderClient, NoPeers};
pub use lender::{AccountSettings, HeldShare, Lender};
pub use limiter::{Limiter, LimiterSettings};
pub use reservation::Reservation;
pub use slot_table::{ShareChange, SlotTable};
pub use tasks::{hand_over_shares, run_account_exchanges, sync_slot_records};

//! One memory budget for what a VM holds for others.
//!
//! Load pattern: hundreds of clients outside the operator's control that send bodies up to just before
//! their end, all at once and in any pieces, or that do not read their responses. Each fits the limit of a
//! single request, but all of them together exceed the memory of a VM.
//!
//! [`MemoryLimits`] derives the parts of the budget from the memory of the VM, and [`MemoryLedger`]
//! decides what fits and what is evicted; both perform no I/O, and the time is passed in.
//! [`CallerMemory`] holds the bytes in segments, so that memory is reserved as it fills and nothing is
//! copied to grow. Evicted bytes are freed before the bytes that need their room are allocated.

mod held_body;
mod ledger;
mod limits;
mod memory;
mod segments;

pub(crate) use held_body::{HeldBytes, OutgoingBody, SendingBody, SendingHandle};
pub use ledger::{Eviction, HolderId, HolderKind, MemoryExhausted, MemoryLedger};
pub use limits::MemoryLimits;
pub use memory::CallerMemory;
pub(crate) use memory::{Receiving, Reservation};

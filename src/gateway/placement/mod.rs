//! Choice of the upstream that serves a request.
//!
//! Load pattern: bursts of long prompts that share prefixes, seen by each VM in part only.
//!
//! [`choice`] decides by cost among candidates and performs no I/O. [`candidates`] collects them
//! from the gateway's state, [`request`] says what a request needs, [`versions`] says at which software
//! versions it may run, and [`dispatch`] accounts for a
//! request from its dispatch to the end of its response.

mod candidates;
mod choice;
mod dispatch;
mod prompt_prefixes;
mod request;
mod versions;

pub(super) use candidates::older_weights_cutoff;
pub use choice::{
    Candidate, Placement, PlacementSettings, ResourceDemand, choose_candidate,
    first_event_time_max, required_memory_tokens,
};
pub(super) use dispatch::DispatchedRequest;
pub(super) use request::{PlacementRequest, ROLLOUT_DRAW_MAX, suspects};

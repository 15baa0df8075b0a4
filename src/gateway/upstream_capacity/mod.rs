//! What upstreams can take now, and the room that all VMs share.
//!
//! Load pattern: upstreams whose speed and load change many times a second, each used by all VMs,
//! of which each sees only a small part of the traffic.
//!
//! Upstreams announce their load in responses ([`AnnouncedServerLoad`]). [`LoadRecord`] estimates
//! the present load of one upstream from the last announcement and its age, from what this VM has
//! sent since, and from the loads of all VMs by heartbeats. It decides without
//! I/O, and the time is passed in; `placing` applies it to the gateway's state. The rules hold for a service once one of its
//! upstreams has announced how long work takes now; other services are placed as without them.

mod announced;
mod estimate;
mod placing;
mod usual_speed;

pub use announced::AnnouncedServerLoad;
pub use estimate::{LoadEstimate, LoadRecord};
pub use usual_speed::UsualSpeed;

//! What upstreams can take now, and the room that all VMs share.
//!
//! Load pattern: upstreams whose speed and load change many times a second, each used by all VMs,
//! of which each sees only a small part of the traffic.
//!
//! Upstreams announce their load in responses ([`AnnouncedServerLoad`]). [`LoadRecord`] estimates
//! the present load of one upstream from the last announcement and its age, from what this VM has
//! sent since, and from the loads of all VMs by heartbeats. [`choose_plain`] chooses among plain
//! upstreams by expected completion time. These decide without I/O, and the time is passed in;
//! `placing` applies them to the gateway's state. Changes of plain upstreams'
//! loads are told to the other VMs (`news`). The rules hold for a service once one of its
//! upstreams has announced how long work takes now; other services are placed as without them.

mod announced;
mod estimate;
mod news;
mod placing;
mod plain_choice;
mod usual_speed;

pub use announced::AnnouncedServerLoad;
pub use estimate::{LoadEstimate, LoadRecord};
pub(super) use news::{LoadNews, send_load_news};
pub use plain_choice::{PlainCandidate, PlainChoice, choose_plain};
pub use usual_speed::UsualSpeed;

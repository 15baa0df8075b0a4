//! Queues of requests for which no upstream has room.
//!
//! Load pattern: more prompts than the engines can process within their objectives.
//!
//! [`request_queue`] decides on order and refusal and performs no I/O; it forecasts waiting times
//! from the speed that [`throughput`] measures. [`shedding`] ranks requests by priority and work
//! where the settings ask for it, and [`offering`] lets them in by rank. [`placing`] holds the queue
//! of each service and the requests that wait in it; [`enqueue`] adds them, and [`refusal`] says what the
//! callers of those that are not placed are told.

mod enqueue;
mod offering;
mod placing;
mod refusal;
mod request_queue;
mod shedding;
mod throughput;

pub use offering::Offered;
pub(super) use placing::{PlacementError, ServiceQueue};
pub use request_queue::{QueueSettings, QueuedRequest, RequestQueue, Ticket};
pub use shedding::{RequestCost, Shed, ShedCause};

//! Fair queueing of requests in front of saturated upstreams.

mod queue;

pub use queue::{
    Admitted, FairQueue, FairQueueSettings, Priority, QueueRefusal, QueuedRequest, TicketNumber,
};

//! Steward: holds the lease under which orders are given to engines, and shows its state.

mod daemon;
mod lease;
mod lease_task;
mod record;
mod rollout;
mod rollout_task;
mod status;

pub use daemon::run_steward;
pub use lease::{HeldTerm, LeaseAction, LeaseCore, LeaseSettings, LeaseWriteOutcome};
pub use lease_task::{LeaseTask, LeaseView};
pub use record::{LeaseHolder, LeaseObject, LeaseRecord};
pub use rollout::{
    CONCURRENT_LOADS_MAX, EngineState, EngineTarget, LEASE_MARGIN_DIVISOR, LoadOrder, OrderOutcome,
    RolloutCore, RolloutSettings,
};
pub use rollout_task::RolloutTask;
pub use status::{StatusWriter, StewardState, StewardStatus};

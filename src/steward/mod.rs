//! Steward: the process that holds the lease under which engines receive orders to load weights.
//!
//! Several processes may run as stewards; the one that holds the lease sends orders and publishes
//! its state.

mod daemon;
mod idle_time;
mod lease;
mod lease_settings;
mod lease_task;
mod record;
mod rollout;
mod rollout_task;
mod status;

pub use daemon::run_steward;
pub use idle_time::IdleTime;
pub use lease::{HeldTerm, LeaseAction, LeaseCore, LeaseWriteOutcome};
pub use lease_settings::LeaseSettings;
pub use lease_task::{LeaseTask, LeaseView};
pub use record::{LeaseHolder, LeaseObject, LeaseRecord};
pub use rollout::{
    CONCURRENT_LOADS_MAX, EngineState, EngineTarget, LEASE_MARGIN_DIVISOR, LoadOrder, OrderOutcome,
    RolloutCore, RolloutSettings,
};
pub use rollout_task::RolloutTask;
pub use status::{StatusWriter, StewardState, StewardStatus};

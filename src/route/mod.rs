//! Chooses the upstream that serves a request.
//!
//! A prompt is cut into pieces of fixed length, and every run of leading pieces is a prefix with a
//! hash of its own. Requests that share a prefix are sent to the engines that have it cached,
//! unless these are busy.
//!
//! [`Chooser`] decides, without clock or I/O; [`Router`] shares it between threads.

mod choice;
mod cost;
mod engine;
mod engine_table;
mod feedback;
mod generational_map;
mod health;
mod in_flight;
mod load;
mod placement;
mod poller;
mod prefix;
mod prefix_index;
mod reason;
mod router;

pub use choice::{Choice, ChooseError, Chooser, ChooserSettings, QueuedWork, RoutingRequest};
pub use cost::{HitRatio, TokenCost};
pub use engine::{LoadReport, REPORT_AGE_MAX};
pub use feedback::{PollTarget, ResponseHead};
pub(crate) use generational_map::GenerationalMap;
pub use health::{EngineFailure, Health, HealthChange};
pub use in_flight::InFlight;
pub use load::{LoadTable, ServiceInFlight};
pub use placement::Placement;
pub use poller::{poll_engines, sync_leaving_upstreams};
pub use prefix::{
    BYTES_PER_TOKEN, PIECE_BYTES, PIECE_TOKENS, PIECES_MAX, Prefix, PrefixHash, PrefixSeed,
};
pub use prefix_index::{
    CachedPrefix, ENGINES_PER_PREFIX_MAX, EngineNumber, PrefixIndex, PrefixIndexSettings,
    PrefixInfo,
};
pub use reason::Reason;
pub use router::Router;

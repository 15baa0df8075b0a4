//! What a stream is bound to once its first event may have reached the caller.
//!
//! Events of two software versions do not fit together. A stream goes on only at upstreams of the
//! service and software that began it: after a break, beside a silent engine, and when its caller
//! takes it up at another VM.
//!
//! A VM that begins a stream tells two others of its origin before the first event leaves, unless
//! only one software version can have begun any stream of the route. The keepers follow from the
//! request id, so the VM at which the caller takes the stream up asks a few VMs, however many there
//! are. A VM that starts asks others what they have seen, so that it is as certain as they are. Where
//! the origin is not certain, the request is refused.
//!
//! [`OriginHistory`] (what may have begun streams lately), [`StreamRecords`] (what this VM keeps),
//! [`rank_keepers`] and [`conclude`] perform no I/O; the time is passed in.

mod exchange;
mod history;
mod history_exchange;
mod keepers;
mod lookup;
mod messages;
mod moves;
mod origin;
mod origins;
mod records;
mod snapshot;

pub(super) use exchange::UnknownOrigin;
pub use history::OriginHistory;
pub(super) use history_exchange::request_history;
pub use keepers::{KEEPERS, rank_keepers};
pub use lookup::{KeeperAnswer, LookupResult, conclude};
pub(super) use messages::{HistoryReply, OriginLookup, OriginRecord};
pub use moves::RouteTarget;
pub use origin::{StreamKey, StreamOrigin, stream_key};
pub(super) use origins::StreamOrigins;
pub use records::{StreamRecords, StreamRecordsSettings};
pub use snapshot::{HistorySnapshot, MoveSnapshot, OnlySnapshot, ServiceSnapshot};

use std::time::Duration;

/// Time after which a stream is no longer taken up, unless its caller has stated a longer timeout.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(30);

//! Stand-ins for the systems around celerylever.
//!
//! Each speaks docs/PROTOCOLS.md, runs in the caller's tokio runtime, and shows [`Faults`] that
//! are set through its [`FaultHandle`] or by `POST /faults`.
//!
//! Left out: engines ignore `x-deadline-ms` and the model named in `load_weights`, and weights
//! take no longer when several engines load at once. A watch that a deletion wakes answers with
//! the new version and no items.

mod address;
mod answer;
mod engine;
mod fault;
mod http;
mod load;
mod service;
mod store;

pub use answer::{Answer, prompt_text, prompt_tokens};
pub use engine::{Engine, EngineSettings, EngineTotals};
pub use fault::{FaultHandle, Faults};
pub use http::SeenRequest;
pub use load::{CustomerReport, Load, LoadCustomer, LoadReport, LoadSettings};
pub use service::{Service, ServiceSettings};
pub use store::{CallCounts, Store, StoreSettings, StoredObject, VmRow};

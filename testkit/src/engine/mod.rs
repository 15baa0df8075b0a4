//! Model engine: answers prompts from a bounded prefix cache and takes orders.

mod cache;
mod call;
mod control;
mod handle;
mod run;
mod settings;
mod slots;
mod state;
mod stream;

pub use handle::Engine;
pub use settings::{EngineSettings, EngineTotals};

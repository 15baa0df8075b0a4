//! Seeded load of callers who check every answer.

mod checker;
mod exchange;
mod model;
mod sender;
mod tally;

pub use model::{CustomerReport, LoadCustomer, LoadReport, LoadSettings};
pub use sender::Load;

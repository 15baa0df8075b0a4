//! How many retries are made, and how long each waits.

mod backoff;
mod budget;

pub use backoff::backoff;
pub use budget::{RetryBudget, RetryBudgetSettings, SharedRetryBudget};

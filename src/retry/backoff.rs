//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Longest wait before the first retry; doubles with each retry.
const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Longest wait before any retry.
const BACKOFF_MAX: Duration = Duration::from_millis(200);
/// Number of doublings that certainly reaches [`BACKOFF_MAX`]; avoids an overflow.
const DOUBLINGS_MAX: u32 = 8;

/// Returns a random wait before the next retry, after `retries` earlier ones.
///
/// The wait is uniform between zero and a bound that doubles with each retry.
pub fn backoff(retries: usize, rng: &mut impl Rng) -> Duration {
    let doublings = u32::try_from(retries)
        .unwrap_or(DOUBLINGS_MAX)
        .min(DOUBLINGS_MAX);
    let bound = (BACKOFF_BASE * 2_u32.pow(doublings)).min(BACKOFF_MAX);
    rng.random_range(Duration::ZERO..=bound)
}

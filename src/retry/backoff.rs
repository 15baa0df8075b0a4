//! Wait before a retry.

use std::time::Duration;

use rand::Rng;

/// Longest wait before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Longest wait before any retry.
const BACKOFF_MAX: Duration = Duration::from_millis(200);
/// Doublings after which the cap is surely reached.
const DOUBLINGS_MAX: u32 = 8;

/// Returns the wait before a retry, uniform between zero and a bound that doubles with each.
pub fn backoff(retries: usize, rng: &mut impl Rng) -> Duration {
    let doublings = u32::try_from(retries)
        .unwrap_or(DOUBLINGS_MAX)
        .min(DOUBLINGS_MAX);
    let bound = (BACKOFF_BASE * 2_u32.pow(doublings)).min(BACKOFF_MAX);
    rng.random_range(Duration::ZERO..=bound)
}
